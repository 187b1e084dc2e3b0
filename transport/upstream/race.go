// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"net"
	"time"
)

// try is one way to connect to an endpoint; via is empty for the direct path.
type try struct {
	via string
	// headStart is how long the try may take before the next one begins.
	headStart time.Duration
	open      func(ctx context.Context) (net.Conn, error)
}

// failedTry is a try that did not connect.
type failedTry struct {
	via string
	err error
}

// raced is the result of a race. Without a winner via and conn are empty.
type raced struct {
	won  bool
	via  string
	conn net.Conn
	// failed are the tries that failed before the end of the race.
	failed []failedTry
}

// directError returns how the direct path failed; nil if it was not tried or is still open.
func (r raced) directError() error {
	for _, f := range r.failed {
		if f.via == "" {
			return f.err
		}
	}
	return nil
}

// tried is the result of a try.
type tried struct {
	try  try
	conn net.Conn
	err  error
}

// race makes the tries in turn until one succeeds: each begins when the one before it has failed or
// has used up its head start. more returns further tries once there are none left to begin; it may be
// nil.
func race(ctx context.Context, tries []try, more func() []try) raced {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var out raced
	results := make(chan tried)
	open := 0
	defer func() { go closeLosers(results, open) }()
	headStart := time.NewTimer(0)
	defer headStart.Stop()
	begin := func() {
		if len(tries) == 0 && more != nil {
			tries, more = more(), nil
		}
		if len(tries) == 0 {
			return
		}
		next := tries[0]
		tries = tries[1:]
		open++
		headStart.Reset(next.headStart)
		go func() {
			conn, err := next.open(ctx)
			results <- tried{try: next, conn: conn, err: err}
		}()
	}
	for begin(); open > 0; {
		select {
		case <-headStart.C:
			begin()
		case r := <-results:
			open--
			if r.err == nil {
				out.won, out.via, out.conn = true, r.try.via, r.conn
				return out
			}
			out.failed = append(out.failed, failedTry{via: r.try.via, err: r.err})
			begin()
		case <-ctx.Done():
			return out
		}
	}
	return out
}

// closeLosers closes the connections of tries that end after the race.
func closeLosers(results <-chan tried, open int) {
	for range open {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}
