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

// stopBox performs a planned stop of a box and starts it again.
func (r *run) stopBox(ctx context.Context, e schedule.Event) {
	b := r.boxes[e.Box]
	release, ok := r.reserve(b.reserved)
	if !ok {
		return
	}
	defer release()
	r.restart(ctx, b)
}

// restart performs a planned stop of a box and starts it again. The caller has reserved the box.
func (r *run) restart(ctx context.Context, b *box) {
	finish := r.recordFault(check.Fault{Kind: string(schedule.BoxStopped), Boxes: []string{b.name}})
	defer finish()
	start := time.Now()
	err := b.current().Stop()
	took := time.Since(start)
	r.markStopped(b)
	bound := time.Duration(float64(stopTime) * r.cfg.Room)
	r.report.Count("planned_stop", err == nil && took <= bound, "%s took %s, %v", b.name, took, err)
	r.startAgain(ctx, b)
}

// startAgain starts a box whose process has ended and waits until it is ready.
func (r *run) startAgain(ctx context.Context, b *box) {
	err := r.startBox(b)
	if err == nil {
		err = b.awaitReady(ctx)
	}
	r.report.Count("restart", err == nil, "%v", err)
}

// killBox kills a box and starts it again when the event ends.
func (r *run) killBox(ctx context.Context, e schedule.Event) {
	b := r.boxes[e.Box]
	release, ok := r.reserve(b.reserved)
	if !ok {
		return
	}
	defer release()
	defer r.recordFault(check.Fault{Kind: string(e.Kind), Boxes: []string{b.name}})()
	r.checkProcess(b)
	b.current().Kill()
	r.markStopped(b)
	sleepUntil(ctx, time.Now().Add(e.For))
	r.startAgain(ctx, b)
}

// pauseBox pauses the process of a box while the event lasts.
func (r *run) pauseBox(ctx context.Context, e schedule.Event) {
	b := r.boxes[e.Box]
	release, ok := r.reserve(b.reserved)
	if !ok {
		return
	}
	defer release()
	defer r.recordFault(check.Fault{Kind: string(e.Kind), Boxes: []string{b.name}})()
	if b.current().Pause() != nil {
		return
	}
	sleepUntil(ctx, time.Now().Add(e.For))
	_ = b.current().Resume()
}

// hangUp changes the log level in a box's settings and has the box reload them.
func (r *run) hangUp(_ context.Context, e schedule.Event) {
	b := r.boxes[e.Box]
	release, ok := r.reserve(b.reserved)
	if !ok {
		return
	}
	defer release()
	s := b.current().Settings()
	s.LogLevel = "debug"
	if e.Draw%2 == 0 {
		s.LogLevel = r.cfg.LogLevel
	}
	r.report.Count("reload", b.hangUp(s) == nil, "%s: settings not written or signal not sent", b.name)
}

// hangUp writes settings and sends the process a SIGHUP.
func (b *box) hangUp(s setting.Box) error {
	if err := b.current().WriteSettings(s); err != nil {
		return err
	}
	return b.current().Hangup()
}

// rollingBoxes is the number of boxes that a rolling restart restarts.
const rollingBoxes = 3

// rollingRestart restarts some boxes one after the other.
func (r *run) rollingRestart(ctx context.Context, e schedule.Event) {
	for i := range min(rollingBoxes, len(r.boxes)) {
		b := r.boxes[(e.Box+i)%len(r.boxes)]
		release, ok := r.reserve(b.reserved)
		if !ok {
			continue
		}
		r.restart(ctx, b)
		release()
	}
}

// mannerOf is how endpoints answer during a kind of fault.
var mannerOf = map[schedule.Kind]standin.AnswerMode{
	schedule.EndpointSlow: standin.Slow, schedule.EndpointMute: standin.Hanging, schedule.EndpointFull: standin.Full,
	schedule.EndpointFailing: standin.Failing, schedule.EndpointLost: standin.Lost, schedule.EndpointBroken: standin.Cut,
	schedule.EndpointTwice: standin.Extra, schedule.EndpointUnframed: standin.Unframed, schedule.EndpointUnframedCut: standin.UnframedCutInEvent,
	schedule.EndpointMalformed: standin.Malformed, schedule.EndpointRefusesAfterRun: standin.RefusesAfterRun,
}

