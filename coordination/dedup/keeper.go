// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package dedup ensures that a request with an idempotency key runs once, whichever boxes
// it comes through. A key's record is created on the two boxes that rank first for the key
// before the request may start; docs/design/repeats.md has the argument.
package dedup

import (
	"context"
	"slices"
	"time"

	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/dedup"
	"runridge.example/runridge/state/lifecycle"
)

// Claim asks the first box of a key whether a request may run.
type Claim struct {
	// Sequence matches the reply to the claim.
	Sequence uint64
	Record   dedup.Record
	// Replace is the owner whose record may be taken over.
	Replace lifecycle.RequestID
}

// Verdict is the reply to a claim.
type Verdict uint8

const (
	// VerdictRun means that the request is the first and may run.
	VerdictRun Verdict = iota
	// VerdictJoin means that another request owns the key.
	VerdictJoin
	// VerdictConflict means that the key belongs to a different request.
	VerdictConflict
	// VerdictUncertain means that a record may have been lost.
	VerdictUncertain
	// VerdictLater means that the claim cannot be decided now.
	VerdictLater
)

// Reply is the reply to a claim.
type Reply struct {
	Sequence uint64
	Verdict  Verdict
	Owner    lifecycle.RequestID
	Once     bool
}

// Copy sends a record to the second box of its key; Copied is the reply.
type Copy struct {
	Sequence uint64
	Record   dedup.Record
	Replace  lifecycle.RequestID
}

// Copied reports what the second box had.
type Copied struct {
	Sequence uint64
	Status   dedup.Status
	Record   dedup.Record
	// Covers reports that the second box has every record of the key.
	Covers bool
}

// Sender sends messages to other boxes. Calls must not block.
type Sender interface {
	SendReply(to string, r Reply)
	SendCopy(to string, c Copy)
	SendCopied(to string, c Copied)
}

// Config configures a Keeper.
type Config struct {
	Self string
	// Incarnation distinguishes this process from earlier ones of the box: an answer to one
	// of theirs must not be taken for an answer to a question of this one.
	Incarnation uint64
	Store       dedup.Config
	Sender      Sender
	// Rank orders boxes for a key.
	Rank func(key string, boxes []string) []string
	// CopyTimeout bounds the wait for the second box.
	CopyTimeout time.Duration
}

const (
	defaultCopyTimeout = 500 * time.Millisecond
	queueSize          = 2048
	expiryInterval     = 50 * time.Millisecond
)

// pending is a claim that waits for the second box.
type pending struct {
	from  string
	claim Claim
	// covered reports that this box itself has every record of the key.
	covered bool
	since   time.Time
}

// incoming is a message from a box.
type incoming struct {
	from string
	body any
}

// Keeper stores the records of the keys that this box ranks for, in one goroutine.
type Keeper struct {
	cfg      Config
	queue    *ring.Ring[incoming]
	distrust *ring.Ring[struct{}]
	store    *dedup.Store
	pending  map[uint64]pending
	sequence uint64
}

// NewKeeper returns a Keeper; Run starts it.
func NewKeeper(cfg Config) *Keeper {
	if cfg.CopyTimeout <= 0 {
		cfg.CopyTimeout = defaultCopyTimeout
	}
	return &Keeper{
		cfg:      cfg,
		queue:    ring.New[incoming](queueSize),
		distrust: ring.New[struct{}](1),
		store:    dedup.New(cfg.Store, cfg.Self, cfg.Rank),
		pending:  make(map[uint64]pending),
		sequence: cfg.Incarnation << incarnationShift,
	}
}

// incarnationShift leaves 22 bits for the questions of one process. An incarnation is a
// time in milliseconds, of 41 bits.
const incarnationShift = 22

// Receive queues a Claim, Copy or Copied from a box.
func (k *Keeper) Receive(from string, body any) ring.Outcome {
	return k.queue.Offer(incoming{from: from, body: body})
}

// boxSet is the set of active boxes from a moment on.
type boxSet []string

// SetBoxes queues a new set of active boxes. Each set counts, since the keeper has to know
// of every moment in which this box did not rank for a key. If the queue is full, the
// keeper no longer trusts what it knew of the past.
func (k *Keeper) SetBoxes(boxes []string) {
	if k.queue.Offer(incoming{body: boxSet(boxes)}) == ring.Full {
		k.ReportGap()
	}
}

// ReportGap reports that this box may have missed records.
func (k *Keeper) ReportGap() {
	// A pending signal already covers this one.
	_ = k.distrust.Offer(struct{}{})
}

