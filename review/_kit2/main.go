// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command kit runs the scripted cases of a review: it starts routers as separate processes, and plays
// the platform's store, the servers and the clients itself, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is the time after which a case is given up.
const longest = 110 * time.Second

// cases maps the names of the cases to their functions. A case returns the breaks of its rule.
var cases = map[string]func(s *site) []string{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: kit CASE FOLDER")
		return exitNotRun
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	s, err := newSite(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	done := make(chan []string, 1)
	failed := make(chan any, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				failed <- r
			}
		}()
		done <- play(s)
	}()
	select {
	case breaks := <-done:
		for _, b := range breaks {
			record.line("BROKEN %s", b)
		}
		record.line("rule broken %d times", len(breaks))
		fmt.Printf("rule broken %d times\n", len(breaks))
		if len(breaks) > 0 {
			return exitBroken
		}
		return exitHeld
	case r := <-failed:
		record.line("the case could not run: %v", r)
		fmt.Fprintln(os.Stderr, "the case could not run:", r)
	case <-time.After(longest):
		record.line("the case took too long")
		fmt.Fprintln(os.Stderr, "the case took too long")
	}
	return exitNotRun
}
