// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package drain keeps a box on the availability zones that the operator has
// drained. The boxes that read the list of endpoints read these zones too, and send
// them to the others at once. A box that missed it notices from the revision on each
// membership message, and asks.
package drain

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/state/drain"
	"runridge.example/runridge/state/position"
)

// Source is the platform's list of drained zones.
type Source interface {
	// DrainedZones reads the whole list, never an old one, and the position that
	// it stands at.
	DrainedZones(ctx context.Context) ([]drain.Zone, uint64, error)
	// DrainChanges waits for changes after a position, up to the context's end,
	// and returns the position to go on from.
	DrainChanges(ctx context.Context, after uint64) ([]drain.Change, uint64, error)
}

// Peers takes drained zones between boxes. Calls must not block.
type Peers interface {
	SendDrained(to string, u drain.Update)
	// SendDrainedPull asks a box for what it knows.
	SendDrainedPull(to string)
}

// Config configures a Keeper.
type Config struct {
	Self   string
	Source Source
	Peers  Peers
	// Ranked lists the boxes with duties of this box's region in an order that all
	// of them agree on for a key.
	Ranked func(key string) []string
	// Tree orders them for the tree in which what an origin tells goes round; nil is by
	// Ranked.
	Tree func(key, origin string) []string
	// Heads names the box of each other region that takes updates in for it, in the
	// same order for a key; nil is none.
	Heads func(key string) []string
	// Reads says whether this box reads the platform for all.
	Reads func() bool
	// OnChange gets the drained zones after each change, in order. It must not
	// block.
	OnChange func(drain.Zones)
	Log      log.Logger
}

const (
	// wait bounds one wait for changes. A wait that the platform has dropped
	// unnoticed must end well within the 5 s in which a drained zone has to be
	// in force; three readers make 72 calls a minute by it.
	wait = 2500 * time.Millisecond
	// listTimeout bounds the reading of the list.
	listTimeout  = 1200 * time.Millisecond
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
	// look is how often a box looks whether it has become a reader.
	look = 200 * time.Millisecond
	// startPatience is how long a box that starts holds requests off until it
	// knows the drained zones, from its start or the first message of another box:
	// the other boxes answer within a second, and where neither they nor the
	// platform do, it serves all the same.
	startPatience = 2 * time.Second
	// pullPause keeps one lag from being asked about with every message.
	pullPause = 500 * time.Millisecond
	// rankKey orders the boxes for how an update goes round.
	rankKey = "drained"
)

// Keeper is the duty.
type Keeper struct {
	cfg     Config
	started time.Time
	// refresh ends the wait under way; the list is read anew.
	refresh *ring.Ring[struct{}]

	mutex sync.Mutex
	zones drain.Zones
	// since is when each drained zone came into force here.
	since  map[string]time.Time
	pulled time.Time
	// heldUntil is until when the zones that are known hold over the platform's list.
	heldUntil time.Time
	// heard is when another box was first heard; zero is never.
	heard time.Time
	// passed is the position of the last update of each origin that was passed on.
	passed map[string]uint64
}

// New makes the duty; Run starts it.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg:     cfg,
		started: time.Now(),
		refresh: ring.New[struct{}](1),
		since:   make(map[string]time.Time),
		passed:  make(map[string]uint64),
	}
}

// Zones are the drained zones as this box knows them.
func (k *Keeper) Zones() drain.Zones {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.zones
}

// Ready says whether requests may be served: the drained zones are known, or neither
// the platform nor another box has sent them in time.
func (k *Keeper) Ready() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	asking := k.started
	if k.heard.After(asking) {
		asking = k.heard
	}
	return k.zones.Known() || time.Since(asking) >= startPatience
}

// Refresh has the list read anew at once: the platform has forgotten its history, or
// was lost, so that a wait under way may never end.
func (k *Keeper) Refresh() {
	// One that waits already says the same.
	_ = k.refresh.Offer(struct{}{})
}

