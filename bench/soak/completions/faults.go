// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package completions

import (
	"context"
	"slices"
	"time"

	"runridge.example/runridge/bench/soak/schedule"
	"runridge.example/runridge/coordination/follow"
	"runridge.example/runridge/fakes/process"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/table"
)

const (
	// orphanBound is how soon the holds of a killed box must be freed, and tableBound how
	// soon a change of the table must be in force.
	orphanBound = 15 * time.Second
	tableBound  = 6 * time.Second
	// leavingBound is how soon a leaving endpoint must get no more new work.
	leavingBound     = 3 * time.Second
	engineDown       = 700 * time.Millisecond
	stalledTransfers = 3
	minSlots         = 30
	slotJitter       = 10
)

// inject injects the fault of one event and waits until it ends.
func (r *run) inject(ctx context.Context, e schedule.Event) {
	switch e.Kind {
	case schedule.BoxKilled, schedule.BoxPaused, schedule.BoxStopped:
		r.disruptBox(ctx, e)
	case schedule.EndpointCrashed:
		r.killEngine(r.engineNames()[e.Place])
	case schedule.EndpointLeaving:
		r.leaveEngine(r.engineNames()[e.Place])
	case schedule.StoreBusy:
		r.platformOutage(e.For)
	case schedule.TableChanged:
		r.changeTable(e.Draw)
	case schedule.TransfersStalled:
		r.fleet.Links.StallNext(stalledTransfers)
	}
}

// reserve marks a box or an engine as unavailable. It returns false if it is marked already.
func (r *run) reserve(name string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reserved := !r.unavailable[name]
	r.unavailable[name] = true
	return reserved
}

func (r *run) release(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.unavailable, name)
}

// disruptBox kills, pauses or stops a box, and restarts or resumes it.
func (r *run) disruptBox(ctx context.Context, e schedule.Event) {
	r.mutex.Lock()
	p := r.processes[e.Box]
	r.mutex.Unlock()
	if !r.reserve(p.Name) {
		return
	}
	switch e.Kind {
	case schedule.BoxPaused:
		if p.Pause() == nil {
			time.Sleep(e.For)
			_ = p.Resume()
		}
		r.release(p.Name)
		return
	case schedule.BoxStopped:
		err := p.Stop()
		r.result.Report.Count("planned_stop", err == nil, "%s: %v", p.Name, err)
	default:
		s, err := statusOf(p)
		p.Kill()
		if err == nil {
			r.awaitHoldsFreed(p.Name, s.Incarnation)
		}
	}
	r.restart(ctx, e.Box, p)
}

// awaitHoldsFreed waits until no engine holds memory for an incarnation of a box that was
// killed.
func (r *run) awaitHoldsFreed(box string, incarnation uint64) {
	died := time.Now()
	for r.hasHolds(box, incarnation) && time.Since(died) < orphanBound {
		time.Sleep(pollInterval)
	}
	took := time.Since(died)
	r.result.Report.Count("orphans_gone", took < orphanBound, "holds of %s stay for %s", box, took)
}

func (r *run) hasHolds(box string, incarnation uint64) bool {
	for _, e := range r.fleet.Engines {
		for _, a := range e.HeldAttempts() {
			id, err := lifecycle.ParseAttemptID(a)
			if err == nil && id.Request.Box == box && id.Request.Incarnation == incarnation {
				return true
			}
		}
	}
	return false
}

func (r *run) restart(ctx context.Context, i int, p *process.Process) {
	next, err := p.Again()
	if err == nil {
		r.mutex.Lock()
		r.processes[i] = next
		r.mutex.Unlock()
		err = awaitReady(ctx, next)
	}
	r.result.Report.Count("restart", err == nil, "%s: %v", p.Name, err)
	if err == nil {
		r.generationOf(next)
		r.release(p.Name)
	}
}

// killEngine kills an engine and restarts it.
func (r *run) killEngine(name string) {
	if !r.reserve(name) {
		return
	}
	r.fleet.Engines[name].Kill()
	time.Sleep(engineDown)
	err := r.fleet.RestartEngine(name)
	r.result.Report.Count("engine_restart", err == nil, "%s: %v", name, err)
	r.release(name)
}

