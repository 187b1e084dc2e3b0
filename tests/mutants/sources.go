// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"io/fs"
	"os"
	"slices"
)

// sources is the module's source tree without the directories that builds and tests don't need.
type sources struct {
	root string
}

// Open opens a file of the tree, by its path relative to root.
func (s sources) Open(name string) (fs.File, error) {
	return os.DirFS(s.root).Open(name)
}

// ReadDir lists a directory of the tree, without the excluded entries.
func (s sources) ReadDir(name string) ([]fs.DirEntry, error) {
	entries, err := fs.ReadDir(os.DirFS(s.root), name)
	return slices.DeleteFunc(entries, func(e fs.DirEntry) bool {
		return slices.Contains([]string{".git", "bin", "out", "docs", "target", "journal"}, e.Name())
	}), err
}
