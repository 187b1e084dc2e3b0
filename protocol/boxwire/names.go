// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Ref stands for a name of the table on the wire; 0 is no name.
type Ref uint32

// RefOf is the hash of a name.
func RefOf(name string) Ref {
	if name == "" {
		return 0
	}
	return Ref(xxhash.Sum64String(name))
}

// Names finds the names that refs stand for: those of one table, and those of
// endpoints that came since. It is safe for use by several goroutines.
type Names struct {
	mutex sync.RWMutex
	byRef map[Ref]string
}

// NewNames gathers names: those of groups, endpoints and accounts.
func NewNames(lists ...[]string) *Names {
	n := &Names{byRef: make(map[Ref]string)}
	for _, list := range lists {
		n.Add(list...)
	}
	return n
}

// Add takes in more names.
func (n *Names) Add(names ...string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, name := range names {
		n.byRef[RefOf(name)] = name
	}
}

// Len is the number of names.
func (n *Names) Len() int {
	n.mutex.RLock()
	defer n.mutex.RUnlock()
	return len(n.byRef)
}

// Name is the name that a ref stands for. One that this box's table does not
// have is not known; its sender's table is newer or older.
func (n *Names) Name(r Ref) (string, bool) {
	if r == 0 {
		return "", true
	}
	n.mutex.RLock()
	defer n.mutex.RUnlock()
	name, ok := n.byRef[r]
	return name, ok
}

// names looks several refs up and reports whether all were found.
func (n *Names) names(refs []Ref) ([]string, bool) {
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

// known looks several refs up and leaves out those that are not found.
func (n *Names) known(refs []Ref) []string {
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
