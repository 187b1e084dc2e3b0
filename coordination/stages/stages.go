// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package stages orders engines to change between prefill and decode. One box at a
// time gives orders to an engine: it writes a lease for that engine to the platform's
// store by compare-and-set, and the revision of the write is the fencing token. The
// model is model/lease.pml.
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

// Lease is who may give orders to an engine.
type Lease struct {
	// Revision is that of the last write, by anybody; 0 is no lease.
	Revision uint64
	Holder   string
}

// Leases keeps the leases in the platform's store.
type Leases interface {
	// Lease reads the lease of an engine; revision 0 is none.
	Lease(ctx context.Context, engine string) (Lease, error)
	// WriteLease writes it if its revision is still the given one, 0 if there is
	// none yet. Mark differs from write to write. It returns the new revision.
	WriteLease(ctx context.Context, engine, holder string, mark, revision uint64) (uint64, error)
	// EndLease removes it if its revision is still the given one.
	EndLease(ctx context.Context, engine string, revision uint64) error
}

// Report is an engine's own word on its stage.
type Report struct {
	Prefill bool
	// Changing says that an order is under way.
	Changing bool
	// Orders counts the orders that it has taken.
	Orders uint64
}

// Order is one order to an engine.
type Order struct {
	Prefill bool
	Holder  string
	Fence   uint64
	// Orders is the count at which the order may be carried out.
	Orders uint64
}

// Engine is where an order goes.
type Engine struct {
	ID, Service, Address string
	// Born is the Unix millisecond of its start; 0 is not known.
	Born int64
}

// Engines takes orders. An error of Order that is ErrRefused proves that the order
// is not carried out; with any other it may be, even seconds later.
type Engines interface {
	Report(ctx context.Context, e Engine) (Report, error)
	Order(ctx context.Context, e Engine, o Order) error
}

// ErrRefused is returned for an order that an engine turned away.
var ErrRefused = errors.New("the engine refused the order")

// Homes is told of engines that do not change after all.
type Homes interface {
	Offer(c home.Command) ring.Outcome
}

// Config configures a Keeper.
type Config struct {
	Self    string
	Leases  Leases
	Engines Engines
	Homes   Homes
	// Find gives the engine under an id if it may get orders.
	Find func(id string) (Engine, bool)
	// Known says whether an engine is remembered.
	Known func(id string) bool
	// LatestReturn is the era of the platform's store after it last came back from an older
	// copy, and when this box learnt of that; zero is never. Nil knows of none.
	LatestReturn func() (era uint64, at time.Time)
	Rules        Rules
	// Metrics, if set, counts orders.
	Metrics Metrics
	Log     log.Logger
}

// Metrics counts orders.
type Metrics interface {
	StageOrdered(stage, outcome string)
}

// Rules are what operators set.
type Rules struct {
	// Planned turns the planning on; Part, above 0, pins the part that prefills.
	Planned bool
	Part    float64
	// Lease is the time for which a write of a lease gives the right to orders,
	// and within which holders must not take turns; Thaw is for how long the
	// orders of a box that stood still may yet arrive.
	Lease, Thaw time.Duration
}

const (
	// queueSize bounds the groups whose changes wait: more than one box is home of.
	queueSize = 64
	// windowShare is the part of a lease, from when its write was sent, in which
	// orders are sent: the rest is for their way.
	windowShare = 0.6
	callTimeout = time.Second
	// maxGroups is how many groups are ordered at a time, and maxOrders how many
	// engines of one.
	maxGroups = 8
	maxOrders = 8
	// unsureFor is how long an engine gets no further order after one whose answer
	// was lost: it may be carried out some twelve seconds later.
	unsureFor = 20 * time.Second
	// tidyEvery is how often leases of engines that have gone are removed.
	tidyEvery = 10 * time.Second
)

// Keeper is the duty.
type Keeper struct {
	cfg     Config
	changes *ring.Ring[home.StageChanges]

	mutex sync.Mutex
	rules Rules
	// held are the leases that this process wrote last, and unsure until when
	// engines get no orders.
	held map[string]held
	// ordering are the engines that an order is under way to.
	ordering map[string]bool
	unsure   map[string]time.Time
	mark     uint64
}

// New makes the duty; Run starts it.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg:     cfg,
		rules:   cfg.Rules,
		changes: ring.New[home.StageChanges](queueSize),
		held:    make(map[string]held),
		unsure:  make(map[string]time.Time),

		ordering: make(map[string]bool),
		mark:     uint64(time.Now().UnixNano()),
	}
}

// SetRules replaces what operators set.
func (k *Keeper) SetRules(r Rules) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.rules = r
}

func (k *Keeper) current() Rules {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.rules
}

// Part is the pinned part, and whether stages are planned.
func (k *Keeper) Part() (float64, bool) {
	r := k.current()
	return r.Part, r.Planned && r.Lease > 0
}

// Offer queues the changes of a group.
func (k *Keeper) Offer(c home.StageChanges) ring.Outcome { return k.changes.Offer(c) }

// Run carries changes out until the context ends, some at a time: a lease that has
// to be waited out must not hold up all others.
func (k *Keeper) Run(ctx context.Context) error {
	tidy := time.NewTicker(tidyEvery)
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
			k.tidy(ctx)
		}
	}
}

// carryOut orders the changes of a group. Engines that another home has ordered
// meanwhile count: they are told to the home, and as many fewer are ordered.
func (k *Keeper) carryOut(ctx context.Context, c home.StageChanges) {
	toDecode := k.spare(ctx, c)
	var orders errgroup.Group
	orders.SetLimit(maxOrders)
	for _, engine := range toDecode {
		orders.Go(func() error { k.one(ctx, change{group: c.Group, engine: engine}); return nil })
	}
	for _, engine := range c.ToPrefill {
		orders.Go(func() error { k.one(ctx, change{group: c.Group, engine: engine, prefill: true}); return nil })
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