// Run processes messages until the context ends. It always returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	k.store.SetBoxes(time.Now(), []string{k.cfg.Self})
	// Without a pending claim there is nothing to expire.
	var look <-chan time.Time
	for {
		if look == nil && len(k.pending) > 0 {
			look = time.After(expiryInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-k.distrust.C():
			k.store.ResetViews(time.Now())
		case in := <-k.queue.C():
			k.handle(time.Now(), in)
		case now := <-look:
			look = nil
			k.expirePending(now)
		}
	}
}

// handle applies one message.
func (k *Keeper) handle(now time.Time, in incoming) {
	switch body := in.body.(type) {
	case boxSet:
		k.store.SetBoxes(now, body)
	case Claim:
		k.claim(now, in.from, body)
	case Copy:
		k.handleCopy(now, in.from, body)
	case Copied:
		k.handleCopied(body)
	}
}

// claim decides a claim, together with the second box if there is one.
func (k *Keeper) claim(now time.Time, from string, c Claim) {
	status, r := k.store.Claim(now, c.Record, c.Replace)
	if status != dedup.Fresh {
		k.reply(from, c, status, r)
		return
	}
	covered := k.store.Covers(now, c.Record.Key)
	holders := k.store.Holders(c.Record.Key)
	i := slices.IndexFunc(holders, func(b string) bool { return b != k.cfg.Self })
	if i < 0 {
		k.decide(from, c, covered)
		return
	}
	k.sequence++
	k.pending[k.sequence] = pending{from: from, claim: c, covered: covered, since: now}
	k.cfg.Sender.SendCopy(holders[i], Copy{Sequence: k.sequence, Record: c.Record, Replace: c.Replace})
}

// decide answers a claim that is recorded on all boxes that must have it.
func (k *Keeper) decide(from string, c Claim, covered bool) {
	verdict := VerdictRun
	replaced := c.Replace != (lifecycle.RequestID{})
	if !covered && c.Record.Once && !replaced {
		// An earlier record may have been lost with the boxes that had it.
		verdict = VerdictUncertain
		k.store.Forget(c.Record.Key, c.Record.Owner)
	} else {
		k.store.Confirm(c.Record.Key, c.Record.Owner)
	}
	k.cfg.Sender.SendReply(from, Reply{Sequence: c.Sequence, Verdict: verdict})
}

// reply answers a claim that was not recorded because of what the store, here or on the
// second box, already has.
func (k *Keeper) reply(from string, c Claim, s dedup.Status, r dedup.Record) {
	out := Reply{Sequence: c.Sequence, Owner: r.Owner, Once: r.Once}
	switch s {
	case dedup.Existing:
		out.Verdict = VerdictJoin
	case dedup.Mismatch:
		out.Verdict = VerdictConflict
	default:
		out.Verdict = VerdictLater
	}
	k.cfg.Sender.SendReply(from, out)
}

// handleCopy stores a record for the first box, if this box agrees that it ranks for the
// key.
func (k *Keeper) handleCopy(now time.Time, from string, c Copy) {
	covers := k.store.Covers(now, c.Record.Key)
	status, r := k.store.Claim(now, c.Record, c.Replace)
	if status == dedup.Fresh {
		// From now on the first box may allow the owner to run, so a claim that fails on
		// this box must not delete the record.
		k.store.Confirm(c.Record.Key, c.Record.Owner)
		// The first box knows the record; it sent it.
		r = dedup.Record{}
	}
	k.cfg.Sender.SendCopied(from, Copied{Sequence: c.Sequence, Status: status, Record: r, Covers: covers})
}

// handleCopied applies the second box's reply to the pending claim.
func (k *Keeper) handleCopied(c Copied) {
	p, ok := k.pending[c.Sequence]
	if !ok {
		return
	}
	delete(k.pending, c.Sequence)
	if c.Status == dedup.Fresh {
		k.decide(p.from, p.claim, p.covered || c.Covers)
		return
	}
	k.store.Forget(p.claim.Record.Key, p.claim.Record.Owner)
	k.reply(p.from, p.claim, c.Status, c.Record)
}

// expirePending ends the claims whose second box has not replied in time. Such a request
// has not run; its box reports that if the record is found later.
func (k *Keeper) expirePending(now time.Time) {
	for sequence, p := range k.pending {
		if now.Sub(p.since) < k.cfg.CopyTimeout {
			continue
		}
		delete(k.pending, sequence)
		k.store.Forget(p.claim.Record.Key, p.claim.Record.Owner)
		k.cfg.Sender.SendReply(p.from, Reply{Sequence: p.claim.Sequence, Verdict: VerdictLater})
	}
}
