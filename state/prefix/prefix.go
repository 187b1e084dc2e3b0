// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package prefix tracks which engines probably have the start of a prompt in their cache. It
// learns from the box's own dispatches and is corrected by the cache events of the engines,
// which may arrive late or not at all. A wrong entry costs time, never correctness.
package prefix

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// firstMark is the length of the shortest marked prefix, in bytes.
	firstMark = 1024
	// MaxMarks is the maximum number of marks per prompt: 1 KiB, 2 KiB, up to 128 KiB.
	MaxMarks = 8
)

// Mark identifies a prefix of a prompt by its hash.
type Mark struct {
	Hash uint64
	// Bytes is the length of the prefix.
	Bytes int
}

// Marks returns the marks of those prefixes of a prompt whose lengths are powers of two from 1
// KiB on, the shortest first.
func Marks(prompt []byte) []Mark {
	var marks []Mark
	digest := xxhash.New()
	done := 0
	for length := firstMark; length <= len(prompt) && len(marks) < MaxMarks; length *= 2 {
		// Write of a hash never returns an error.
		_, _ = digest.Write(prompt[done:length])
		done = length
		// Messages carry 32 bits; a collision only costs a little time.
		marks = append(marks, Mark{Hash: uint64(uint32(digest.Sum64())), Bytes: length})
	}
	return marks
}

// Index maps marks to the engines that have them cached. It is not safe for concurrent use.
type Index struct {
	holders *lru.Cache[uint64, []string]
}

// New returns an index of at most size marks; the least recently used are evicted first.
func New(size int) *Index {
	cache, err := lru.New[uint64, []string](max(size, 1))
	if err != nil {
		// The library only rejects sizes below one.
		panic(err)
	}
	return &Index{holders: cache}
}

// Add records that an engine has computed the marked prefixes.
func (x *Index) Add(engine string, hashes []uint64) {
	for _, h := range hashes {
		names, _ := x.holders.Get(h)
		if contains(names, engine) {
			continue
		}
		// Callers of Holders may still use the old slice, so it is copied.
		next := make([]string, len(names), len(names)+1)
		copy(next, names)
		x.holders.Add(h, append(next, engine))
	}
}

// Remove records that an engine has evicted a marked prefix.
func (x *Index) Remove(engine string, hash uint64) {
	names, ok := x.holders.Peek(hash)
	if !ok || !contains(names, engine) {
		return
	}
	remaining := make([]string, 0, len(names)-1)
	for _, n := range names {
		if n != engine {
			remaining = append(remaining, n)
		}
	}
	if len(remaining) == 0 {
		x.holders.Remove(hash)
		return
	}
	x.holders.Add(hash, remaining)
}

// Forget removes an engine from all marks, for example after it has restarted.
func (x *Index) Forget(engine string) {
	for _, h := range x.holders.Keys() {
		x.Remove(engine, h)
	}
}

// Holders returns the engines that have the marked prefix cached.
func (x *Index) Holders(hash uint64) []string {
	names, _ := x.holders.Get(hash)
	return names
}

// Len returns the number of marks.
func (x *Index) Len() int {
	return x.holders.Len()
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
