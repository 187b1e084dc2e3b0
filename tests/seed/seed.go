// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package seed fixes the seed of model-based tests, so that CI runs are
// reproducible. The -rapid flags of the command line still take precedence.
package seed

import (
	"flag"
	"strconv"
	"testing"

	// Registers the flags that set sets.
	_ "pgregory.net/rapid"
)

// Run runs a package's tests with a fixed seed and the given number of checks for each property.
// It is called from TestMain.
func Run(m *testing.M, checks int) int {
	set("rapid.seed", "20261202")
	set("rapid.checks", strconv.Itoa(checks))
	set("rapid.nofailfile", "true")
	return m.Run()
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
