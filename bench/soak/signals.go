// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"time"

	"runridge.example/runridge/bench/soak/check"
	"runridge.example/runridge/bench/soak/schedule"
	"runridge.example/runridge/modules/setting"
	"runridge.example/runridge/platform/standin"
)

// stopBox asks a box for a planned stop and starts it again.
func (r *run) stopBox(ctx context.Context, e schedule.Event) {
	b := r.boxes[e.Box]
	free, ok := r.take(b.busy)
	if !ok {
		return
	}
	defer free()
	r.restart(ctx, b)
}

// restart stops a box as planned and starts it again. The box is held.
func (r *run) restart(ctx context.Context, b *box) {
	ended := r.strike(check.Fault{Kind: string(schedule.BoxStopped), Boxes: []string{b.name}})
	defer ended()
	begun := time.Now()
	err := b.now().Stop()
	took := time.Since(begun)
	r.ended(b)
	bound := time.Duration(float64(stopTime) * r.cfg.Room)
	r.report.Note("planned_stop", err == nil && took <= bound, "%s took %s, %v", b.name, took, err)
	r.again(ctx, b)
}

// again starts a box that has ended.
func (r *run) again(ctx context.Context, b *box) {
	err := r.startBox(b)
	if err == nil {
		err = b.awaitReady(ctx)
	}
	r.report.Note("restart", err == nil, "%v", err)
}

// killBox kills a box and starts it again a while later.
func (r *run) killBox(ctx context.Context, e schedule.Event) {
	b := r.boxes[e.Box]
	free, ok := r.take(b.busy)
	if !ok {
		return
	}
	defer free()
	defer r.strike(check.Fault{Kind: string(e.Kind), Boxes: []string{b.name}})()
	r.judgeRuns(b)
	b.now().Kill()
	r.ended(b)
	sleepUntil(ctx, time.Now().Add(e.For))
	r.again(ctx, b)
}

// pauseBox has a box stand still for a while.
func (r *run) pauseBox(ctx context.Context, e schedule.Event) {
	b := r.boxes[e.Box]
	free, ok := r.take(b.busy)
	if !ok {
		return
	}
	defer free()
	defer r.strike(check.Fault{Kind: string(e.Kind), Boxes: []string{b.name}})()
	if b.now().Pause() != nil {
		return
	}
	sleepUntil(ctx, time.Now().Add(e.For))
	_ = b.now().Resume()
}

// hangUp changes what a box logs and tells it so.
func (r *run) hangUp(_ context.Context, e schedule.Event) {
	b := r.boxes[e.Box]
	free, ok := r.take(b.busy)
	if !ok {
		return
	}
	defer free()
	s := b.now().Settings()
	s.LogLevel = "debug"
	if e.Draw%2 == 0 {
		s.LogLevel = r.cfg.LogLevel
	}
	r.report.Note("reload", b.hangUp(s) == nil, "%s took no signal", b.name)
}

// hangUp writes settings and tells the process.
func (b *box) hangUp(s setting.Box) error {
	if err := b.now().WriteSettings(s); err != nil {
		return err
	}
	return b.now().Hangup()
}

// rolled is how many boxes a rolling restart takes.
const rolled = 3

// roll restarts some boxes one after the other.
func (r *run) roll(ctx context.Context, e schedule.Event) {
	for i := range min(rolled, len(r.boxes)) {
		b := r.boxes[(e.Box+i)%len(r.boxes)]
		free, ok := r.take(b.busy)
		if !ok {
			continue
		}
		r.restart(ctx, b)
		free()
	}
}

// manners are what endpoints do under faults.
var manners = map[schedule.Kind]standin.Manner{
	schedule.EndpointSlow: standin.Slow, schedule.EndpointMute: standin.Hanging, schedule.EndpointFull: standin.Full,
	schedule.EndpointFailing: standin.Failing, schedule.EndpointLost: standin.Lost, schedule.EndpointBroken: standin.Cut,
	schedule.EndpointTwice: standin.Extra,
}

// strikePlace has an event's place for one fault, unless another one has it.
func (r *run) strikePlace(e schedule.Event, do func(p *place)) {
	p := r.places[e.Place]
	free, ok := r.take(p.busy)
	if !ok {
		return
	}
	defer free()
	defer r.strike(check.Fault{Kind: string(e.Kind), Place: p.Name})()
	do(p)
}

// behave has an endpoint answer in some manner for a time.
func (r *run) behave(ctx context.Context, e schedule.Event) {
	r.strikePlace(e, func(p *place) {
		none := &standin.None{}
		_ = r.site.call("Behave", standin.Act{Place: p.Name, Manner: manners[e.Kind]}, none)
		sleepUntil(ctx, time.Now().Add(e.For))
		_ = r.site.call("Behave", standin.Act{Place: p.Name, Manner: standin.Well}, none)
	})
}

const (
	// leastLimit and limitSpread bound the limits that endpoints name, in requests a second.
	leastLimit  = 1
	limitSpread = 8
)

