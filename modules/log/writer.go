// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log

import (
	"fmt"
	"io"
	"sync"
	"time"

	"runridge.example/runridge/modules/ring"
)

const (
	// queuedLines is the capacity of the queue of lines.
	queuedLines = 4096
	// linesPerSecond limits the rate of lines written; a burst may hold one second's worth.
	linesPerSecond = 2000
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
	// closeTimeout bounds how long Close waits for lines that the output has not accepted:
	// a process that is told to stop has a fixed time for everything.
	closeTimeout = 200 * time.Millisecond
)

// Writer accepts lines without ever blocking on its output. Lines beyond the queue's
// capacity or the rate limit are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	closing chan struct{}
	done    chan struct{}
	once    sync.Once

	mutex      sync.Mutex
	now        func() time.Time
	tokens     float64
	lastRefill time.Time
	dropped    int
}

// NewWriter starts a writer to out; Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		lines:   ring.New[[]byte](queuedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
		now:     time.Now,
		tokens:  linesPerSecond,
	}
	go w.run()
	return w
}

// Write queues one line. It never fails and never blocks on the output.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.admit() || w.lines.Offer(append([]byte{}, line...)) == ring.Full {
		w.mutex.Lock()
		w.dropped++
		w.mutex.Unlock()
	}
	return len(line), nil
}

// admit takes a token from the bucket and reports whether there was one.
func (w *Writer) admit() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.now()
	if !w.lastRefill.IsZero() {
		w.tokens = min(w.tokens+now.Sub(w.lastRefill).Seconds()*linesPerSecond, linesPerSecond)
	}
	w.lastRefill = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Close writes the queued lines as far as the output accepts them within closeTimeout, and
// stops the writer.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-w.lines.C():
			// There is no other place to report that the output fails.
			_, _ = w.out.Write(line)
		case <-report.C:
			w.report()
		case <-w.closing:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for w.lines.Len() > 0 {
		_, _ = w.out.Write(<-w.lines.C())
	}
	w.report()
}

// report writes how many lines were dropped since the last report, if any.
func (w *Writer) report() {
	w.mutex.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mutex.Unlock()
	if dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "time=%q level=warning msg=log_lines_dropped count=%d\n", w.now().Format(time.RFC3339Nano), dropped)
	}
}
