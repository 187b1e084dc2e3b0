// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/cespare/xxhash/v2"

	"runridge.example/runridge/coordination/dedup"
	"runridge.example/runridge/coordination/owner"
	"runridge.example/runridge/modules/sleep"
	records "runridge.example/runridge/state/dedup"
	"runridge.example/runridge/state/lifecycle"
)

// Keys decides which of several requests with one idempotency key runs.
type Keys interface {
	Claim(ctx context.Context, r records.Record, replace lifecycle.RequestID) dedup.Reply
	Piece(ctx context.Context, id lifecycle.RequestID, from int) (dedup.Piece, bool)
}

// Owners reports whether the box that handles a request is alive.
type Owners interface {
	Check(ctx context.Context, id lifecycle.RequestID) owner.Verdict
}

const (
	// followInterval is the pause between two queries for more of an answer.
	followInterval = 30 * time.Millisecond
	// ownerTimeout limits how long the owner of an answer may be silent.
	ownerTimeout = 3 * time.Second
)

// followOutcome is the outcome of following the answer of another request.
type followOutcome uint8

const (
	// followEnded means that the final outcome was received.
	followEnded followOutcome = iota
	// followFree means that the other request did not run, so that this one may.
	followFree
	// followLost means that the outcome of the other request cannot be determined.
	followLost
)

// digest returns a hash of the request's content, to detect different requests with the same
// key.
func (r Request) digest() uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Service, r.Account, r.Prompt} {
		// The digest's WriteString never fails.
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64() + uint64(r.OutputTokens)
}

// keyBytes is the length of a record's key: enough of a SHA-256 that the keys of two callers do
// not collide.
const keyBytes = 12

// recordKey returns the key of the request's record, which depends on the account and its
// idempotency key.
func (r Request) recordKey() string {
	sum := sha256.Sum256([]byte(r.Account + "\x00" + r.Key))
	return string(sum[:keyBytes])
}

// claimKey claims the idempotency key and reports whether this request has to run. Otherwise it
// has ended the request, with the answer of the request that owns the key or without one.
func (d *driver) claimKey() bool {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	go func() {
		select {
		case <-d.call.gone:
			cancel()
		case <-ctx.Done():
		}
	}()
	record := records.Record{
		Key:    d.request.recordKey(),
		Digest: d.request.digest(),
		Owner:  d.call.ID,
		Once:   d.request.Once,
	}
	replace := lifecycle.RequestID{}
	for ctx.Err() == nil {
		reply := d.dispatcher.cfg.Keys.Claim(ctx, record, replace)
		switch reply.Verdict {
		case dedup.VerdictRun:
			return true
		case dedup.VerdictConflict:
			d.finish(Answer{Phase: lifecycle.RefusedNotRun, Reason: lifecycle.ReasonKeyConflict})
			return false
		case dedup.VerdictUncertain:
			d.finish(Answer{Phase: lifecycle.Unknown, Reason: lifecycle.ReasonDuplicate})
			return false
		case dedup.VerdictLater:
			if ctx.Err() == nil {
				d.finish(Answer{Phase: lifecycle.RefusedNotRun, Reason: lifecycle.ReasonNoHome, RetryAfter: time.Second})
			}
		case dedup.VerdictJoin:
			switch d.followAnswer(ctx, reply) {
			case followEnded:
				return false
			case followFree:
				replace = reply.Owner
				continue
			case followLost:
				d.finish(Answer{Phase: lifecycle.Unknown, Reason: lifecycle.ReasonDuplicate, Tokens: d.machine.Emitted})
				return false
			}
		}
		if d.answered {
			return false
		}
	}
	d.finish(Answer{Phase: lifecycle.Cancelled, Reason: lifecycle.ReasonCallerGone})
	return false
}

// followAnswer passes the answer of the request that owns the key on to the caller.
func (d *driver) followAnswer(ctx context.Context, reply dedup.Reply) followOutcome {
	lastReply := time.Now()
	for ctx.Err() == nil {
		p, ok := d.dispatcher.cfg.Keys.Piece(ctx, reply.Owner, d.machine.Emitted)
		if !ok {
			if end, over := d.ownerSilent(ctx, reply, lastReply); over {
				return end
			}
			continue
		}
		lastReply = time.Now()
		if !p.Found {
			return followLost
		}
		for _, t := range p.Tokens {
			d.machine.Emitted++
			d.sendToken(t)
		}
		if p.Ended {
			return d.finishFollowing(p)
		}
		sleep.For(ctx, followInterval)
	}
	return followLost
}

// ownerSilent determines the outcome when the owner does not answer. It returns false while the
// owner may still answer.
func (d *driver) ownerSilent(ctx context.Context, reply dedup.Reply, lastReply time.Time) (followOutcome, bool) {
	switch d.dispatcher.cfg.Owners.Check(ctx, reply.Owner) {
	case owner.Ended:
		// The other request has provably ended without an answer. If it may be repeated, this
		// request runs instead, unless part of the answer was already sent to the caller.
		if !reply.Once && d.machine.Emitted == 0 {
			return followFree, true
		}
		return followLost, true
	case owner.Reachable, owner.Unreachable:
	}
	return followLost, time.Since(lastReply) > ownerTimeout
}

// finishFollowing ends the request with the outcome of the other one, unless that outcome means
// that nothing ran.
func (d *driver) finishFollowing(p dedup.Piece) followOutcome {
	stopped := p.Phase == lifecycle.Cancelled && d.machine.Emitted == 0
	free := p.Phase == lifecycle.RefusedNotRun || stopped && (p.Ran == lifecycle.NotRun || !d.request.Once)
	if free {
		return followFree
	}
	phase := p.Phase
	switch {
	case phase == lifecycle.Cancelled:
		phase = lifecycle.Failed
	case !phase.Known():
		phase = lifecycle.Unknown
	}
	d.finish(Answer{Phase: phase, Reason: p.Reason, Tokens: d.machine.Emitted})
	return followEnded
}