// Run follows the list until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	// The first list is each box's own: it must not serve by what others missed.
	first, whole, lost := true, true, false
	for ctx.Err() == nil {
		if !first && !k.cfg.Reads() {
			// What happens meanwhile comes from others.
			whole = true
			sleep.For(ctx, look)
			continue
		}
		whole = k.rereads(time.Now()) || whole
		err := k.once(ctx, whole)
		switch {
		case err == nil:
			if !whole {
				// The list alone does not show that changes can be followed.
				pauses.Reset()
			}
			if lost {
				k.cfg.Log.WithFields(log.Fields{"position": k.Zones().At()}).Info("drained_zones_regained")
			}
			first, whole, lost = false, false, false
		case errors.Is(err, adapter.ErrHistoryGone) || errors.Is(err, errRefresh):
			whole = true
			sleep.For(ctx, pauses.NextBackOff())
		case ctx.Err() == nil:
			first = first && !k.Zones().Known()
			lost = true
			k.cfg.Log.WithError(err).Warn("drained_zones_failed")
			sleep.For(ctx, pauses.NextBackOff())
		}
	}
	return nil
}

// errRefresh ends a wait because the list has to be read anew.
var errRefresh = errors.New("the list is read anew")

// endOnRefresh ends a wait when a refresh is asked for.
func (k *Keeper) endOnRefresh(call context.Context, end context.CancelFunc) {
	select {
	case <-call.Done():
	case <-k.refresh.C():
		end()
	}
}

// once reads the whole list, or waits for changes.
func (k *Keeper) once(ctx context.Context, whole bool) error {
	if whole {
		return k.readList(ctx)
	}
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	go k.endOnRefresh(call, cancel)
	changes, at, err := k.cfg.Source.DrainChanges(call, k.Zones().At())
	if errors.Is(call.Err(), context.Canceled) && ctx.Err() == nil {
		return errRefresh
	}
	if err != nil {
		return err
	}
	k.publish(k.update("platform", func(z drain.Zones) drain.Zones { return z.WithChanges(at, changes) }))
	return nil
}

// readList reads the whole list. A box that reads for all sends it on even if
// nothing is new to it: others may know of drains that ended while no box looked.
func (k *Keeper) readList(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, at, err := k.cfg.Source.DrainedZones(call)
	if err != nil {
		return err
	}
	held := k.noteReturn(time.Now(), at)
	k.update("platform", func(z drain.Zones) drain.Zones {
		if held {
			return z.AtReturn(at, list)
		}
		return z.WithList(at, list)
	})
	k.publish(k.cfg.Reads())
	return nil
}

// heldFor is for how long the zones that are known hold over the list of a platform that
// came back older: the operator writes again what it has lost. Changes hold at once.
const heldFor = 5 * time.Second

// noteReturn takes in that the platform has come back older, if a position tells so, before
// what it said is taken in. It says whether the zones known here hold over its list.
func (k *Keeper) noteReturn(now time.Time, at uint64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	before := k.zones.At()
	if k.zones.Known() && position.Era(at) > position.Era(before) {
		k.heldUntil = now.Add(heldFor)
		k.cfg.Log.WithFields(log.Fields{
			"era": position.Era(at), "position": at, "era_before": position.Era(before), "position_before": before,
		}).Warn("drained_zones_came_back_older")
	}
	return now.Before(k.heldUntil)
}

// rereads says whether the list is due once more since the zones that were known no longer
// hold over it.
func (k *Keeper) rereads(now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	due := !k.heldUntil.IsZero() && !now.Before(k.heldUntil)
	if due {
		k.heldUntil = time.Time{}
	}
	return due
}

// update puts what was learnt into force, and says whether the drained zones are
// others now.
func (k *Keeper) update(from string, change func(drain.Zones) drain.Zones) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	old := k.zones
	k.zones = change(old)
	if k.zones.Same(old) {
		return false
	}
	k.noteSince(time.Now())
	k.cfg.Log.WithFields(log.Fields{
		"zones":    names(k.zones.Drained()),
		"before":   names(old.Drained()),
		"revision": k.zones.Revision(),
		"position": k.zones.At(),
		"from":     from,
	}).Info("drained_zones_changed")
	k.cfg.OnChange(k.zones)
	return true
}

// noteSince keeps since when each zone is drained here. The mutex is held.
func (k *Keeper) noteSince(now time.Time) {
	since := make(map[string]time.Time)
	for _, zone := range k.zones.Drained() {
		since[zone.Name] = now
		if before, known := k.since[zone.Name]; known {
			since[zone.Name] = before
		}
	}
	k.since = since
}

func names(zones []drain.Zone) []string {
	out := make([]string, 0, len(zones))
	for _, zone := range zones {
		out = append(out, zone.Name)
	}
	return out
}
