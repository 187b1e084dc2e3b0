// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package discover keeps a box's directory of endpoints. A few boxes read the
// platform's list and tell the others; state/cover decides which.
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
	"runridge.example/runridge/state/directory"
)

// Source is the platform's list of endpoints.
type Source interface {
	// Endpoints reads the whole list and the position that it stands at. A list
	// that may be some seconds old costs the platform less; what has changed
	// since comes with the first wait for changes.
	Endpoints(ctx context.Context, mayBeOld bool) ([]directory.Entry, uint64, error)
	// EndpointChanges waits for changes after a position, up to the context's
	// end, and returns the position to go on from. With atOnce it waits for
	// nothing.
	EndpointChanges(ctx context.Context, after uint64, atOnce bool) ([]directory.Change, uint64, error)
}

// Config configures a Discoverer.
type Config struct {
	Source Source
	// Wait bounds one wait for changes.
	Wait time.Duration
	// Pause is the time between a change and the next wait, so that many changes
	// in a row come together; nil is none.
	Pause func() time.Duration
	// Keep is how long an endpoint that is gone is remembered.
	Keep time.Duration
	// OnChange gets each new directory, in order. It must not block.
	OnChange func(directory.Directory)
	// OnLost is called when the platform has forgotten its history, stopped
	// answering or answers again: what else waits for it may wait in vain.
	OnLost func()
	// OnReturn is called when the platform has come back from an older copy, which may
	// lack what this box wrote.
	OnReturn func()
	// Self is this box's name, and Peers takes updates to others; without Peers the
	// box follows the list alone.
	Self  string
	Peers Peers
	// Ranked lists the boxes with duties of this box's region in an order that all
	// of them agree on for a key.
	Ranked func(key string) []string
	// Tree orders them for the tree in which what an origin tells goes round; nil is by
	// Ranked.
	Tree func(key, origin string) []string
	// Heads names the box of each other region that takes updates in for it, in the
	// same order for a key; nil is none.
	Heads func(key string) []string
	// Readers is how many boxes, the first in rank, read the platform for their
	// region; 0 stands for cover.Readers.
	Readers int
	// Listed says whether the platform's list of boxes was read; without it each box
	// reads its first list of endpoints itself.
	Listed func() bool
	Log    log.Logger
}

const (
	// defaultWait is short: a wait that the platform has lost without a word
	// must not cost the time in which a leaving endpoint has to be known.
	defaultWait = time.Second
	defaultKeep = 30 * time.Second
	// listTimeout bounds the reading of a whole list, page by page.
	listTimeout  = 10 * time.Second
	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// longestLook is how soon a box that others read for sees that it has become
	// a reader itself.
	longestLook = 200 * time.Millisecond
)

// Discoverer is the duty.
type Discoverer struct {
	cfg   Config
	mutex sync.Mutex
	known directory.Directory
	// fresh asks for a list that is not old.
	fresh bool
	// gathered is the revision after which changes were last gathered.
	gathered uint64
	shared   shared
	gap      gap
	outage   outage
	// listed is closed once there is a list.
	listed chan struct{}
}

// New makes the duty; Run starts it.
func New(cfg Config) *Discoverer {
	if cfg.Wait <= 0 {
		cfg.Wait = defaultWait
	}
	if cfg.Keep <= 0 {
		cfg.Keep = defaultKeep
	}
	return &Discoverer{cfg: cfg, outage: outage{heard: time.Now()}, shared: newShared(), listed: make(chan struct{})}
}

// Directory is what is known now.
func (d *Discoverer) Directory() directory.Directory {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.known
}

// Left notes that another endpoint answered at this one's address.
func (d *Discoverer) Left(id string) {
	d.update(func(known directory.Directory) directory.Directory { return known.WithLeft(id) })
}

// SetDrained takes the drained availability zones.
func (d *Discoverer) SetDrained(zones map[string]bool) {
	d.update(func(known directory.Directory) directory.Directory { return known.WithDrained(time.Now(), zones) })
}

