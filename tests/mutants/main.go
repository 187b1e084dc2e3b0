// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command mutants shows that the tests bite: it puts one deliberate fault at a
// time into a copy of the code and expects the named test to fail.
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

// mutant is one deliberate fault.
type mutant struct {
	name string
	file string
	// old stands exactly once in the file and is replaced by fault.
	old, fault string
	pkg        string
	args       []string
}

const (
	// coresEach is how many cores one try has: building takes two, and most tests
	// wait for states more than they work.
	coresEach = 2
	// testTimeout bounds one run of the go tool, and testBound, shorter, the test
	// program in it: one that a fault makes spin ends itself and is not left
	// behind by the go tool's end.
	testTimeout = 3 * time.Minute
	testBound   = "2m"
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

// all are the deliberate faults.
func all() []mutant {
	return slices.Concat(mutants, routedMutants, accountMutants, stageMutants, sharedMutants, coldMutants, poisonMutants, limitMutants, noticeMutants, olderMutants)
}

func run(root string) error {
	chosen := all()
	if len(os.Args) > 1 {
		// Those whose file lies under a path, for work on that part.
		chosen = slices.DeleteFunc(chosen, func(m mutant) bool { return !strings.HasPrefix(m.file, os.Args[1]) })
	}
	var tries errgroup.Group
	tries.SetLimit(max(runtime.NumCPU()/coresEach, 1))
	var survivors atomic.Int64
	for _, m := range chosen {
		tries.Go(func() error {
			found, err := try(root, m)
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
	if err := tries.Wait(); err != nil {
		return err
	}
	if survivors := survivors.Load(); survivors > 0 {
		return fmt.Errorf("%d of %d deliberate faults were not found", survivors, len(chosen))
	}
	fmt.Printf("mutants all %d deliberate faults were found\n", len(chosen))
	return nil
}

// try runs the tests on a copy with the fault in it.
func try(root string, m mutant) (bool, error) {
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
		return false, fmt.Errorf("%s: the text to replace stands %d times, allowed: once", m.file, n)
	}
	const mode = 0o644
	changed := strings.Replace(string(data), m.old, m.fault, 1)
	if err := os.WriteFile(path, []byte(changed), mode); err != nil {
		return false, err
	}
	if out, err := gotool(dir, "vet", "./"+filepath.Dir(m.file)); err != nil {
		return false, fmt.Errorf("does not build: %s", out)
	}
	_, err = gotool(dir, append([]string{"test", "-trimpath", "-count=1", "-timeout", testBound, m.pkg}, m.args...)...)
	return err != nil, nil
}

func gotool(dir string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}
