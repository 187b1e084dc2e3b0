// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package stages orders engines to change between prefill and decode. One box at a time
// gives orders to an engine: it writes a lease for that engine to the platform's store by
// compare-and-set, and the revision of the write is the fencing token. The protocol is
// modelled in model/lease.pml.
package stages

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
)

// Lease is the right to give orders to an engine.
type Lease struct {
	// Revision is the revision of the last write by any holder; 0 means no lease.
	Revision uint64
	Holder   string
}

// Leases stores the leases in the platform's store.
type Leases interface {
	// Lease returns the lease of an engine; revision 0 means none.
	Lease(ctx context.Context, engine string) (Lease, error)
	// WriteLease writes the lease if its revision is still the given one, 0 if there is
	// none yet, and returns the new revision. Mark differs from write to write.
	WriteLease(ctx context.Context, engine, holder string, mark, revision uint64) (uint64, error)
	// EndLease removes the lease if its revision is still the given one.
	EndLease(ctx context.Context, engine string, revision uint64) error
}

// Report is what an engine reports about its stage.
type Report struct {
	Prefill bool
	// Changing reports that an order is being carried out.
	Changing bool
	// Orders is the number of orders that the engine has taken.
	Orders uint64
}

// Order orders an engine to change its stage.
type Order struct {
	Prefill bool
	Holder  string
	Fence   uint64
	// Orders must equal the engine's count of orders for the order to be carried out.
	Orders uint64
}

// Engine is an engine that takes orders.
type Engine struct {
	ID, Service, Address string
	// Born is the engine's start in Unix milliseconds; 0 means unknown.
	Born int64
}

// Engines sends orders to engines. ErrRefused from Order proves that the order is not
// carried out; after any other error it may be, even seconds later.
type Engines interface {
	Report(ctx context.Context, e Engine) (Report, error)
	Order(ctx context.Context, e Engine, o Order) error
}

// ErrRefused is returned for an order that an engine rejected.
var ErrRefused = errors.New("the engine refused the order")

// Homes receives the engines that do not change after all, or are changing already.
type Homes interface {
	Offer(c home.Command) ring.Outcome
}

// Config configures a Keeper.
type Config struct {
	Self    string
	Leases  Leases
	Engines Engines
	Homes   Homes
	// Find returns the engine with an id if it may get orders.
	Find func(id string) (Engine, bool)
	// Known reports whether an engine is known.
	Known func(id string) bool
	// LatestRestore returns the era of the platform's store after it last came back from an
	// older copy, and when this box learned of that; zero means never. Nil means that the
	// store never does.
	LatestRestore func() (era uint64, at time.Time)
	Rules         Rules
	// Metrics, if set, counts orders.
	Metrics Metrics
	Log     log.Logger
}

// Metrics counts orders.
type Metrics interface {
	StageOrdered(stage, outcome string)
}

// Rules are the operators' settings.
type Rules struct {
	// Planned enables planning; Part, above 0, pins the share of engines that prefill.
	Planned bool
	Part    float64
	// Lease is how long one write of a lease grants the right to give orders, and the time
	// within which two holders must not both give orders. Thaw is how long the orders of a
	// box that was paused may still arrive.
	Lease, Thaw time.Duration
}

const (
	// queueSize bounds the groups with pending changes; it is more than one box is home of.
	queueSize = 64
	// windowShare is the share of a lease, from the sending of its write, in which orders
	// are sent; the rest covers the time that they travel.
	windowShare = 0.6
	callTimeout = time.Second
	// maxGroups is the number of groups that are processed at a time, and maxOrders the
	// number of engines of one group.
	maxGroups = 8
	maxOrders = 8
	// unansweredFor is how long an engine gets no further order after one whose answer was
	// lost: the lost one may be carried out some twelve seconds later.
	unansweredFor = 20 * time.Second
	// cleanupInterval is how often the leases of engines that have gone are removed.
	cleanupInterval = 10 * time.Second
)

// Keeper carries out stage changes under leases.
type Keeper struct {
	cfg     Config
	changes *ring.Ring[home.StageChanges]

	mutex sync.Mutex
	rules Rules
	// held are the last leases that this process wrote, and unanswered the times until
	// which engines get no orders.
	held map[string]heldLease
	// ordering are the engines with an order in flight.
	ordering   map[string]bool
	unanswered map[string]time.Time
	mark       uint64
}

// New returns a Keeper; Run starts it.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg:        cfg,
		rules:      cfg.Rules,
		changes:    ring.New[home.StageChanges](queueSize),
		held:       make(map[string]heldLease),
		unanswered: make(map[string]time.Time),

		ordering: make(map[string]bool),
		mark:     uint64(time.Now().UnixNano()),
	}
}

// SetRules replaces the operators' settings.
func (k *Keeper) SetRules(r Rules) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.rules = r
}

func (k *Keeper) currentRules() Rules {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.rules
}

// Part returns the pinned share of engines that prefill, and whether stages are planned.
func (k *Keeper) Part() (float64, bool) {
	r := k.currentRules()
	return r.Part, r.Planned && r.Lease > 0
}

// Offer queues the changes of a group.
func (k *Keeper) Offer(c home.StageChanges) ring.Outcome { return k.changes.Offer(c) }

// Run carries out changes until the context ends, several groups at a time: waiting for one
// lease must not delay all other groups.
func (k *Keeper) Run(ctx context.Context) error {
	tidy := time.NewTicker(cleanupInterval)
	defer tidy.Stop()
	var groups errgroup.Group
	groups.SetLimit(maxGroups)
	for {
		select {
		case <-ctx.Done():
			return groups.Wait()
		case c := <-k.changes.C():
			groups.Go(func() error {
				k.carryOut(ctx, c)
				return nil
			})
		case <-tidy.C:
			k.removeStale(ctx)
		}
	}
}

// carryOut orders the changes of a group. Engines that another home has ordered to change
// meanwhile are reported to the home, and that many fewer are ordered.
func (k *Keeper) carryOut(ctx context.Context, c home.StageChanges) {
	toDecode := k.spareEngines(ctx, c)
	var orders errgroup.Group
	orders.SetLimit(maxOrders)
	for _, engine := range toDecode {
		orders.Go(func() error { k.orderOne(ctx, change{group: c.Group, engine: engine}); return nil })
	}
	for _, engine := range c.ToPrefill {
		orders.Go(func() error { k.orderOne(ctx, change{group: c.Group, engine: engine, prefill: true}); return nil })
	}
	_ = orders.Wait()
}

// count counts an order.
func (k *Keeper) count(c change, outcome string) {
	if k.cfg.Metrics == nil {
		return
	}
	stage := "decode"
	if c.prefill {
		stage = "prefill"
	}
	k.cfg.Metrics.StageOrdered(stage, outcome)
}