func (r *run) platformOutage(length time.Duration) {
	r.mutex.Lock()
	r.outages++
	r.fleet.Platform.SetDown(true)
	r.mutex.Unlock()
	time.Sleep(length)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outages--
	r.outageEnded = time.Now()
	if r.outages == 0 {
		r.fleet.Platform.SetDown(false)
	}
}

// reachableSince returns the time from which on boxes could read a change that was accepted
// at a given time: the end of the last outage, if that was later. It returns false during an
// outage.
func (r *run) reachableSince(accepted time.Time) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.outageEnded.After(accepted) {
		accepted = r.outageEnded
	}
	return accepted, r.outages == 0
}

// changeTable changes the slots of an endpoint and waits until every available box has the
// change in force.
func (r *run) changeTable(draw uint64) {
	r.mutex.Lock()
	t := r.fleet.Table()
	e := t.Endpoints[draw%uint64(len(t.Endpoints))]
	e.Slots = minSlots + int(draw%slotJitter)
	err := r.fleet.SetTable(t.WithEndpoint(e))
	r.mutex.Unlock()
	r.result.Report.Count("table_change", err == nil, "%v", err)
	generation := r.fleet.Platform.Version(follow.ObjectName)
	start := time.Now()
	for time.Since(start) < 2*tableBound && !r.allInForce(generation) {
		time.Sleep(pollInterval)
	}
	took := time.Since(start)
	r.result.Report.Count("config_in_force", took <= tableBound, "%d took %s", generation, took)
}

// allInForce reports whether every available box has a generation in force.
func (r *run) allInForce(generation uint64) bool {
	r.mutex.Lock()
	var available []*process.Process
	for _, p := range r.processes {
		if !r.unavailable[p.Name] {
			available = append(available, p)
		}
	}
	r.mutex.Unlock()
	for _, p := range available {
		if g, ok := r.generationOf(p); !ok || g < generation {
			return false
		}
	}
	return true
}

// generationOf returns the generation of the table of a box. It checks that the generation
// never decreases, not even across a restart.
func (r *run) generationOf(p *process.Process) (uint64, bool) {
	r.mutex.Lock()
	old := r.newestGeneration[p.Name]
	r.mutex.Unlock()
	s, err := statusOf(p)
	if err != nil || s.Generation == 0 {
		return 0, false
	}
	r.mutex.Lock()
	r.newestGeneration[p.Name] = max(r.newestGeneration[p.Name], s.Generation)
	r.mutex.Unlock()
	r.result.Report.Count("config_never_older", s.Generation >= old, "%s went from %d to %d", p.Name, old, s.Generation)
	return s.Generation, true
}

// leaveEngine marks an engine as leaving for a while and checks that it accepted no work after
// the bound.
func (r *run) leaveEngine(engine string) {
	r.mutex.Lock()
	endpoints := r.fleet.Table().Endpoints
	r.mutex.Unlock()
	i := slices.IndexFunc(endpoints, func(e table.Endpoint) bool { return e.Name == engine })
	if i < 0 || endpoints[i].Leaving || !r.setLeaving(engine, true) {
		return
	}
	marked := time.Now()
	since, reachable := r.reachableSince(marked)
	for !reachable || time.Since(since) < leavingBound+time.Second {
		time.Sleep(pollInterval)
		since, reachable = r.reachableSince(marked)
	}
	last := r.fleet.Engines[engine].LastAccepted()
	r.result.Report.Count("leaving_gets_no_work", !last.After(since.Add(leavingBound)), "%s took work %s after it was known to leave", engine, last.Sub(since))
	r.setLeaving(engine, false)
}

func (r *run) setLeaving(engine string, leaving bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	err := r.fleet.SetTable(r.fleet.Table().WithLeaving(engine, leaving))
	r.result.Report.Count("table_change", err == nil, "%v", err)
	return err == nil
}
