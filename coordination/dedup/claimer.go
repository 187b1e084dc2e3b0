// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dedup

import (
	"context"
	"sync"
	"time"

	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/state/dedup"
	"runridge.example/runridge/state/lifecycle"
)

// Join asks the owner of a request for its answer from a token on.
type Join struct {
	Sequence uint64
	ID       lifecycle.RequestID
	// From is the number of tokens that the asker has.
	From int
}

// Piece is a part of an answer.
type Piece struct {
	Sequence uint64
	// Found says that the owner knows the request.
	Found  bool
	From   int
	Tokens []string
	// Ended says that nothing follows; the rest says how it ended.
	Ended        bool
	Phase        lifecycle.Phase
	Ran          lifecycle.Ran
	Reason       lifecycle.Reason
	RetryAfterMS int
}

// Asker sends questions to other boxes; it must not block.
type Asker interface {
	SendClaim(to string, c Claim)
	SendJoin(to string, j Join)
}

// ClaimerConfig configures a Claimer.
type ClaimerConfig struct {
	// Incarnation tells this process from earlier ones.
	Incarnation uint64
	Asker       Asker
	// Ranked lists the boxes in their order for a key.
	Ranked func(key string) []string
	// Again is how long to wait before a question is asked again.
	Again time.Duration
	// For bounds all asking.
	For time.Duration
}

const (
	defaultAgain = 250 * time.Millisecond
	defaultFor   = 3 * time.Second
)

// Claimer asks on behalf of this box's requests.
type Claimer struct {
	cfg      ClaimerConfig
	mutex    sync.Mutex
	sequence uint64
	replies  map[uint64]chan Reply
	pieces   map[uint64]chan Piece
}

// NewClaimer makes a claimer.
func NewClaimer(cfg ClaimerConfig) *Claimer {
	if cfg.Again <= 0 {
		cfg.Again = defaultAgain
	}
	if cfg.For <= 0 {
		cfg.For = defaultFor
	}
	return &Claimer{
		cfg:      cfg,
		sequence: cfg.Incarnation << incarnationShift,
		replies:  make(map[uint64]chan Reply),
		pieces:   make(map[uint64]chan Piece),
	}
}

// Claim asks whether a request may run. When no box decides in time the
// verdict is VerdictLater; then the request must not run.
func (c *Claimer) Claim(ctx context.Context, r dedup.Record, replace lifecycle.RequestID) Reply {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.For)
	defer cancel()
	for ctx.Err() == nil {
		ranked := c.cfg.Ranked(r.Key)
		if len(ranked) == 0 {
			break
		}
		reply, ok := ask(ctx, c, c.replies, func(sequence uint64) {
			c.cfg.Asker.SendClaim(ranked[0], Claim{Sequence: sequence, Record: r, Replace: replace})
		})
		if ok && reply.Verdict != VerdictLater {
			return reply
		}
		if ok {
			sleep.For(ctx, c.cfg.Again)
		}
	}
	return Reply{Verdict: VerdictLater}
}

// Piece asks an owner for its answer from a token on; false means that it did
// not reply in time.
func (c *Claimer) Piece(ctx context.Context, id lifecycle.RequestID, from int) (Piece, bool) {
	return ask(ctx, c, c.pieces, func(sequence uint64) {
		c.cfg.Asker.SendJoin(id.Box, Join{Sequence: sequence, ID: id, From: from})
	})
}

// ask sends one question and waits for its answer.
func ask[T any](ctx context.Context, c *Claimer, waiting map[uint64]chan T, send func(sequence uint64)) (T, bool) {
	answer := make(chan T, 1)
	c.mutex.Lock()
	c.sequence++
	sequence := c.sequence
	waiting[sequence] = answer
	c.mutex.Unlock()
	defer func() {
		c.mutex.Lock()
		delete(waiting, sequence)
		c.mutex.Unlock()
	}()
	send(sequence)
	timer := time.NewTimer(c.cfg.Again)
	defer timer.Stop()
	var none T
	select {
	case a := <-answer:
		return a, true
	case <-timer.C:
		return none, false
	case <-ctx.Done():
		return none, false
	}
}

// Replied takes the reply to a claim; one for a question that is not open any
// more is dropped.
func (c *Claimer) Replied(r Reply) {
	deliver(c, c.replies, r.Sequence, r)
}

// Answered takes a piece of an answer.
func (c *Claimer) Answered(p Piece) {
	deliver(c, c.pieces, p.Sequence, p)
}

func deliver[T any](c *Claimer, waiting map[uint64]chan T, sequence uint64, v T) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if answer, ok := waiting[sequence]; ok {
		delete(waiting, sequence)
		answer <- v
	}
}
