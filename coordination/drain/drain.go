// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package drain keeps a box informed of the availability zones that the operator has
// drained. The boxes that read the list of endpoints read these zones too and send them to
// the others at once. A box that missed an update notices it from the revision in each
// membership message, and pulls.
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
	// DrainedZones reads the whole list, never a stale one, and returns it with the position
	// at which it was read.
	DrainedZones(ctx context.Context) ([]drain.Zone, uint64, error)
	// DrainChanges waits until the context ends for changes after a position, and returns
	// them with the position to continue from.
	DrainChanges(ctx context.Context, after uint64) ([]drain.Change, uint64, error)
}

// Peers sends drained zones between boxes. Calls must not block.
type Peers interface {
	SendDrained(to string, u drain.Update)
	// SendDrainedPull asks a box for all drained zones that it knows.
	SendDrainedPull(to string)
}

// Config configures a Keeper.
type Config struct {
	Self   string
	Source Source
	Peers  Peers
	// Ranked returns the boxes with duties in this box's region, in an order for the key
	// that all of them agree on.
	Ranked func(key string) []string
	// Tree returns the same boxes in the order of the tree along which updates of an origin
	// are forwarded; nil uses Ranked.
	Tree func(key, origin string) []string
	// RegionEntries returns, for each other region, the box that receives updates on its behalf,
	// chosen by the key in the same way everywhere; nil sends nothing to other regions.
	RegionEntries func(key string) []string
	// Reads reports whether this box reads the platform for the others.
	Reads func() bool
	// OnChange receives the drained zones after each change, in order. It must not block.
	OnChange func(drain.Zones)
	Log      log.Logger
}

const (
	// watchTimeout bounds one wait for changes. A wait that the platform has silently
	// dropped must end well within the 5 s in which a drained zone has to be in force; with
	// it three readers make 72 calls a minute.
	watchTimeout = 2500 * time.Millisecond
	// listTimeout bounds a read of the list.
	listTimeout    = 1200 * time.Millisecond
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// roleCheckInterval is how often a box checks whether it has become a reader.
	roleCheckInterval = 200 * time.Millisecond
	// maxStartWait is how long a starting box serves no requests until it knows the drained
	// zones, counted from its start or from the first message of another box, whichever is
	// later: the other boxes answer within a second, and if neither they nor the platform
	// do, the box serves anyway.
	maxStartWait = 2 * time.Second
	// minPullInterval prevents a pull with every message while this box is behind.
	minPullInterval = 500 * time.Millisecond
	// rankKey is the key from which the trees that forward updates are derived.
	rankKey = "drained"
)

// Keeper keeps this box's view of the drained zones up to date.
type Keeper struct {
	cfg     Config
	started time.Time
	// refresh ends the pending wait; the list is read again.
	refresh *ring.Ring[struct{}]

	mutex sync.Mutex
	zones drain.Zones
	// since maps a zone to the time when its drain came into force on this box.
	since    map[string]time.Time
	lastPull time.Time
	// heldUntil is the time until which the known zones override the platform's list, after
	// the platform was restored from an older copy; zero means that they don't.
	heldUntil time.Time
	// firstHeard is when the first message of another box arrived; zero means never.
	firstHeard time.Time
	// unanswered is true if the platform did not answer the last read.
	unanswered bool
	// forwarded maps an origin to the position of its last update that this box forwarded.
	forwarded map[string]uint64
}

// New returns a Keeper; Run starts it.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg:       cfg,
		started:   time.Now(),
		refresh:   ring.New[struct{}](1),
		since:     make(map[string]time.Time),
		forwarded: make(map[string]uint64),
	}
}

// Zones returns the drained zones as this box knows them.
func (k *Keeper) Zones() drain.Zones {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.zones
}

// Ready reports whether requests may be served: the drained zones are known, or neither
// the platform nor another box has sent them within maxStartWait.
func (k *Keeper) Ready() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	asking := k.started
	if k.firstHeard.After(asking) {
		asking = k.firstHeard
	}
	return k.zones.Known() || time.Since(asking) >= maxStartWait
}

// Refresh makes the keeper read the list again at once. It is called when the platform has
// dropped its history or was lost, because a pending wait may then never end.
func (k *Keeper) Refresh() {
	// A queued refresh serves this call too.
	_ = k.refresh.Offer(struct{}{})
}

