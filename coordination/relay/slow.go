// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"errors"
	"time"
)

const (
	// minCallerStall is how long a write to the caller must block before the endpoint may have
	// aborted its answer because of it.
	minCallerStall = time.Second
	// caughtUpRead is how long a read blocks if the endpoint has nothing buffered: what it sent
	// during the stall is read without delay.
	caughtUpRead = 20 * time.Millisecond
	// stallBreakWindow is how long after a stall a broken answer is still attributed to it.
	stallBreakWindow = 5 * time.Second
)

// callerStall distinguishes an endpoint that aborts an answer because the caller did not read
// it from an endpoint that failed by itself.
type callerStall struct {
	// endedAt is when the caller resumed reading after the latest stall; zero if the endpoint
	// has been caught up with since.
	endedAt time.Time
}

// noteWrite records how long a write to the caller took.
func (s *callerStall) noteWrite(now time.Time, took time.Duration) {
	if took >= minCallerStall {
		s.endedAt = now
	}
}

// noteRead records how long a read from the endpoint that returned data took.
func (s *callerStall) noteRead(took time.Duration) {
	if took >= caughtUpRead {
		s.endedAt = time.Time{}
	}
}

// explainsBreak reports whether an answer that breaks off now does so because of the stall.
func (s *callerStall) explainsBreak(now time.Time) bool {
	return !s.endedAt.IsZero() && now.Sub(s.endedAt) < stallBreakWindow
}

// write sends data to the caller and records a stall.
func (h *handler) write(p []byte) error {
	begin := h.relay.cfg.Now()
	err := h.reply.Write(p)
	now := h.relay.cfg.Now()
	h.stall.noteWrite(now, now.Sub(begin))
	return err
}

// read reads from an answer and records whether the endpoint has been caught up with.
func (h *handler) read(a *Answer, buffer []byte) (int, error) {
	begin := h.relay.cfg.Now()
	n, err := a.Body.Read(buffer)
	if n > 0 {
		h.stall.noteRead(h.relay.cfg.Now().Sub(begin))
	}
	return n, err
}

// callerFailed ends a request whose caller has disconnected or does not read.
func (h *handler) callerFailed(err error) result {
	if errors.Is(err, ErrSlowCaller) {
		h.recordEnd("caller_slow", "unread")
	} else {
		h.recordEnd("caller_gone", "write")
	}
	h.abort()
	return result{}
}

// endStalled ends an answer that its endpoint aborted because the caller did not read. The
// endpoint is not at fault, and another one would do the same.
func (h *handler) endStalled() result {
	h.recordEnd("caller_slow", "endpoint_cut")
	h.abort()
	return result{}
}