// withPlace reserves the place of an event, records the fault and runs do. If another fault has
// the place, it skips the event.
func (r *run) withPlace(e schedule.Event, do func(p *endpointPlace)) {
	p := r.places[e.Place]
	release, ok := r.reserve(p.reserved)
	if !ok {
		return
	}
	defer release()
	defer r.recordFault(check.Fault{Kind: string(e.Kind), Place: p.Name})()
	do(p)
}

// misbehave has an endpoint answer in the manner of a fault while the event lasts.
func (r *run) misbehave(ctx context.Context, e schedule.Event) {
	r.withPlace(e, func(p *endpointPlace) {
		none := &standin.None{}
		_ = r.site.call("Behave", standin.Act{Place: p.Name, Manner: mannerOf[e.Kind]}, none)
		sleepUntil(ctx, time.Now().Add(e.For))
		_ = r.site.call("Behave", standin.Act{Place: p.Name, Manner: standin.Well}, none)
	})
}

const (
	// Endpoints name limits from minLimit, with limitSpread different values, in requests per
	// second.
	minLimit    = 1
	limitSpread = 8
)

// nameLimit has an endpoint name one limit for the first half of the event and another one for
// the second half.
func (r *run) nameLimit(ctx context.Context, e schedule.Event) {
	r.withPlace(e, func(p *endpointPlace) {
		none := &standin.None{}
		for _, limit := range []uint64{e.Draw % limitSpread, e.Draw / limitSpread % limitSpread} {
			_ = r.site.call("NameLimit", standin.Act{Place: p.Name, On: true, Limit: minLimit + float64(limit)}, none)
			sleepUntil(ctx, time.Now().Add(e.For/2))
		}
		_ = r.site.call("NameLimit", standin.Act{Place: p.Name}, none)
	})
}

// restJitter bounds the random part of the rest that endpoints ask for, in addition to a second.
const restJitter = 3 * time.Second

// askForRest has an endpoint reject requests while the event lasts and ask for a rest in each
// answer.
func (r *run) askForRest(ctx context.Context, e schedule.Event) {
	r.withPlace(e, func(p *endpointPlace) {
		none := &standin.None{}
		rest := time.Second + time.Duration(e.Draw%uint64(restJitter))
		_ = r.site.call("Tire", standin.Act{Place: p.Name, Rest: rest}, none)
		sleepUntil(ctx, time.Now().Add(e.For))
		_ = r.site.call("Tire", standin.Act{Place: p.Name}, none)
	})
}

// storeLeaveFraction divides an event's time: after the first such fraction the endpoint marks
// itself as leaving in the store too.
const storeLeaveFraction = 3

// announceLeaving has an endpoint announce in its answers, and later in the store, that it
// leaves, and then end. A new endpoint starts in its place.
func (r *run) announceLeaving(ctx context.Context, e schedule.Event) {
	r.withPlace(e, func(p *endpointPlace) {
		_ = r.site.call("Part", standin.Act{Place: p.Name}, &standin.None{})
		sleepUntil(ctx, time.Now().Add(e.For/storeLeaveFraction))
		var id string
		_ = r.site.call("Leave", standin.Act{Place: p.Name, On: true}, &id)
		sleepUntil(ctx, time.Now().Add(e.For-e.For/storeLeaveFraction))
		r.endEndpoint(p, id)
		r.startEndpoint(p, "")
	})
}

// endEndpoint ends the endpoint at a place, whose id is given, and removes its entry from the store.
func (r *run) endEndpoint(p *endpointPlace, id string) {
	_ = r.site.call("Crash", standin.Act{Place: p.Name}, &id)
	p.link.SetTarget("")
	_ = r.site.call("Bury", id, &standin.None{})
}

// recordLeaving records that an endpoint is marked as leaving in the store from now on, and returns the
// index of the record.
func (r *run) recordLeaving(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Leaving = append(r.record.Leaving, check.Change{Target: id, At: time.Now()})
	return len(r.record.Leaving) - 1
}