// update puts a new directory into force.
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
	d.cfg.Log.WithFields(log.Fields{
		"revision":  d.known.Revision(),
		"position":  d.known.At(),
		"endpoints": d.known.Len(),
	}).Info("directory_changed")
	if d.cfg.OnChange != nil {
		d.cfg.OnChange(d.known)
	}
}

// gather lets further changes come together after one.
func (d *Discoverer) gather(ctx context.Context) {
	revision := d.Directory().Revision()
	if d.cfg.Pause == nil || revision == d.gathered {
		return
	}
	d.gathered = revision
	sleep.For(ctx, d.cfg.Pause())
}

// Run follows the list until the context ends.
func (d *Discoverer) Run(ctx context.Context) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	whole, lost := !d.awaitList(ctx), false
	for ctx.Err() == nil {
		// Without a list the box cannot serve.
		decided := d.decide(time.Now())
		if decided.Read && d.rereads(time.Now()) {
			whole, d.fresh = true, true
		}
		if !decided.Read && !whole {
			sleep.For(ctx, min(decided.Wait, longestLook))
			continue
		}
		begunKnown := d.Directory().Known()
		err := d.once(ctx, whole, !decided.Tell)
		if err != nil && whole && !begunKnown && d.Directory().Known() {
			// Another box's list came first, of another region perhaps.
			whole = false
			d.tellUnless(d.Directory().All(), 1)
			continue
		}
		if err == nil && !whole {
			d.noteRead(true)
		}
		switch {
		case err == nil && whole:
			// The list alone does not show that changes can be followed.
			whole = false
		case err == nil:
			pauses.Reset()
			d.gather(ctx)
			if lost {
				d.cfg.Log.Info("endpoint_list_regained")
				d.lost()
				d.tell(d.lostUpdate())
			}
			lost = false
		case errors.Is(err, adapter.ErrHistoryGone):
			d.cfg.Log.WithFields(log.Fields{"position": d.Directory().At()}).Info("endpoint_history_gone")
			// The changes since an old list are forgotten too.
			whole, d.fresh = true, true
			d.lost()
			d.tell(d.lostUpdate())
			sleep.For(ctx, pauses.NextBackOff())
		case ctx.Err() == nil:
			d.noteFailed()
			d.cfg.Log.WithError(err).Warn("endpoint_list_failed")
			if !lost {
				d.lost()
			}
			d.tell(d.lostUpdate())
			d.noteRead(false)
			// All boxes that want a fresh list at once may be more than the
			// platform takes.
			lost, d.fresh = true, false
			sleep.For(ctx, pauses.NextBackOff())
		}
	}
	return nil
}

func (d *Discoverer) lost() {
	if d.cfg.OnLost != nil {
		d.cfg.OnLost()
	}
}

// once reads the whole list, or the changes: those that there are at once, or
// after a wait.
func (d *Discoverer) once(ctx context.Context, whole, atOnce bool) error {
	bound := d.cfg.Wait
	if whole {
		bound = listTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if whole {
		begun, fresh := d.Directory(), d.fresh
		first := !begun.Known()
		list, at, err := d.readList(ctx)
		if err != nil {
			return err
		}
		if fresh {
			d.correct(begun.At(), at)
		}
		d.noteHeard(time.Now())
		d.noteReturn(time.Now(), at)
		d.update(func(known directory.Directory) directory.Directory {
			d.remember(directory.Update{At: at, Whole: true})
			return known.WithList(time.Now(), at, list)
		})
		all := d.Directory().All()
		told := all.At
		if first {
			// Where all boxes start at once, one list is enough, if it is a little
			// older too.
			told = 1
		}
		d.tellUnless(all, told)
		return nil
	}
	after := d.Directory().At()
	changes, at, err := d.cfg.Source.EndpointChanges(ctx, after, atOnce)
	if err != nil {
		return err
	}
	d.noteHeard(time.Now())
	d.update(func(known directory.Directory) directory.Directory {
		now := time.Now()
		if at > known.At() {
			d.remember(directory.Update{After: after, At: at, Changes: changes})
		}
		return known.WithChanges(now, at, changes).Without(now, d.cfg.Keep)
	})
	d.tell(directory.Update{After: after, At: at, Changes: changes})
	return nil
}
