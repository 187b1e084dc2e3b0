// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package discover maintains a box's directory of endpoints. A few boxes read the
// platform's list and announce changes to the others; package state/cover decides which
// boxes read.
package discover

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/state/cover"
	"runridge.example/runridge/state/directory"
)

// Source is the platform's list of endpoints.
type Source interface {
	// Endpoints reads the whole list and returns it with the position at which it was read.
	// With mayBeOld the list may be some seconds stale, which costs the platform less; the
	// first wait for changes returns what has changed since. Entries that cannot be read are
	// left out.
	Endpoints(ctx context.Context, mayBeOld bool) ([]directory.Entry, uint64, error)
	// EndpointChanges waits until the context ends for changes after a position, and returns
	// them with the position to continue from. With atOnce it returns the changes that exist
	// now without waiting. An entry that becomes unreadable is gone.
	EndpointChanges(ctx context.Context, after uint64, atOnce bool) ([]directory.Change, uint64, error)
}

// Config configures a Discoverer.
type Config struct {
	Source Source
	// Wait bounds one wait for changes; 0 is defaultWait.
	Wait time.Duration
	// BatchDelay returns the delay between a change and the next wait, so that a series of
	// changes is read in one batch; nil means no delay.
	BatchDelay func() time.Duration
	// KeepRemoved is how long a removed endpoint stays in the directory; 0 is defaultKeep.
	KeepRemoved time.Duration
	// OnChange receives each new directory, in order. It must not block.
	OnChange func(directory.Directory)
	// OnLost is called when the platform has dropped its history, stopped answering, or
	// answers again: other waits on the platform may then never return.
	OnLost func()
	// OnReading is called when this box starts to read the platform, for itself or for others.
	OnReading func()
	// OnRestore is called when the platform was restored from an older copy, which may lack
	// what this box wrote.
	OnRestore func()
	// Self is this box's name. Peers sends updates to other boxes; if it is nil, the box
	// reads the list on its own.
	Self  string
	Peers Peers
	// Ranked returns the boxes with duties in this box's region, in an order for the key
	// that all of them agree on.
	Ranked func(key string) []string
	// Tree returns the same boxes in the order of the tree along which updates of an origin
	// are forwarded; nil uses Ranked.
	Tree func(key, origin string) []string
	// RegionEntries returns, for each other region, the box that receives updates on its behalf,
	// chosen by the key in the same way everywhere; nil sends nothing to other regions.
	RegionEntries func(key string) []string
	// Readers is the number of boxes, first in rank, that read the platform for their
	// region; 0 stands for cover.Readers.
	Readers int
	// Vouches reports whether the platform also answers what this box reads besides the list of
	// endpoints. Other boxes don't rely on the updates of a box that can't vouch; nil means that
	// it always can.
	Vouches func() bool
	// Listed reports whether the platform's list of boxes has been read; if it is nil, each
	// box reads its first list of endpoints from the platform itself.
	Listed func() bool
	Log    log.Logger
}

const (
	// defaultWait is short because the platform may drop a wait without an error, and a
	// leaving endpoint still has to be known in time.
	defaultWait = time.Second
	defaultKeep = 30 * time.Second
	// answerTime is the part of a wait's time that is left for the platform's answer.
	answerTime = 400 * time.Millisecond
	// listTimeout bounds the read of a whole list, over all its pages.
	listTimeout    = 10 * time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxRoleCheckInterval bounds how long a box that doesn't read the platform takes to
	// notice that it has become a reader.
	maxRoleCheckInterval = 200 * time.Millisecond
)

// Discoverer maintains the directory of endpoints.
type Discoverer struct {
	cfg   Config
	mutex sync.Mutex
	known directory.Directory
	// needFresh requests a list that isn't stale.
	needFresh bool
	// gatheredRevision is the directory's revision when batchChanges last paused.
	gatheredRevision uint64
	exchange         exchange
	gap              gap
	outage           outage
	// listed is closed once the first list is known.
	listed chan struct{}
}

// New returns a Discoverer; Run starts it.
func New(cfg Config) *Discoverer {
	if cfg.Wait <= 0 {
		cfg.Wait = defaultWait
	}
	if cfg.KeepRemoved <= 0 {
		cfg.KeepRemoved = defaultKeep
	}
	return &Discoverer{cfg: cfg, outage: outage{lastHeard: time.Now()}, exchange: newExchange(), listed: make(chan struct{})}
}

// Directory returns the current directory.
func (d *Discoverer) Directory() directory.Directory {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.known
}

// MarkReplaced marks an endpoint as gone because another endpoint answered at its address.
func (d *Discoverer) MarkReplaced(id, address string) {
	d.update(func(known directory.Directory) directory.Directory { return known.WithReplaced(id, address) })
}

// SetDrained sets the drained availability zones.
func (d *Discoverer) SetDrained(zones map[string]bool) {
	d.update(func(known directory.Directory) directory.Directory { return known.WithDrained(time.Now(), zones) })
}

// update replaces the directory with the result of change, and logs it and calls OnChange
// if its revision changed or it became known.
func (d *Discoverer) update(change func(directory.Directory) directory.Directory) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	old := d.known
	d.known = change(old)
	if d.known.Known() && !old.Known() {
		close(d.listed)
	}
	if d.known.Revision() == old.Revision() && d.known.Known() == old.Known() {
		return
	}
	d.logChange(old, d.known)
	if d.cfg.OnChange != nil {
		d.cfg.OnChange(d.known)
	}
}