// leaveEndpoint has an endpoint mark itself as leaving in the store and revert that when the
// event ends.
func (r *run) leaveEndpoint(ctx context.Context, e schedule.Event) {
	r.changeEntry(e, "Leave", func() { sleepUntil(ctx, time.Now().Add(e.For)) })
}

// unlistEndpoint removes the entry of an endpoint, which serves on, and writes it again when the event ends.
func (r *run) unlistEndpoint(ctx context.Context, e schedule.Event) {
	r.changeEntry(e, "Unlist", func() { sleepUntil(ctx, time.Now().Add(e.For)) })
}

// changeEntry has a method of the site change the entry of an endpoint so that the endpoint gets no more
// work, calls during, and takes the change back.
func (r *run) changeEntry(e schedule.Event, method string, during func()) {
	p := r.places[e.Place]
	release, ok := r.reserve(p.reserved)
	if !ok {
		return
	}
	defer release()
	var id string
	if err := r.site.call(method, standin.Act{Place: p.Name, On: true}, &id); err != nil || id == "" {
		r.skip()
		return
	}
	i := r.recordLeaving(id)
	r.mutex.Lock()
	r.record.Leaving[i].Removed = method == "Unlist"
	r.mutex.Unlock()
	during()
	r.mutex.Lock()
	r.record.Leaving[i].RevertedAt = time.Now()
	r.mutex.Unlock()
	_ = r.site.call(method, standin.Act{Place: p.Name}, &id)
}

// entryLifetime is how long an endpoint's entry stays in the store after a crash.
const entryLifetime = 800 * time.Millisecond

// crashEndpoint crashes an endpoint and starts a new one in its place. If its address is to be
// reused, it crashes an endpoint of another place too, and each is replaced at the address of
// the other before the old entries are removed from the store.
func (r *run) crashEndpoint(ctx context.Context, e schedule.Event) {
	p := r.places[e.Place]
	release, ok := r.reserve(p.reserved)
	if !ok {
		return
	}
	defer release()
	moved := []*endpointPlace{p}
	if e.Kind == schedule.EndpointMoved {
		other := r.places[(e.Place+plainPlaces)%len(r.places)]
		releaseOther, ok := r.reserve(other.reserved)
		if !ok {
			return
		}
		defer releaseOther()
		moved = append(moved, other)
	}
	ids := make([]string, len(moved))
	for i, m := range moved {
		defer r.recordFault(check.Fault{Kind: string(e.Kind), Place: m.Name})()
		_ = r.site.call("Crash", standin.Act{Place: m.Name}, &ids[i])
		m.link.SetTarget("")
		r.noteServingEnded(m.Name)
	}
	if len(moved) == 2 {
		moved[0].link, moved[1].link = moved[1].link, moved[0].link
		r.startEndpoint(moved[0], moved[1].Name)
		r.startEndpoint(moved[1], "")
	}
	sleepUntil(ctx, time.Now().Add(entryLifetime))
	for _, id := range ids {
		_ = r.site.call("Bury", id, &standin.None{})
	}
	if len(moved) == 1 {
		sleepUntil(ctx, time.Now().Add(max(e.For-entryLifetime, 0)))
		r.startEndpoint(p, "")
	}
}

// startEndpoint starts a new endpoint at a place. If other names a place, the endpoint takes
// the address of that place.
func (r *run) startEndpoint(p *endpointPlace, other string) {
	r.startEndpointOf(p, standin.Act{Place: p.Name, Other: other})
}

// startEndpointOf starts a new endpoint at a place as the act says.
func (r *run) startEndpointOf(p *endpointPlace, a standin.Act) {
	if a.Version != "" {
		p.Version = a.Version
	}
	var address string
	err := r.site.call("Start", a, &address)
	r.report.Count("endpoint_restart", err == nil, "%s: %v", p.Name, err)
	p.link.SetTarget(address)
	if p.Version != "" {
		r.noteServing(p.Name, p.Version)
	}
}