// nameLimit has an endpoint name a limit for a time, and another one for the rest of it.
func (r *run) nameLimit(ctx context.Context, e schedule.Event) {
	r.strikePlace(e, func(p *place) {
		none := &standin.None{}
		for _, limit := range []uint64{e.Draw % limitSpread, e.Draw / limitSpread % limitSpread} {
			_ = r.site.call("NameLimit", standin.Act{Place: p.Name, On: true, Limit: leastLimit + float64(limit)}, none)
			sleepUntil(ctx, time.Now().Add(e.For/2))
		}
		_ = r.site.call("NameLimit", standin.Act{Place: p.Name}, none)
	})
}

// restSpread bounds the rest that endpoints ask for, beyond a second.
const restSpread = 3 * time.Second

// tireEndpoint has an endpoint turn requests away for a time, and ask for a rest with each.
func (r *run) tireEndpoint(ctx context.Context, e schedule.Event) {
	r.strikePlace(e, func(p *place) {
		none := &standin.None{}
		rest := time.Second + time.Duration(e.Draw%uint64(restSpread))
		_ = r.site.call("Tire", standin.Act{Place: p.Name, Rest: rest}, none)
		sleepUntil(ctx, time.Now().Add(e.For))
		_ = r.site.call("Tire", standin.Act{Place: p.Name}, none)
	})
}

// partingShare is the part of its time after which an endpoint that leaves says so in the store.
const partingShare = 3

// partEndpoint has an endpoint say in its answers that it leaves, later in the store too, and
// end; a new one starts in its place.
func (r *run) partEndpoint(ctx context.Context, e schedule.Event) {
	r.strikePlace(e, func(p *place) {
		_ = r.site.call("Part", standin.Act{Place: p.Name}, &standin.None{})
		sleepUntil(ctx, time.Now().Add(e.For/partingShare))
		var id string
		_ = r.site.call("Leave", standin.Act{Place: p.Name, On: true}, &id)
		sleepUntil(ctx, time.Now().Add(e.For-e.For/partingShare))
		_ = r.site.call("Crash", standin.Act{Place: p.Name}, &id)
		p.link.SetTarget("")
		_ = r.site.call("Bury", id, &standin.None{})
		r.startAt(p, "")
	})
}

// leaveEndpoint has an endpoint say that it leaves, and take that back.
func (r *run) leaveEndpoint(ctx context.Context, e schedule.Event) {
	p := r.places[e.Place]
	free, ok := r.take(p.busy)
	if !ok {
		return
	}
	defer free()
	var id string
	if err := r.site.call("Leave", standin.Act{Place: p.Name, On: true}, &id); err != nil {
		r.skip()
		return
	}
	r.mutex.Lock()
	i := len(r.record.Leaving)
	r.record.Leaving = append(r.record.Leaving, check.Change{What: id, At: time.Now()})
	r.mutex.Unlock()
	sleepUntil(ctx, time.Now().Add(e.For))
	r.mutex.Lock()
	r.record.Leaving[i].Undone = time.Now()
	r.mutex.Unlock()
	_ = r.site.call("Leave", standin.Act{Place: p.Name}, &id)
}

// entryLapses is how long after a crash an endpoint's entry stays.
const entryLapses = 800 * time.Millisecond

// crashEndpoint crashes an endpoint and starts a new one in its place, or one of
// another service at its address, before its entry is gone.
func (r *run) crashEndpoint(ctx context.Context, e schedule.Event) {
	p := r.places[e.Place]
	free, ok := r.take(p.busy)
	if !ok {
		return
	}
	defer free()
	moved := []*place{p}
	if e.Kind == schedule.EndpointMoved {
		other := r.places[(e.Place+plainPlaces)%len(r.places)]
		freeOther, ok := r.take(other.busy)
		if !ok {
			return
		}
		defer freeOther()
		moved = append(moved, other)
	}
	ids := make([]string, len(moved))
	for i, m := range moved {
		defer r.strike(check.Fault{Kind: string(e.Kind), Place: m.Name})()
		_ = r.site.call("Crash", standin.Act{Place: m.Name}, &ids[i])
		m.link.SetTarget("")
	}
	if len(moved) == 2 {
		moved[0].link, moved[1].link = moved[1].link, moved[0].link
		r.startAt(moved[0], moved[1].Name)
		r.startAt(moved[1], "")
	}
	sleepUntil(ctx, time.Now().Add(entryLapses))
	for _, id := range ids {
		_ = r.site.call("Bury", id, &standin.None{})
	}
	if len(moved) == 1 {
		sleepUntil(ctx, time.Now().Add(max(e.For-entryLapses, 0)))
		r.startAt(p, "")
	}
}

// startAt starts a new endpoint at a place, at the address of another if one is
// named.
func (r *run) startAt(p *place, other string) {
	var address string
	err := r.site.call("Start", standin.Act{Place: p.Name, Other: other}, &address)
	r.report.Note("endpoint_restart", err == nil, "%s: %v", p.Name, err)
	p.link.SetTarget(address)
}
