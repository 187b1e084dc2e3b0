// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package stages

import (
	"context"
	"errors"
	"slices"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/log"
)

// change is a stage change of one engine.
type change struct {
	group, engine string
	prefill       bool
}

// spareEngines returns the engines that may be ordered to decode, by the reports of all
// engines that prefill. An engine that does not answer does not count as prefilling. The
// home is notified of engines that have changed already or are not spare.
func (k *Keeper) spareEngines(ctx context.Context, c home.StageChanges) []string {
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
			k.dropOrder(change{group: c.Group, engine: engine}, errNotSpare)
		}
	}
	return out
}

// orderOne gives one order and logs and counts its outcome. It notifies the home if the
// order is not given.
func (k *Keeper) orderOne(ctx context.Context, c change) {
	err := k.change(ctx, c)
	fields := log.Fields{log.FieldEngine: c.engine, "group": c.group, "prefill": c.prefill}
	switch {
	case err == nil:
		k.count(c, "ordered")
		k.cfg.Log.WithFields(fields).Info("stage_ordered")
	case errors.Is(err, errUnanswered):
		k.count(c, "unanswered")
		k.cfg.Log.WithFields(fields).WithError(err).Warn("stage_order_unanswered")
	default:
		k.dropOrder(c, err)
	}
}

// dropOrder logs and counts an order that is not given, and notifies the home. A home that
// misses the notification leaves the engine out for a while.
func (k *Keeper) dropOrder(c change, err error) {
	k.count(c, "dropped")
	k.cfg.Log.WithFields(log.Fields{log.FieldEngine: c.engine, "group": c.group, "prefill": c.prefill}).WithError(err).Info("stage_order_dropped")
	_ = k.cfg.Homes.Offer(home.Command{From: k.cfg.Self, Group: c.group, Body: home.StageRefused{Engine: c.engine}})
}

// Reasons why an order is not given, or not known to have been taken.
var (
	errLeft       = errors.New("the engine has left")
	errBusy       = errors.New("the engine is changing, or an order to it is unanswered")
	errTooLate    = errors.New("the lease has expired")
	errNotSpare   = errors.New("the engine is still needed for prefill")
	errUnanswered = errors.New("no answer to the order, it may be carried out")
)

// change orders one engine to change its stage, unless it is in that stage already.
func (k *Keeper) change(ctx context.Context, c change) error {
	e, ok := k.cfg.Find(c.engine)
	if !ok {
		return errLeft
	}
	if !k.beginOrder(e.ID) {
		return errBusy
	}
	defer k.endOrder(e.ID)
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
	// Acquiring a lease may take seconds, in which the engine's zone may have been drained.
	if _, ok := k.cfg.Find(e.ID); !ok {
		return errLeft
	}
	return k.order(ctx, e, held, Order{Prefill: c.prefill, Holder: k.cfg.Self, Fence: held.revision, Orders: report.Orders})
}

// order sends an order within the window of the lease. If the answer is lost, the engine
// gets no further order for unansweredFor.
func (k *Keeper) order(ctx context.Context, e Engine, held heldLease, o Order) error {
	window := time.Duration(windowShare * float64(k.currentRules().Lease))
	until := held.sentAt.Add(window)
	if !time.Now().Before(until) {
		return errTooLate
	}
	// When the context ends, the connection is reset, so that no part of the order is still
	// on its way.
	call, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	err := k.cfg.Engines.Order(call, e, o)
	if err == nil || errors.Is(err, ErrRefused) || errors.Is(err, adapter.ErrConflict) {
		return err
	}
	k.mutex.Lock()
	k.unanswered[e.ID] = time.Now().Add(unansweredFor)
	k.mutex.Unlock()
	return errors.Join(errUnanswered, err)
}

// beginOrder reports whether an order to an engine may begin, and marks it as begun. One
// order at a time keeps a box's own fencing tokens in order.
func (k *Keeper) beginOrder(engine string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.ordering[engine] || time.Now().Before(k.unanswered[engine]) {
		return false
	}
	k.ordering[engine] = true
	return true
}

// endOrder marks the order to an engine as finished.
func (k *Keeper) endOrder(engine string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.ordering, engine)
}
