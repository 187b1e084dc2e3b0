// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"time"

	"runridge.example/runridge/bench/soak/check"
	"runridge.example/runridge/bench/soak/proxy"
	"runridge.example/runridge/bench/soak/schedule"
	"runridge.example/runridge/platform/standin"
)

// act brings one event about and returns when it is over; what it struck is noted
// before.
type act func(ctx context.Context, e schedule.Event)

func (r *run) acted(k schedule.Kind) act {
	switch k {
	case schedule.BoxStopped:
		return r.stopBox
	case schedule.BoxKilled:
		return r.killBox
	case schedule.BoxPaused:
		return r.pauseBox
	case schedule.BoxHangup:
		return r.hangUp
	case schedule.RollingRestart:
		return r.roll
	case schedule.BoxCut, schedule.LinkOneWay, schedule.LinkSilent, schedule.LinkReset, schedule.LinkDelayed, schedule.CallersReset:
		return r.linkFault
	case schedule.EndpointCut:
		return r.cutEndpoint
	case schedule.TableChanged, schedule.TableGrown, schedule.KeyWithdrawn, schedule.QuotaChanged:
		return r.changeTable
	case schedule.ZoneDrained:
		return r.drainZone
	case schedule.EndpointCrashed, schedule.EndpointMoved:
		return r.crashEndpoint
	case schedule.EndpointLeaving:
		return r.leaveEndpoint
	case schedule.PoisonRequest:
		return r.repeatPoison
	case schedule.EndpointLimited:
		return r.nameLimit
	case schedule.EndpointTired:
		return r.tireEndpoint
	case schedule.EndpointParting:
		return r.partEndpoint
	case schedule.StoreOlder:
		return r.returnOlder
	}
	if _, ok := manners[k]; ok {
		return r.behave
	}
	return r.storeFault
}

// begin brings an event about beside the others.
func (r *run) begin(ctx context.Context, e schedule.Event) {
	r.mutex.Lock()
	r.result.Faults[e.Kind]++
	r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.cfg.Out, "soak at=%s %s\n", time.Now().Format("15:04:05.000"), e)
	r.acts.Go(func() { r.acted(e.Kind)(ctx, e) })
}

// strike notes a fault, from now on if it does not say when it began; the function that it returns notes its end.
func (r *run) strike(f check.Fault) (ended func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i := len(r.record.Faults)
	if f.From.IsZero() {
		f.From = time.Now()
	}
	f.To = time.Now().Add(forever)
	r.record.Faults = append(r.record.Faults, f)
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.record.Faults[i].To = time.Now()
	}
}

// forever is the end of a fault that lasts yet.
const forever = 24 * time.Hour

// skip counts an event that could not be brought about since another one strikes the
// same thing.
func (r *run) skip() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Skipped++
}

// take holds a box or a place for one fault; false if another has it.
func (r *run) take(busy chan struct{}) (free func(), ok bool) {
	select {
	case busy <- struct{}{}:
		return func() { <-busy }, true
	default:
		r.skip()
		return nil, false
	}
}

// storeFaults are what the store itself does.
var storeFaults = map[schedule.Kind]standin.Fault{
	schedule.StoreBusy: standin.Busy, schedule.StoreSilent: standin.Silent, schedule.StoreReset: standin.Reset,
	schedule.StoreLosesWrites: standin.LoseWrites, schedule.StoreWritesLate: standin.LateWrites,
}

// storeFault has a fault of the store for a time.
func (r *run) storeFault(ctx context.Context, e schedule.Event) {
	none := &standin.None{}
	defer r.strike(check.Fault{Kind: string(e.Kind), Store: true})()
	switch e.Kind {
	case schedule.StoreForgets:
		_ = r.site.call("ForgetHistory", standin.None{}, none)
	case schedule.StoreDeaf:
		_ = r.site.call("DeafenStore", true, none)
		defer func() { _ = r.site.call("DeafenStore", false, none) }()
	case schedule.StoreSlow:
		defer r.net.Apply(proxy.Match{Kind: proxy.Platform}, proxy.Fault{Delay: longestDelay})()
	case schedule.StoreRefusesSome:
		for i := range r.boxes {
			if e.Draw>>(i%64)&1 == 1 {
				defer r.net.Apply(proxy.Match{Kind: proxy.Platform, From: boxName(i)}, proxy.Fault{Reset: true, Refuse: true})()
			}
		}
	default:
		_ = r.site.call("SetStore", storeFaults[e.Kind], none)
		defer func() { _ = r.site.call("SetStore", standin.Healthy, none) }()
	}
	sleepUntil(ctx, time.Now().Add(e.For))
}

const (
	// leastAway and awaySpread bound how long a store is away that comes back older, and
	// rewritten is after how long what the operator and the endpoints had written stands there
	// again.
	leastAway  = 300 * time.Millisecond
	awaySpread = 2 * time.Second
	rewritten  = time.Second
)

// returnOlder takes the store away for a time and has it come back from a copy.
func (r *run) returnOlder(ctx context.Context, e schedule.Event) {
	none := &standin.None{}
	defer r.strike(check.Fault{Kind: string(e.Kind), Store: true})()
	_ = r.site.call("CopyStore", standin.None{}, none)
	away := leastAway + time.Duration(e.Draw%uint64(awaySpread))
	// What is written until it is away is lost.
	sleepUntil(ctx, time.Now().Add(e.For-away-rewritten))
	_ = r.site.call("SetStore", standin.Reset, none)
	sleepUntil(ctx, time.Now().Add(away))
	_ = r.site.call("RestoreStore", standin.None{}, none)
	_ = r.site.call("SetStore", standin.Healthy, none)
	sleepUntil(ctx, time.Now().Add(rewritten))
	_ = r.site.call("Rewrite", standin.None{}, none)
}

// changeTable changes the configuration once.
func (r *run) changeTable(_ context.Context, e schedule.Event) {
	err := r.change(func(o *operator) {
		switch e.Kind {
		case schedule.TableGrown:
			o.grown = grownRoutes - o.grown
		case schedule.KeyWithdrawn:
			o.rotating = append(o.rotating, rotatingKey(len(o.rotating)))
		case schedule.QuotaChanged:
			o.rate = leastRate + float64(e.Draw%rateSpread)
		}
	})
	r.report.Note("table_accepted", err == nil, "%s: %v", e.Kind, err)
}

// drainZone drains an availability zone and takes it back.
func (r *run) drainZone(ctx context.Context, e schedule.Event) {
	zone := zones[e.Draw%uint64(len(zones))]
	if err := r.site.call("Drain", standin.Act{Place: zone, On: true}, &standin.None{}); err != nil {
		r.skip()
		return
	}
	r.mutex.Lock()
	i := len(r.record.Drained)
	r.record.Drained = append(r.record.Drained, check.Change{What: zone, At: time.Now()})
	r.mutex.Unlock()
	sleepUntil(ctx, time.Now().Add(e.For))
	r.mutex.Lock()
	r.record.Drained[i].Undone = time.Now()
	r.mutex.Unlock()
	_ = r.site.call("Drain", standin.Act{Place: zone}, &standin.None{})
}
