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

// held is a lease that this process has written: its revision, when the write was
// sent, and from when on orders may be given under it.
type held struct {
	revision uint64
	sent     time.Time
	from     time.Time
}

// acquire writes the lease of an engine, and waits until orders may be given under
// it. One that another process wrote before, if of this box, is waited out: all of
// the other's orders are over then, and a whole lease's time beside, so that no two
// holders take turns within that time.
func (k *Keeper) acquire(ctx context.Context, engine string) (held, error) {
	k.mutex.Lock()
	known := k.held[engine]
	k.mutex.Unlock()
	h, err := k.write(ctx, engine, known.revision, known.from)
	if errors.Is(err, adapter.ErrConflict) || errors.Is(err, adapter.ErrNotFound) {
		h, err = k.takeOver(ctx, engine)
	}
	if err != nil {
		return held{}, err
	}
	if wait := time.Until(h.from); wait > 0 {
		sleep.For(ctx, wait)
		// The window of the first write has passed meanwhile.
		return k.write(ctx, engine, h.revision, h.from)
	}
	return h, nil
}

// takeOver writes the lease in place of the one that stands.
func (k *Keeper) takeOver(ctx context.Context, engine string) (held, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := k.cfg.Leases.Lease(call, engine)
	if err != nil {
		return held{}, err
	}
	if found.Revision == 0 {
		return k.write(ctx, engine, 0, time.Time{})
	}
	wait := k.takeOverWait()
	k.cfg.Log.WithFields(log.Fields{log.FieldEngine: engine, "held_by": found.Holder, "revision": found.Revision, "wait_ms": wait.Milliseconds()}).Info("stage_lease_taken")
	// The wait counts from after the write: whoever held it cannot renew it then.
	return k.write(ctx, engine, found.Revision, time.Now().Add(wait))
}

// takeOverWait is how long after another's lease may have been written orders are given
// under the next one.
func (k *Keeper) takeOverWait() time.Duration {
	r := k.current()
	return 2*r.Lease + r.Thaw + callTimeout
}

// afterReturn is from when on orders may be given under a lease that was written now, where
// the store may have lost another's. Zero is at once.
func (k *Keeper) afterReturn(now time.Time, revision uint64) time.Time {
	if k.cfg.LatestReturn == nil {
		return time.Time{}
	}
	era, at := k.cfg.LatestReturn()
	switch {
	case position.Era(revision) > era:
		return now.Add(k.takeOverWait())
	case at.IsZero():
		return time.Time{}
	default:
		return at.Add(k.takeOverWait())
	}
}

// write writes a lease by compare-and-set.
func (k *Keeper) write(ctx context.Context, engine string, revision uint64, from time.Time) (held, error) {
	k.mutex.Lock()
	k.mark++
	mark := k.mark
	k.mutex.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := held{sent: time.Now(), from: from}
	var err error
	if h.revision, err = k.cfg.Leases.WriteLease(call, engine, k.cfg.Self, mark, revision); err != nil {
		return held{}, err
	}
	if after := k.afterReturn(time.Now(), h.revision); after.After(h.from) {
		h.from = after
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.held[engine] = h
	return h, nil
}

// tidy removes the leases of engines that are remembered no more.
func (k *Keeper) tidy(ctx context.Context) {
	k.mutex.Lock()
	gone := make(map[string]held)
	for engine, h := range k.held {
		if !k.cfg.Known(engine) {
			gone[engine] = h
			delete(k.held, engine)
			delete(k.unsure, engine)
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
