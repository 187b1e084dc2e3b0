// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command mutants checks that the tests detect deliberate faults. It applies one fault at a time to
// a copy of the source tree and expects the tests named for it to fail.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// mutant is one deliberate fault and the tests that must detect it.
type mutant struct {
	name string
	// file is the path of the changed file, relative to the module's root.
	file string
	// old must occur exactly once in the file and is replaced by fault.
	old, fault string
	// pkg is the package whose tests are run, and args are further arguments of go test.
	pkg  string
	args []string
}

const (
	// coresPerRun is the number of cores for each mutant that is tested at the same time: a
	// build uses two, and most tests wait for states more than they compute.
	coresPerRun = 2
	// goToolTimeout limits one run of the go tool. testTimeout, which is shorter, limits the
	// test binary that it runs: a test that loops because of the fault then ends by itself and
	// does not outlive the go tool.
	goToolTimeout = 3 * time.Minute
	testTimeout   = "2m"
)

func main() {
	root, err := os.Getwd()
	if err == nil {
		err = run(root)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// allMutants returns the mutants of all lists.
func allMutants() []mutant {
	return slices.Concat(protocolMutants, routedMutants, accountMutants, stageMutants, sharedMutants, coldMutants, poisonMutants, limitMutants, noticeMutants, olderMutants, lateTableMutants, pathMutants, streamMutants, partMutants, overloadMutants, unreadableMutants, cutMutants, leavingMutants, boundMutants, malformedMutants, promiseMutants)
}

// run tests the mutants of the tree at root, or only those whose file has the path prefix given as
// the first argument. It prints a line for each and errors if the tests miss one, or if a mutant
// can't be tested.
func run(root string) error {
	chosen := allMutants()
	if len(os.Args) > 1 {
		chosen = slices.DeleteFunc(chosen, func(m mutant) bool { return !strings.HasPrefix(m.file, os.Args[1]) })
	}
	var runs errgroup.Group
	runs.SetLimit(max(runtime.NumCPU()/coresPerRun, 1))
	var survivors atomic.Int64
	for _, m := range chosen {
		runs.Go(func() error {
			found, err := detects(root, m)
			if err != nil {
				return fmt.Errorf("mutant %s: %w", m.name, err)
			}
			fmt.Printf("mutants name=%s package=%s found=%v\n", m.name, m.pkg, found)
			if !found {
				survivors.Add(1)
			}
			return nil
		})
	}
	if err := runs.Wait(); err != nil {
		return err
	}
	if survivors := survivors.Load(); survivors > 0 {
		return fmt.Errorf("%d of %d deliberate faults were not found", survivors, len(chosen))
	}
	fmt.Printf("mutants all %d deliberate faults were found\n", len(chosen))
	return nil
}

// detects reports whether the tests of a mutant fail on a copy of the tree with its fault. It errors
// if the replaced text does not occur exactly once, or if the changed package does not pass go vet.
func detects(root string, m mutant) (bool, error) {
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := os.CopyFS(dir, sources{root}); err != nil {
		return false, err
	}
	path := filepath.Join(dir, m.file)
	data, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	if n := strings.Count(string(data), m.old); n != 1 {
		return false, fmt.Errorf("%s: the text to replace occurs %d times, want once", m.file, n)
	}
	const mode = 0o644
	mutated := strings.Replace(string(data), m.old, m.fault, 1)
	if err := os.WriteFile(path, []byte(mutated), mode); err != nil {
		return false, err
	}
	if out, err := runGo(dir, "vet", "./"+filepath.Dir(m.file)); err != nil {
		return false, fmt.Errorf("go vet failed: %s", out)
	}
	_, err = runGo(dir, append([]string{"test", "-trimpath", "-count=1", "-timeout", testTimeout, m.pkg}, m.args...)...)
	return err != nil, nil
}

// runGo runs the go tool in a directory and returns its standard output and error output.
func runGo(dir string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), goToolTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}
