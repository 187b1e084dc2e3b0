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

// action injects the fault of an event and returns when it is over. It records which boxes and
// places the fault affects before they are affected.
type action func(ctx context.Context, e schedule.Event)

func (r *run) actionFor(k schedule.Kind) action {
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
		return r.rollingRestart
	case schedule.BoxCut, schedule.LinkOneWay, schedule.LinkSilent, schedule.LinkReset, schedule.LinkDelayed, schedule.CallersReset:
		return r.faultLinks
	case schedule.EndpointCut:
		return r.cutEndpoint
	case schedule.EndpointsLost:
		return r.loseEndpoints
	case schedule.TableChanged, schedule.TableGrown, schedule.KeyWithdrawn, schedule.QuotaChanged:
		return r.changeTable
	case schedule.ZoneDrained:
		return r.drainZone
	case schedule.EndpointCrashed, schedule.EndpointMoved:
		return r.crashEndpoint
	case schedule.EndpointLeaving:
		return r.leaveEndpoint
	case schedule.EndpointUnlisted:
		return r.unlistEndpoint
	case schedule.StrayEntries:
		return r.writeStray
	case schedule.EndpointReleased:
		return r.releaseEndpoint
	case schedule.PoisonRequest, schedule.PoisonPart:
		return r.repeatPoison
	case schedule.CallersCrowd:
		return r.crowdBox
	case schedule.EndpointLimited:
		return r.nameLimit
	case schedule.EndpointTired:
		return r.askForRest
	case schedule.EndpointParting:
		return r.announceLeaving
	case schedule.StoreOlder:
		return r.restoreOlder
	}
	if _, ok := mannerOf[k]; ok {
		return r.misbehave
	}
	return r.storeFault
}

// startEvent injects the fault of an event, concurrently with others, and logs it.
func (r *run) startEvent(ctx context.Context, e schedule.Event) {
	r.mutex.Lock()
	r.result.Faults[e.Kind]++
	r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.cfg.Out, "soak at=%s %s\n", time.Now().Format(check.TimeFormat), e)
	r.active.Go(func() { r.actionFor(e.Kind)(ctx, e) })
}

// recordFault records a fault, which begins now unless its From is set. The function that it
// returns records its end.
func (r *run) recordFault(f check.Fault) (finish func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i := len(r.record.Faults)
	if f.From.IsZero() {
		f.From = time.Now()
	}
	f.To = time.Now().Add(openEnded)
	r.record.Faults = append(r.record.Faults, f)
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.record.Faults[i].To = time.Now()
	}
}

// openEnded is how far in the future the end of a fault is that still lasts.
const openEnded = 24 * time.Hour

// skip counts an event that could not be injected, for example because another one affects the
// same target.
func (r *run) skip() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Skipped++
}

// reserve reserves a box or a place for one fault. It returns false and counts a skipped event
// if another fault has it.
func (r *run) reserve(reserved chan struct{}) (release func(), ok bool) {
	select {
	case reserved <- struct{}{}:
		return func() { <-reserved }, true
	default:
		r.skip()
		return nil, false
	}
}

// storeFaults maps kinds to the faults that the store itself implements.
var storeFaults = map[schedule.Kind]standin.Fault{
	schedule.StoreBusy: standin.Busy, schedule.StoreSilent: standin.Silent, schedule.StoreReset: standin.Reset,
	schedule.StoreLosesWrites: standin.LoseWrites, schedule.StoreWritesLate: standin.LateWrites,
}

// storeFault applies a fault of the store while the event lasts.
func (r *run) storeFault(ctx context.Context, e schedule.Event) {
	if e.Kind == schedule.StoreRefusesSome {
		r.refuseSome(ctx, e)
		return
	}
	none := &standin.None{}
	defer r.recordFault(check.Fault{Kind: string(e.Kind), Store: true})()
	switch e.Kind {
	case schedule.StoreForgets:
		_ = r.site.call("ForgetHistory", standin.None{}, none)
	case schedule.StoreDeaf:
		_ = r.site.call("DeafenStore", true, none)
		defer func() { _ = r.site.call("DeafenStore", false, none) }()
	case schedule.StoreSlow:
		defer r.net.Apply(proxy.Match{Kind: proxy.Platform}, proxy.Fault{Delay: maxLinkDelay})()
	default:
		_ = r.site.call("SetStore", storeFaults[e.Kind], none)
		defer func() { _ = r.site.call("SetStore", standin.Healthy, none) }()
	}
	sleepUntil(ctx, time.Now().Add(e.For))
}

