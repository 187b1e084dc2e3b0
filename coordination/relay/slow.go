// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"errors"
	"time"
)

const (
	// leastHoldUp is how long a caller has to keep an endpoint from writing for it to be
	// what the endpoint ends an answer for.
	leastHoldUp = time.Second
	// caughtUp is how long a read waits where the endpoint has sent nothing more: what it
	// sent while it was held up comes at once.
	caughtUp = 20 * time.Millisecond
	// heldUpAfter is how long after it was held up an endpoint's end is seen at the latest.
	heldUpAfter = 5 * time.Second
)

// holdUp tells an endpoint that ends an answer since its caller did not read it from one that
// has ended itself.
type holdUp struct {
	// since is when the caller last read again; zero is that it holds nothing up.
	since time.Time
}

// wrote takes in how long a write to the caller took.
func (p *holdUp) wrote(now time.Time, took time.Duration) {
	if took >= leastHoldUp {
		p.since = now
	}
}

// read takes in how long a read from the endpoint took that gave something.
func (p *holdUp) read(took time.Duration) {
	if took >= caughtUp {
		p.since = time.Time{}
	}
}

// lasts says whether an answer that breaks off now does so since it was held up.
func (p *holdUp) lasts(now time.Time) bool {
	return !p.since.IsZero() && now.Sub(p.since) < heldUpAfter
}

// write passes a piece on, and notes how long the caller held it up.
func (v *run) write(p []byte) error {
	begin := v.r.cfg.Now()
	err := v.c.Write(p)
	now := v.r.cfg.Now()
	v.heldUp.wrote(now, now.Sub(begin))
	return err
}

// read reads on in an answer, and notes whether the endpoint has been caught up with.
func (v *run) read(a *Answer, buffer []byte) (int, error) {
	begin := v.r.cfg.Now()
	n, err := a.Body.Read(buffer)
	if n > 0 {
		v.heldUp.read(v.r.cfg.Now().Sub(begin))
	}
	return n, err
}

// callerLeft ends a request whose caller has gone, or does not read.
func (v *run) callerLeft(err error) result {
	if errors.Is(err, ErrSlowCaller) {
		v.ended("caller_slow", "unread")
	} else {
		v.ended("caller_gone", "write")
	}
	v.c.Break()
	return result{}
}

// gaveUpWaiting ends an answer that its endpoint broke off while the caller did not read: no
// fault of the endpoint's, and another one would fare no better.
func (v *run) gaveUpWaiting() result {
	v.ended("caller_slow", "endpoint_cut")
	v.c.Break()
	return result{}
}
