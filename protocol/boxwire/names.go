// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Ref is the hash of a name of the table, as sent on the wire; 0 means no name.
type Ref uint32

// RefOf returns the ref of a name; that of the empty name is 0.
func RefOf(name string) Ref {
	if name == "" {
		return 0
	}
	return Ref(xxhash.Sum64String(name))
}

// Names resolves refs to names: those of one table, and those of endpoints that were
// added since. It is safe for concurrent use.
type Names struct {
	mutex sync.RWMutex
	byRef map[Ref]string
}

// NewNames returns Names with lists of names, of groups, endpoints and accounts.
func NewNames(lists ...[]string) *Names {
	n := &Names{byRef: make(map[Ref]string)}
	for _, list := range lists {
		n.Add(list...)
	}
	return n
}

// Add adds more names.
func (n *Names) Add(names ...string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, name := range names {
		n.byRef[RefOf(name)] = name
	}
}

// Len returns the number of names.
func (n *Names) Len() int {
	n.mutex.RLock()
	defer n.mutex.RUnlock()
	return len(n.byRef)
}

// Name returns the name of a ref; that of ref 0 is empty. It reports false for a ref
// that this box's table does not have, because the sender's table is newer or older.
func (n *Names) Name(r Ref) (string, bool) {
	if r == 0 {
		return "", true
	}
	n.mutex.RLock()
	defer n.mutex.RUnlock()
	name, ok := n.byRef[r]
	return name, ok
}

// lookUpAll resolves refs and reports whether all of them are known.
func (n *Names) lookUpAll(refs []Ref) ([]string, bool) {
	if len(refs) == 0 {
		return nil, true
	}
	out := make([]string, 0, len(refs))
	for _, r := range refs {
		name, ok := n.Name(r)
		if !ok {
			return nil, false
		}
		out = append(out, name)
	}
	return out, true
}

// lookUpKnown resolves refs and leaves out those that are not known.
func (n *Names) lookUpKnown(refs []Ref) []string {
	var out []string
	for _, r := range refs {
		if name, ok := n.Name(r); ok {
			out = append(out, name)
		}
	}
	return out
}

func refsOf(names []string) []Ref {
	if len(names) == 0 {
		return nil
	}
	out := make([]Ref, 0, len(names))
	for _, name := range names {
		out = append(out, RefOf(name))
	}
	return out
}
