// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/state/cover"
	"runridge.example/runridge/state/table"
)

// watching reports whether this box is one of those that watch the platform. A box that
// has no table yet always is.
func (f *Follower) watching() bool {
	f.mutex.Lock()
	none := f.table.Generation == 0
	f.mutex.Unlock()
	if none {
		return true
	}
	if f.cfg.Reads != nil {
		return f.cfg.Reads()
	}
	order := f.cfg.Ranked(ObjectName)
	return slices.Contains(order[:min(cover.Readers, len(order))], f.cfg.Self)
}

// Run watches the platform's object until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for _, wait := range []time.Duration{f.cfg.Settle, settleFactor * f.cfg.Settle} {
		timer := time.AfterFunc(wait, f.tryOpenGate)
		defer timer.Stop()
	}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = initialBackoff
	pauses.MaxInterval = maxBackoff
	version := uint64(0)
	for ctx.Err() == nil {
		if !f.watching() {
			// Changes arrive from other boxes meanwhile; later the object is read again.
			version = 0
			f.noteAnswered(true)
			sleep.ForUnlessWoken(ctx, roleCheckInterval, f.refresh.C())
			continue
		}
		next, err := f.readOnce(ctx, version)
		if errors.Is(err, errRefresh) {
			version = 0
			continue
		}
		if errors.Is(err, adapter.ErrHistoryGone) || adapter.IsUnreadable(err) {
			// A watch from the same position would fail again.
			version = 0
			f.pause(ctx, pauses.NextBackOff(), err)
			continue
		}
		f.tryOpenGate()
		if err == nil {
			if version > 0 {
				// Reading the object doesn't prove that it can be watched, so only a finished
				// watch resets the backoff.
				pauses.Reset()
			}
			version = next
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.pause(ctx, pauses.NextBackOff(), err)
	}
	return nil
}

// pause waits after a read that failed, and then reads the object again, at once on a refresh.
func (f *Follower) pause(ctx context.Context, length time.Duration, err error) {
	f.cfg.Log.WithFields(log.Fields{
		log.FieldGeneration: f.Table().Generation,
		"pause_ms":          length.Milliseconds(),
	}).WithError(err).Warn("platform_watch_failed")
	sleep.ForUnlessWoken(ctx, length, f.refresh.C())
}

// errRefresh is returned for a wait that a refresh ended, so that the object is read
// again.
var errRefresh = errors.New("the object is read anew")

// endOnRefresh cancels a wait when a refresh is requested.
func (f *Follower) endOnRefresh(call context.Context, end context.CancelFunc) {
	select {
	case <-call.Done():
	case <-f.refresh.C():
		end()
	}
}

// readOnce reads the object, or waits for a newer one if version is above 0, and returns
// the version to continue from.
func (f *Follower) readOnce(ctx context.Context, version uint64) (uint64, error) {
	bound := f.cfg.Wait
	if version == 0 {
		bound = min(bound, readTimeout)
	}
	call, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	start := time.Now()
	if version > 0 {
		go f.endOnRefresh(call, cancel)
	}
	o, err := f.readObject(call, version)
	if errors.Is(call.Err(), context.Canceled) && ctx.Err() == nil {
		return version, errRefresh
	}
	// Without a version the whole answer is unreadable, not the table.
	unreadable := o.Version > 0 && adapter.IsUnreadable(err)
	f.noteAnswered(err == nil || unreadable || errors.Is(err, adapter.ErrNotFound) || errors.Is(err, adapter.ErrHistoryGone))
	if err != nil && !unreadable {
		return version, err
	}
	f.mutex.Lock()
	f.platformHeard = time.Now()
	f.mutex.Unlock()
	next := max(o.Version, o.At)
	if unreadable {
		f.reject(o, err)
		return next, nil
	}
	if len(o.Value) == 0 {
		f.noteConfirmed(start)
		return max(version, next), nil
	}
	t, err := Decode(o)
	if err == nil {
		if problems := t.Check(); len(problems) > 0 {
			err = problems
		}
	}
	if err != nil {
		f.reject(o, err)
		return next, nil
	}
	old := f.mayBeStale(version)
	f.Offer(t)
	if !old {
		f.noteConfirmed(start)
	}
	return next, nil
}

// reject leaves the last valid table in force: the writer of an object bypassed the check.
func (f *Follower) reject(o adapter.Object, err error) {
	f.cfg.Log.WithFields(log.Fields{log.FieldGeneration: o.Version}).WithError(err).Error("table_rejected")
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rejected = o.Version
}

// noteAnswered records whether the platform answered a read.
func (f *Follower) noteAnswered(answered bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unanswered = !answered
}

// Reaches reports whether the platform answered this box's last read of the table.
func (f *Follower) Reaches() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.unanswered
}

// mayBeStale reports whether the object is read as it may have been some seconds ago.
func (f *Follower) mayBeStale(version uint64) bool {
	return version == 0 && f.cfg.FirstMayBeStale && f.Table().Generation == 0
}

// readObject reads the object, or waits for a newer version. A box without a table accepts
// a stale one: it pulls a newer generation as soon as another box names it, and a box that
// reads the platform itself continues from the stale version.
func (f *Follower) readObject(ctx context.Context, version uint64) (adapter.Object, error) {
	if f.mayBeStale(version) {
		return f.cfg.Platform.GetStale(ctx, ObjectName)
	}
	return f.cfg.Platform.Get(ctx, ObjectName, version)
}

// Decode reads the table from its object. The object's version is the table's generation:
// the platform increases it with each accepted write.
func Decode(o adapter.Object) (table.Table, error) {
	var t table.Table
	if err := json.Unmarshal(o.Value, &t); err != nil {
		return t, fmt.Errorf("table object version %d: %w", o.Version, err)
	}
	return t.WithGeneration(o.Version), nil
}
