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

// watching says whether this box is one of those that watch the platform. One
// that has no table yet always is.
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
	settle := time.AfterFunc(f.cfg.Settle, func() { f.tryOpen(true) })
	defer settle.Stop()
	begun := time.Now()
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	version := uint64(0)
	for ctx.Err() == nil {
		if !f.watching() {
			// What happened meanwhile came from others; the object is read anew.
			version = 0
			sleep.For(ctx, watchLook)
			continue
		}
		next, err := f.once(ctx, version)
		if errors.Is(err, adapter.ErrHistoryGone) || errors.Is(err, errRefresh) {
			version = 0
			sleep.For(ctx, pauses.NextBackOff())
			continue
		}
		if time.Since(begun) > f.cfg.Settle {
			f.tryOpen(true)
		}
		if err == nil {
			if version > 0 {
				// The object alone does not show that it can be watched.
				pauses.Reset()
			}
			version = next
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.cfg.Log.WithError(err).Warn("platform_watch_failed")
		sleep.For(ctx, pauses.NextBackOff())
	}
	return nil
}

// errRefresh ends a wait because the object has to be read anew.
var errRefresh = errors.New("the object is read anew")

// endOnRefresh ends a wait when a refresh is asked for.
func (f *Follower) endOnRefresh(call context.Context, end context.CancelFunc) {
	select {
	case <-call.Done():
	case <-f.refresh.C():
		end()
	}
}

// once reads or watches the object once and returns the version to go on from.
func (f *Follower) once(ctx context.Context, version uint64) (uint64, error) {
	bound := f.cfg.Wait
	if version == 0 {
		bound = min(bound, readTimeout)
	}
	call, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	begun := time.Now()
	if version > 0 {
		go f.endOnRefresh(call, cancel)
	}
	o, err := f.get(call, version)
	if errors.Is(call.Err(), context.Canceled) && ctx.Err() == nil {
		return version, errRefresh
	}
	if err != nil {
		return version, err
	}
	f.mutex.Lock()
	f.heard = time.Now()
	f.mutex.Unlock()
	next := max(o.Version, o.At)
	if len(o.Value) == 0 {
		f.confirm(begun)
		return max(version, next), nil
	}
	t, err := Decode(o)
	if err == nil {
		if problems := t.Check(); len(problems) > 0 {
			err = problems
		}
	}
	if err != nil {
		// Whoever wrote it went past the check; the last good table stays.
		f.cfg.Log.WithFields(log.Fields{log.FieldGeneration: o.Version}).WithError(err).Error("table_rejected")
		f.mutex.Lock()
		f.rejected = o.Version
		f.mutex.Unlock()
		return next, nil
	}
	old := f.mayBeOld(version)
	f.Offer(t)
	if !old {
		f.confirm(begun)
	}
	if f.cfg.FirstAtOnce && version == 0 {
		f.tryOpen(true)
	}
	return next, nil
}

// mayBeOld says whether the object is read as it may have stood some time ago.
func (f *Follower) mayBeOld(version uint64) bool {
	return version == 0 && f.cfg.FirstAtOnce && f.Table().Generation == 0
}

// get reads the object, or waits for a newer version. A box without a table
// takes one that may be old: a newer generation is asked for as soon as another
// box names it, and a box that reads the platform itself goes on from there.
func (f *Follower) get(ctx context.Context, version uint64) (adapter.Object, error) {
	if f.mayBeOld(version) {
		return f.cfg.Platform.GetOld(ctx, ObjectName)
	}
	return f.cfg.Platform.Get(ctx, ObjectName, version)
}

// Decode reads the table from its object. The object's version is the table's
// generation: the platform makes it grow with each accepted write.
func Decode(o adapter.Object) (table.Table, error) {
	var t table.Table
	if err := json.Unmarshal(o.Value, &t); err != nil {
		return t, fmt.Errorf("table object version %d: %w", o.Version, err)
	}
	return t.WithGeneration(o.Version), nil
}
