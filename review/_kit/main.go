// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Program kit plays the cases of the review: it starts boxes as separate processes, and plays their
// clients, their servers and the platform's store itself, on loopback addresses.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"runridge.example/runridge/platform/standin"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// world is what a case plays in.
type world struct {
	store   *standin.Store
	fleet   fleet
	boxes   []*router
	engines []*engine
	// slots is how many requests an engine says that it runs at once.
	slots int
	// trouble is false for a play without the disruption.
	trouble bool

	mutex  sync.Mutex
	record io.Writer
	begun  time.Time
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case has started.
func (w *world) close() {
	for _, b := range w.boxes {
		b.kill()
	}
	for _, e := range w.engines {
		e.crash()
	}
	w.store.Close()
	_ = os.RemoveAll(w.fleet.dir)
}

// newWorld starts the store and writes the configuration.
func newWorld(record io.Writer, root string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{store: standin.NewStore(), record: record, begun: time.Now(), slots: 6, trouble: os.Getenv("TROUBLE") != "0"}
	w.store.SetPage(500)
	w.fleet = fleet{
		program: filepath.Join(root, "target/runridge-router"), template: filepath.Join(root, "deploy/settings.json"),
		dir: dir, store: w.store.Address(),
		zones: map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "north"},
		fields: map[string]any{
			"limits": map[string]any{"memory_mb": 134},
			"bounds": map[string]any{
				"grace_s": 8, "retry_budget_ratio": 0.2, "retry_budget_slack": 56, "budget_window_s": 10, "lease_ms": 3000, "thaw_slack_ms": 300,
			},
		},
	}
	w.store.Put("config", "main", parse(configText))
	return w, nil
}

// zoneOf returns the zone of the i-th machine.
func zoneOf(i int) string { return []string{"zone-a", "zone-b", "zone-c"}[i%3] }

// start starts boxes and engines and waits until all boxes serve.
func (w *world) start(boxes, engines int) error {
	for i := range engines {
		e, err := newEngine(fmt.Sprintf("i-%04d", i+1), w.note)
		if err != nil {
			return err
		}
		w.engines = append(w.engines, e)
		w.store.Put("servers", e.id, e.entry(zoneOf(i), w.slots))
	}
	for i := range boxes {
		b, err := w.fleet.start(fmt.Sprintf("front-%d", i+1), zoneOf(i))
		if err != nil {
			return err
		}
		w.boxes = append(w.boxes, b)
	}
	for _, b := range w.boxes {
		if err := b.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(3 * time.Second)
	return nil
}

// rebirth starts an engine in the place of one that has crashed, as a new incarnation.
func (w *world) rebirth(i int) error {
	w.store.Delete("servers", w.engines[i].id)
	e, err := newEngine(w.engines[i].id+"-again", w.note)
	if err != nil {
		return err
	}
	w.engines = append(w.engines, e)
	w.store.Put("servers", e.id, e.entry(zoneOf(i), w.slots))
	return nil
}

func main() {
	if len(os.Args) != 4 {
		_, _ = fmt.Fprintln(os.Stderr, "usage: kit CASE ROOT RECORD")
		os.Exit(notRun)
	}
	cases := map[string]func(*world) (int, error){"stop": stopCase, "resume": resumeCase, "unframed": unframedCase, "stray": strayCase}
	play, ok := cases[os.Args[1]]
	if !ok {
		os.Exit(notRun)
	}
	os.Exit(runCase(play, os.Args[2], os.Args[3]))
}

func runCase(play func(*world) (int, error), root, path string) int {
	file, err := os.Create(path)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	w, err := newWorld(file, root)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		w.close()
		os.Exit(notRun)
	}()
	code, err := play(w)
	if err != nil {
		w.note("the case could not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	w.note("exit code %d", code)
	return code
}
