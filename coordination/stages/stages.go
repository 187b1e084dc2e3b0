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
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/modules/sleep"
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
	Rules Rules
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

// change is one engine's.
type change struct {
	group, engine string
	prefill       bool
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

// spare lists the engines that may be ordered to decode, by the word of all that
// prefill. One that does not answer counts as none.
func (k *Keeper) spare(ctx context.Context, c home.StageChanges) []string {
	if len(c.ToDecode) == 0 {
		return nil
	}
	var prefilling []string
	for _, id := range c.Prefills {
		e, ok := k.cfg.Find(id)
		if !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		report, err := k.cfg.Engines.Report(call, e)
		cancel()
		switch {
		case err != nil:
			k.cfg.Log.WithFields(log.Fields{log.FieldEngine: id, "group": c.Group}).WithError(err).Info("stage_report_failed")
		case report.Changing || !report.Prefill:
			_ = k.cfg.Homes.Offer(home.Command{From: k.cfg.Self, Group: c.Group, Body: home.StageChanging{Engine: id}})
		default:
			prefilling = append(prefilling, id)
		}
	}
	var out []string
	for _, engine := range c.ToDecode {
		switch {
		case !slices.Contains(prefilling, engine):
		case len(out) < len(prefilling)-c.Wanted:
			out = append(out, engine)
		default:
			k.refused(change{group: c.Group, engine: engine}, errNotSpare)
		}
	}
	return out
}

// one gives one order, and tells the group if it does not come about.
func (k *Keeper) one(ctx context.Context, c change) {
	err := k.change(ctx, c)
	fields := log.Fields{log.FieldEngine: c.engine, "group": c.group, "prefill": c.prefill}
	switch {
	case err == nil:
		k.count(c, "ordered")
		k.cfg.Log.WithFields(fields).Info("stage_ordered")
	case errors.Is(err, errUnsure):
		k.count(c, "unanswered")
		k.cfg.Log.WithFields(fields).WithError(err).Warn("stage_order_unanswered")
	default:
		k.refused(c, err)
	}
}

// refused tells the group that an engine is not ordered. A group that does not hear
// it leaves the engine out for a while.
func (k *Keeper) refused(c change, err error) {
	k.count(c, "dropped")
	k.cfg.Log.WithFields(log.Fields{log.FieldEngine: c.engine, "group": c.group, "prefill": c.prefill}).WithError(err).Info("stage_order_dropped")
	_ = k.cfg.Homes.Offer(home.Command{From: k.cfg.Self, Group: c.group, Body: home.StageRefused{Engine: c.engine}})
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

// Reasons for which no order is given.
var (
	errLeft     = errors.New("the engine has left")
	errBusy     = errors.New("the engine is changing, or an order to it is unanswered")
	errTooLate  = errors.New("the lease has run out")
	errNotSpare = errors.New("other engines of the group change already")
	errUnsure   = errors.New("the order may be carried out")
)

// change gives one order.
func (k *Keeper) change(ctx context.Context, c change) error {
	e, ok := k.cfg.Find(c.engine)
	if !ok {
		return errLeft
	}
	if !k.begin(e.ID) {
		return errBusy
	}
	defer k.end(e.ID)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	report, err := k.cfg.Engines.Report(call, e)
	cancel()
	switch {
	case err != nil:
		return err
	case report.Changing:
		return errBusy
	case report.Prefill == c.prefill:
		return nil
	}
	held, err := k.acquire(ctx, e.ID)
	if err != nil {
		return err
	}
	return k.order(ctx, e, held, Order{Prefill: c.prefill, Holder: k.cfg.Self, Fence: held.revision, Orders: report.Orders})
}

// order sends an order within the lease's window.
func (k *Keeper) order(ctx context.Context, e Engine, held held, o Order) error {
	window := time.Duration(windowShare * float64(k.current().Lease))
	until := held.sent.Add(window)
	if !time.Now().Before(until) {
		return errTooLate
	}
	// Ending with the context resets the connection: nothing of the order is left
	// on its way.
	call, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	err := k.cfg.Engines.Order(call, e, o)
	if err == nil || errors.Is(err, ErrRefused) || errors.Is(err, adapter.ErrConflict) {
		return err
	}
	k.mutex.Lock()
	k.unsure[e.ID] = time.Now().Add(unsureFor)
	k.mutex.Unlock()
	return errors.Join(errUnsure, err)
}

// begin says whether an order to an engine may begin. One at a time keeps a box's
// own fencing tokens in order.
func (k *Keeper) begin(engine string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.ordering[engine] || time.Now().Before(k.unsure[engine]) {
		return false
	}
	k.ordering[engine] = true
	return true
}

func (k *Keeper) end(engine string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.ordering, engine)
}

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
	if errors.Is(err, adapter.ErrConflict) {
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
	r := k.current()
	wait := 2*r.Lease + r.Thaw
	k.cfg.Log.WithFields(log.Fields{log.FieldEngine: engine, "held_by": found.Holder, "revision": found.Revision, "wait_ms": wait.Milliseconds()}).Info("stage_lease_taken")
	// The wait counts from after the write: whoever held it cannot renew it then.
	return k.write(ctx, engine, found.Revision, time.Now().Add(wait+callTimeout))
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
