// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFaultsFit checks that the text that each mutant replaces occurs exactly once in its file. It
// finds outdated mutants at once, where testing all of them takes minutes.
func TestFaultsFit(t *testing.T) {
	const root = "../.."
	for _, m := range allMutants() {
		source, err := os.ReadFile(filepath.Join(root, m.file))
		if err != nil {
			t.Error(err)
			continue
		}
		if n := strings.Count(string(source), m.old); n != 1 {
			t.Errorf("%s: the text to replace occurs %d times in %s, want once", m.name, n, m.file)
		}
	}
}