// batchChanges pauses after a change, so that further changes are read with it.
func (d *Discoverer) batchChanges(ctx context.Context) {
	revision := d.Directory().Revision()
	if d.cfg.BatchDelay == nil || revision == d.gatheredRevision {
		return
	}
	d.gatheredRevision = revision
	sleep.For(ctx, d.cfg.BatchDelay())
}

// Run reads the list and its changes until the context ends.
func (d *Discoverer) Run(ctx context.Context) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = initialBackoff
	pauses.MaxInterval = maxBackoff
	whole, lost := !d.awaitList(ctx), false
	// atOnce is set after a wait for changes that failed: there may be changes that only it has missed.
	atOnce := false
	for ctx.Err() == nil {
		// A box without a list can't serve requests, so it reads one even if it isn't a
		// reader.
		decision := d.decide(time.Now())
		if decision.Read && d.takeRereadDue(time.Now()) {
			whole, d.needFresh = true, true
		}
		if !decision.Read && !whole {
			sleep.For(ctx, min(decision.Wait, maxRoleCheckInterval))
			continue
		}
		knownBefore, begun := d.Directory().Known(), time.Now()
		decision.AtOnce = decision.AtOnce || atOnce
		bound := d.readTimeout(whole, decision)
		err := d.readOnce(ctx, bound, whole, decision)
		atOnce = err != nil && !whole && !decision.AtOnce
		if err != nil && whole && !knownBefore && d.Directory().Known() {
			// A list from another box, maybe of another region, came first.
			whole = false
			d.announceUnless(d.Directory().Snapshot(), 1)
			continue
		}
		switch {
		case err == nil && whole:
			// Reading the list doesn't prove that changes can be watched, so the backoff isn't
			// reset here.
			whole = false
		case err == nil:
			pauses.Reset()
			d.batchChanges(ctx)
			if lost {
				d.cfg.Log.Info("endpoint_list_regained")
				d.notifyLost()
				d.announce(d.lostUpdate())
			}
			lost = false
		case errors.Is(err, adapter.ErrHistoryGone):
			d.cfg.Log.WithFields(log.Fields{"position": d.Directory().At()}).Info("endpoint_history_gone")
			// The platform no longer has the changes since a stale list either.
			whole, d.needFresh = true, true
			d.notifyLost()
			d.announce(d.lostUpdate())
			sleep.For(ctx, pauses.NextBackOff())
		case ctx.Err() == nil:
			d.noteFailed(time.Since(begun), bound)
			d.cfg.Log.WithError(err).WithFields(log.Fields{
				"waited_ms": time.Since(begun).Milliseconds(), "away_ms": time.Since(d.LastHeard()).Milliseconds(), "whole": whole,
			}).Warn("endpoint_list_failed")
			if !lost {
				d.notifyLost()
			}
			d.announce(d.lostUpdate())
			d.noteRead(false)
			// A watch from the same position would return the same bytes again. Otherwise no fresh list
			// is read: if all boxes asked for one at once, the platform might not cope.
			unreadable := adapter.IsUnreadable(err)
			lost, d.needFresh = true, unreadable && !whole
			whole = whole || unreadable
			sleep.For(ctx, pauses.NextBackOff())
		}
	}
	return nil
}

func (d *Discoverer) notifyLost() {
	if d.cfg.OnLost != nil {
		d.cfg.OnLost()
	}
}

// readTimeout returns the bound of a read of the whole list, or else of the changes.
func (d *Discoverer) readTimeout(whole bool, decided cover.Decision) time.Duration {
	switch {
	case whole:
		return listTimeout
	case decided.MaxWait > 0:
		return min(d.cfg.Wait, decided.MaxWait+answerTime)
	default:
		return d.cfg.Wait
	}
}

// readOnce reads the whole list, or else the changes, as decided: those that exist now, or
// those that arrive during a wait. It updates the directory and announces what was read.
func (d *Discoverer) readOnce(ctx context.Context, bound time.Duration, whole bool, decided cover.Decision) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if whole {
		before, fresh := d.Directory(), d.needFresh
		first := !before.Known()
		list, at, err := d.readList(ctx)
		if err != nil {
			return err
		}
		if fresh {
			d.correctPosition(before.At(), at)
		}
		d.noteHeard(time.Now())
		d.noteRestore(time.Now(), at)
		d.update(func(known directory.Directory) directory.Directory {
			d.addToHistory(directory.Update{At: at, Whole: true})
			return known.WithList(time.Now(), at, list)
		})
		all := d.Directory().Snapshot()
		announced := all.At
		if first {
			// When all boxes start at once, one list is enough, even if it is slightly older.
			announced = 1
		}
		d.announceUnless(all, announced)
		return nil
	}
	after := d.Directory().At()
	changes, at, err := d.cfg.Source.EndpointChanges(ctx, after, decided.AtOnce)
	if err != nil {
		return err
	}
	d.noteHeard(time.Now())
	d.update(func(known directory.Directory) directory.Directory {
		now := time.Now()
		if at > known.At() {
			d.addToHistory(directory.Update{After: after, At: at, Changes: changes})
		}
		return known.WithChanges(now, at, changes).WithoutGone(now, d.cfg.KeepRemoved)
	})
	// Noted first, so that a box that takes the place of the readers announces its first read.
	d.noteRead(true)
	d.announce(directory.Update{After: after, At: at, Changes: changes})
	return nil
}
