// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package stages

import (
	"context"
	"errors"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/state/position"
)

// heldLease is a lease that this process has written: its revision, when the write was sent, and
// the time from which orders may be given under it.
type heldLease struct {
	revision   uint64
	sentAt     time.Time
	ordersFrom time.Time
}

// acquire writes the lease of an engine, and waits until orders may be given under it. If
// another process, also an earlier one of this box, wrote the lease before, it waits until
// all orders of that holder are over and a whole lease time has passed, so that no two
// holders give orders within one lease time.
func (k *Keeper) acquire(ctx context.Context, engine string) (heldLease, error) {
	k.mutex.Lock()
	known := k.held[engine]
	k.mutex.Unlock()
	h, err := k.write(ctx, engine, known.revision, known.ordersFrom)
	if errors.Is(err, adapter.ErrConflict) || errors.Is(err, adapter.ErrNotFound) {
		h, err = k.takeOver(ctx, engine)
	}
	if err != nil {
		return heldLease{}, err
	}
	if wait := time.Until(h.ordersFrom); wait > 0 {
		sleep.For(ctx, wait)
		// The order window of the first write has passed meanwhile.
		return k.write(ctx, engine, h.revision, h.ordersFrom)
	}
	return h, nil
}

// takeOver replaces the lease of another holder, or creates the lease if there is none.
func (k *Keeper) takeOver(ctx context.Context, engine string) (heldLease, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := k.cfg.Leases.Lease(call, engine)
	if err != nil {
		return heldLease{}, err
	}
	if found.Revision == 0 {
		return k.write(ctx, engine, 0, time.Time{})
	}
	wait := k.takeOverWait()
	k.cfg.Log.WithFields(log.Fields{log.FieldEngine: engine, "held_by": found.Holder, "revision": found.Revision, "wait_ms": wait.Milliseconds()}).Info("stage_lease_taken")
	// The wait counts from before the write. The callTimeout in it covers the write, after
	// which the previous holder cannot renew the lease.
	return k.write(ctx, engine, found.Revision, time.Now().Add(wait))
}

// takeOverWait returns the time from the last possible write of another's lease until
// orders may be given under the next one.
func (k *Keeper) takeOverWait() time.Duration {
	r := k.currentRules()
	return 2*r.Lease + r.Thaw + callTimeout
}

// afterReturn returns the earliest time for orders under a lease that is written now, if
// the platform's store came back from an older copy and may have lost another holder's
// lease. Zero means at once.
func (k *Keeper) afterReturn(now time.Time, revision uint64) time.Time {
	if k.cfg.LatestRestore == nil {
		return time.Time{}
	}
	era, at := k.cfg.LatestRestore()
	switch {
	case position.Era(revision) > era:
		return now.Add(k.takeOverWait())
	case at.IsZero():
		return time.Time{}
	default:
		return at.Add(k.takeOverWait())
	}
}

// write writes a lease by compare-and-set and remembers it. Orders may be given from the
// given time on, or later if the store has come back from an older copy.
func (k *Keeper) write(ctx context.Context, engine string, revision uint64, from time.Time) (heldLease, error) {
	k.mutex.Lock()
	k.mark++
	mark := k.mark
	k.mutex.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := heldLease{sentAt: time.Now(), ordersFrom: from}
	var err error
	if h.revision, err = k.cfg.Leases.WriteLease(call, engine, k.cfg.Self, mark, revision); err != nil {
		return heldLease{}, err
	}
	if after := k.afterReturn(time.Now(), h.revision); after.After(h.ordersFrom) {
		h.ordersFrom = after
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.held[engine] = h
	return h, nil
}

// removeStale removes the leases of engines that are no longer known.
func (k *Keeper) removeStale(ctx context.Context) {
	k.mutex.Lock()
	gone := make(map[string]heldLease)
	for engine, h := range k.held {
		if !k.cfg.Known(engine) {
			gone[engine] = h
			delete(k.held, engine)
			delete(k.unanswered, engine)
		}
	}
	k.mutex.Unlock()
	for engine, h := range gone {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := k.cfg.Leases.EndLease(call, engine, h.revision)
		cancel()
		if err != nil {
			k.cfg.Log.WithFields(log.Fields{log.FieldEngine: engine}).WithError(err).Info("stage_lease_left")
		}
	}
}