// silentBit is the bit of an event's draw that decides whether the store is silent towards the
// boxes that it turns away; otherwise it resets their connections.
const silentBit = 63

// refuseSome has the store turn some boxes away while the event lasts. The others are held to the
// bounds of a store that works.
func (r *run) refuseSome(ctx context.Context, e schedule.Event) {
	refused := make([]string, 0, len(r.boxes))
	for i := range r.boxes {
		if e.Draw>>(i%silentBit)&1 == 1 {
			refused = append(refused, boxName(i))
		}
	}
	fault := proxy.Fault{Reset: true, Refuse: true}
	if e.Draw>>silentBit&1 == 1 {
		fault = proxy.Fault{CutForth: true, CutBack: true}
	}
	defer r.recordFault(check.Fault{Kind: string(e.Kind), TurnedAway: refused})()
	for _, name := range refused {
		defer r.net.Apply(proxy.Match{Kind: proxy.Platform, From: name}, fault)()
	}
	sleepUntil(ctx, time.Now().Add(e.For))
}

const (
	// A store that is restored from an older copy is first unavailable for minOutage plus
	// a random part of outageJitter. rewriteDelay is how long after the restore the operator
	// and the endpoints write again what they had written.
	minOutage    = 300 * time.Millisecond
	outageJitter = 2 * time.Second
	rewriteDelay = time.Second
)

// restoreOlder copies the store, makes it unavailable later on and restores it from the copy.
func (r *run) restoreOlder(ctx context.Context, e schedule.Event) {
	none := &standin.None{}
	defer r.recordFault(check.Fault{Kind: string(e.Kind), Store: true})()
	_ = r.site.call("CopyStore", standin.None{}, none)
	outage := minOutage + time.Duration(e.Draw%uint64(outageJitter))
	// Whatever is written until the outage is lost.
	sleepUntil(ctx, time.Now().Add(e.For-outage-rewriteDelay))
	_ = r.site.call("SetStore", standin.Reset, none)
	sleepUntil(ctx, time.Now().Add(outage))
	_ = r.site.call("RestoreStore", standin.None{}, none)
	_ = r.site.call("SetStore", standin.Healthy, none)
	sleepUntil(ctx, time.Now().Add(rewriteDelay))
	_ = r.site.call("Rewrite", standin.None{}, none)
}

// changeTable has one change of the configuration accepted.
func (r *run) changeTable(_ context.Context, e schedule.Event) {
	err := r.change(func(o *operator) {
		switch e.Kind {
		case schedule.TableGrown:
			o.addedRoutes = largeTableRoutes - o.addedRoutes
		case schedule.KeyWithdrawn:
			o.rotating = append(o.rotating, rotatingKey(len(o.rotating)))
		case schedule.QuotaChanged:
			o.rate = minRate + float64(e.Draw%rateJitter)
		}
	})
	r.report.Count("table_accepted", err == nil, "%s: %v", e.Kind, err)
}

// drainZone drains an availability zone and ends the drain when the event ends.
func (r *run) drainZone(ctx context.Context, e schedule.Event) {
	zone := zones[e.Draw%uint64(len(zones))]
	if err := r.site.call("Drain", standin.Act{Place: zone, On: true}, &standin.None{}); err != nil {
		r.skip()
		return
	}
	r.mutex.Lock()
	i := len(r.record.Drained)
	r.record.Drained = append(r.record.Drained, check.Change{Target: zone, At: time.Now()})
	r.mutex.Unlock()
	sleepUntil(ctx, time.Now().Add(e.For))
	r.mutex.Lock()
	r.record.Drained[i].RevertedAt = time.Now()
	r.mutex.Unlock()
	_ = r.site.call("Drain", standin.Act{Place: zone}, &standin.None{})
}
