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
	// From is the number of tokens that the sender has already.
	From int
}

// Piece is a part of an answer.
type Piece struct {
	Sequence uint64
	// Found reports whether the owner knows the request.
	Found  bool
	From   int
	Tokens []string
	// Ended reports that nothing follows; the fields below say how the answer ended.
	Ended        bool
	Phase        lifecycle.Phase
	Ran          lifecycle.Ran
	Reason       lifecycle.Reason
	RetryAfterMS int
}

// Asker sends questions to other boxes. Calls must not block.
type Asker interface {
	SendClaim(to string, c Claim)
	SendJoin(to string, j Join)
}

// ClaimerConfig configures a Claimer.
type ClaimerConfig struct {
	// Incarnation distinguishes this process from earlier ones of the box.
	Incarnation uint64
	Asker       Asker
	// Ranked returns the boxes in their order for a key.
	Ranked func(key string) []string
	// RetryInterval is the timeout of one question, and the wait before a claim that could not be
	// decided is sent again.
	RetryInterval time.Duration
	// Timeout bounds the total time of a claim.
	Timeout time.Duration
}

const (
	defaultAgain = 250 * time.Millisecond
	defaultFor   = 3 * time.Second
)

// Claimer sends questions on behalf of this box's requests.
type Claimer struct {
	cfg      ClaimerConfig
	mutex    sync.Mutex
	sequence uint64
	replies  map[uint64]chan Reply
	pieces   map[uint64]chan Piece
}

// NewClaimer returns a claimer; zero times in cfg get defaults.
func NewClaimer(cfg ClaimerConfig) *Claimer {
	if cfg.RetryInterval <= 0 {
		cfg.RetryInterval = defaultAgain
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultFor
	}
	return &Claimer{
		cfg:      cfg,
		sequence: cfg.Incarnation << incarnationShift,
		replies:  make(map[uint64]chan Reply),
		pieces:   make(map[uint64]chan Piece),
	}
}

// Claim asks the first box of the record's key whether a request may run. If no box decides
// in time, the verdict is VerdictLater, and the request must not run.
func (c *Claimer) Claim(ctx context.Context, r dedup.Record, replace lifecycle.RequestID) Reply {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
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
			sleep.For(ctx, c.cfg.RetryInterval)
		}
	}
	return Reply{Verdict: VerdictLater}
}

// Piece asks the owner of a request for its answer, starting at a token; false means that
// the owner did not reply in time.
func (c *Claimer) Piece(ctx context.Context, id lifecycle.RequestID, from int) (Piece, bool) {
	return ask(ctx, c, c.pieces, func(sequence uint64) {
		c.cfg.Asker.SendJoin(id.Box, Join{Sequence: sequence, ID: id, From: from})
	})
}

// ask sends one question and waits up to cfg.RetryInterval for its answer.
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
	timer := time.NewTimer(c.cfg.RetryInterval)
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

// Replied receives the reply to a claim. A reply to a question that is no longer open is
// dropped.
func (c *Claimer) Replied(r Reply) {
	deliver(c, c.replies, r.Sequence, r)
}

// Answered receives a piece of an answer.
func (c *Claimer) Answered(p Piece) {
	deliver(c, c.pieces, p.Sequence, p)
}

// deliver passes an answer to the question that waits for it, if any.
func deliver[T any](c *Claimer, waiting map[uint64]chan T, sequence uint64, v T) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if answer, ok := waiting[sequence]; ok {
		delete(waiting, sequence)
		answer <- v
	}
}