// Run reads the list and its changes until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = initialBackoff
	pauses.MaxInterval = maxBackoff
	// Each box reads its first list itself: it must not serve on the basis of an update that
	// the others have missed.
	first, whole, lost := true, true, false
	for ctx.Err() == nil {
		if !first && !k.cfg.Reads() {
			// Changes arrive from other boxes meanwhile.
			whole = true
			k.noteAnswered(true)
			sleep.ForUnlessWoken(ctx, roleCheckInterval, k.refresh.C())
			continue
		}
		whole = k.takeRereadDue(time.Now()) || whole
		err := k.readOnce(ctx, whole)
		if !errors.Is(err, errRefresh) {
			k.noteAnswered(err == nil || errors.Is(err, adapter.ErrHistoryGone))
		}
		switch {
		case err == nil:
			if !whole {
				// Reading the list doesn't prove that changes can be watched, so only a finished
				// wait resets the backoff.
				pauses.Reset()
			}
			if lost {
				k.cfg.Log.WithFields(log.Fields{"position": k.Zones().At()}).Info("drained_zones_regained")
			}
			first, whole, lost = false, false, false
		case errors.Is(err, errRefresh):
			whole = true
		case errors.Is(err, adapter.ErrHistoryGone):
			whole = true
			sleep.ForUnlessWoken(ctx, pauses.NextBackOff(), k.refresh.C())
		case ctx.Err() == nil:
			first = first && !k.Zones().Known()
			lost = true
			// A wait from the same position would fail again.
			whole = whole || adapter.IsUnreadable(err)
			k.cfg.Log.WithError(err).Warn("drained_zones_failed")
			sleep.ForUnlessWoken(ctx, pauses.NextBackOff(), k.refresh.C())
		}
	}
	return nil
}

// noteAnswered records whether the platform answered a read.
func (k *Keeper) noteAnswered(answered bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.unanswered = !answered
}

// Reaches reports whether the platform answered this box's last read of the drained zones.
func (k *Keeper) Reaches() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return !k.unanswered
}

// errRefresh is returned for a wait that a refresh ended, so that the list is read again.
var errRefresh = errors.New("the list is read anew")

// endOnRefresh cancels a wait when a refresh is requested.
func (k *Keeper) endOnRefresh(call context.Context, end context.CancelFunc) {
	select {
	case <-call.Done():
	case <-k.refresh.C():
		end()
	}
}

// readOnce reads the whole list, or waits for changes, and publishes what is new.
func (k *Keeper) readOnce(ctx context.Context, whole bool) error {
	if whole {
		return k.readList(ctx)
	}
	call, cancel := context.WithTimeout(ctx, watchTimeout)
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

// readList reads the whole list. A box that reads for others sends it to them even if it
// contains nothing new to this box: others may hold drains that ended while no box was
// reading.
func (k *Keeper) readList(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, at, err := k.cfg.Source.DrainedZones(call)
	if err != nil {
		return err
	}
	held := k.noteRestore(time.Now(), at)
	k.update("platform", func(z drain.Zones) drain.Zones {
		if held {
			return z.WithRestoredList(at, list)
		}
		return z.WithList(at, list)
	})
	k.publish(k.cfg.Reads())
	return nil
}

// holdAfterRestore is how long the known zones override the list of a platform that was
// restored from an older copy, until the operator has rewritten what was lost. Changes
// apply at once.
const holdAfterRestore = 5 * time.Second

// noteRestore checks whether the position at shows that the platform was restored from an
// older copy, and if so keeps the known zones for holdAfterRestore. It reports whether the
// known zones override the platform's list now. It is called before what was read at that
// position is applied.
func (k *Keeper) noteRestore(now time.Time, at uint64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	before := k.zones.At()
	if k.zones.Known() && position.Era(at) > position.Era(before) {
		k.heldUntil = now.Add(holdAfterRestore)
		k.cfg.Log.WithFields(log.Fields{
			"era": position.Era(at), "position": at, "era_before": position.Era(before), "position_before": before,
		}).Warn("drained_zones_came_back_older")
	}
	return now.Before(k.heldUntil)
}

// takeRereadDue reports whether the list has to be read once more because the known zones
// no longer override it, and ends that override.
func (k *Keeper) takeRereadDue(now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	due := !k.heldUntil.IsZero() && !now.Before(k.heldUntil)
	if due {
		k.heldUntil = time.Time{}
	}
	return due
}

// update applies a change to the drained zones, logs it and calls OnChange, and reports
// whether the zones differ from before. The source of the change, from, is only logged.
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
		"zones":    zoneNames(k.zones.Drained()),
		"before":   zoneNames(old.Drained()),
		"revision": k.zones.Revision(),
		"position": k.zones.At(),
		"from":     from,
	}).Info("drained_zones_changed")
	k.cfg.OnChange(k.zones)
	return true
}

// noteSince updates since for the zones that are drained now. The caller holds the mutex.
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

func zoneNames(zones []drain.Zone) []string {
	out := make([]string, 0, len(zones))
	for _, zone := range zones {
		out = append(out, zone.Name)
	}
	return out
}
