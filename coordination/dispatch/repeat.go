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

// Owners says what is known of a request's box.
type Owners interface {
	Of(ctx context.Context, id lifecycle.RequestID) owner.Verdict
}

const (
	// joinEvery is the pause between two questions for more of an answer.
	joinEvery = 30 * time.Millisecond
	// joinPatience bounds how long an owner may be silent.
	joinPatience = 3 * time.Second
)

// joined is how following another request's answer went.
type joined uint8

const (
	// joinedEnd means: the final word is there.
	joinedEnd joined = iota
	// joinedFree means: the other request did not run, so this one may.
	joinedFree
	// joinedLost means: the other request's fate cannot be known.
	joinedLost
)

// digest tells two requests apart that were sent under one key.
func (r Request) digest() uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Service, r.Account, r.Prompt} {
		// The digest's WriteString never fails.
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64() + uint64(r.OutputTokens)
}

// keyBytes is the length of a record's key: enough of a SHA-256 that two
// callers' keys do not meet.
const keyBytes = 12

// recordKey names the account's key in the records.
func (r Request) recordKey() string {
	sum := sha256.Sum256([]byte(r.Account + "\x00" + r.Key))
	return string(sum[:keyBytes])
}

// settleKey finds out whether this request is the one to run. It reports true
// if so; else the answer stands.
func (v *driver) settleKey() bool {
	ctx, cancel := context.WithCancel(v.ctx)
	defer cancel()
	go func() {
		select {
		case <-v.call.gone:
			cancel()
		case <-ctx.Done():
		}
	}()
	record := records.Record{
		Key:    v.request.recordKey(),
		Digest: v.request.digest(),
		Owner:  v.call.ID,
		Once:   v.request.Once,
	}
	replace := lifecycle.RequestID{}
	for ctx.Err() == nil {
		reply := v.d.cfg.Keys.Claim(ctx, record, replace)
		switch reply.Verdict {
		case dedup.VerdictRun:
			return true
		case dedup.VerdictConflict:
			v.conclude(Answer{Phase: lifecycle.RefusedNotRun, Reason: lifecycle.ReasonKeyConflict})
			return false
		case dedup.VerdictUncertain:
			v.conclude(Answer{Phase: lifecycle.Unknown, Reason: lifecycle.ReasonDuplicate})
			return false
		case dedup.VerdictLater:
			if ctx.Err() == nil {
				v.conclude(Answer{Phase: lifecycle.RefusedNotRun, Reason: lifecycle.ReasonNoHome, RetryAfter: time.Second})
			}
		case dedup.VerdictJoin:
			switch v.join(ctx, reply) {
			case joinedEnd:
				return false
			case joinedFree:
				replace = reply.Owner
				continue
			case joinedLost:
				v.conclude(Answer{Phase: lifecycle.Unknown, Reason: lifecycle.ReasonDuplicate, Tokens: v.machine.Emitted})
				return false
			}
		}
		if v.answered {
			return false
		}
	}
	v.conclude(Answer{Phase: lifecycle.Cancelled, Reason: lifecycle.ReasonCallerGone})
	return false
}

// join follows the answer of the request that owns the key.
func (v *driver) join(ctx context.Context, reply dedup.Reply) joined {
	heard := time.Now()
	for ctx.Err() == nil {
		p, ok := v.d.cfg.Keys.Piece(ctx, reply.Owner, v.machine.Emitted)
		if !ok {
			if end, over := v.ownerSilent(ctx, reply, heard); over {
				return end
			}
			continue
		}
		heard = time.Now()
		if !p.Found {
			return joinedLost
		}
		for _, t := range p.Tokens {
			v.machine.Emitted++
			v.hand(t)
		}
		if p.Ended {
			return v.joinEnd(p)
		}
		sleep.For(ctx, joinEvery)
	}
	return joinedLost
}

// ownerSilent decides what an owner's silence means.
func (v *driver) ownerSilent(ctx context.Context, reply dedup.Reply, heard time.Time) (joined, bool) {
	switch v.d.cfg.Owners.Of(ctx, reply.Owner) {
	case owner.Gone:
		// It is proved that the other request has ended without an answer.
		// One that may be repeated is, unless part of it was handed on.
		if !reply.Once && v.machine.Emitted == 0 {
			return joinedFree, true
		}
		return joinedLost, true
	case owner.There, owner.Silent:
	}
	return joinedLost, time.Since(heard) > joinPatience
}

// joinEnd takes over the other request's final word, unless that word means
// that nothing ran.
func (v *driver) joinEnd(p dedup.Piece) joined {
	stopped := p.Phase == lifecycle.Cancelled && v.machine.Emitted == 0
	free := p.Phase == lifecycle.RefusedNotRun || stopped && (p.Ran == lifecycle.NotRun || !v.request.Once)
	if free {
		return joinedFree
	}
	phase := p.Phase
	switch {
	case phase == lifecycle.Cancelled:
		phase = lifecycle.Failed
	case !phase.Known():
		phase = lifecycle.Unknown
	}
	v.conclude(Answer{Phase: phase, Reason: p.Reason, Tokens: v.machine.Emitted})
	return joinedEnd
}
