// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"runridge.example/runridge/bench/soak/check"
	"runridge.example/runridge/platform/standin"
)

// sample is what a box said of its table.
type sample struct {
	box        string
	asked      time.Time
	generation uint64
	// version is the operator's number of the table; 0 is not told.
	version uint64
}

const (
	sampleEvery = 150 * time.Millisecond
	// writeEvery is how often endpoints whose stage has changed write their entries.
	writeEvery = 200 * time.Millisecond
)

// watch asks each box for its table, as operators and callers do, until the context
// ends.
func (r *run) watch(ctx context.Context) {
	var watching sync.WaitGroup
	for _, b := range r.boxes {
		watching.Go(func() {
			client := &http.Client{Timeout: time.Second}
			for n := 0; ctx.Err() == nil; n++ {
				r.sampleOf(b)
				r.tryTable(ctx, client, b, fmt.Sprintf("%s%swatch-%d", b.name, check.IDSeparator, n))
				time.Sleep(sampleEvery)
			}
		})
	}
	watching.Go(func() {
		for ctx.Err() == nil {
			_ = r.site.call("Write", standin.None{}, &standin.None{})
			time.Sleep(writeEvery)
		}
	})
	watching.Wait()
}

// sampleOf asks a box which table it has in force.
func (r *run) sampleOf(b *box) {
	asked := time.Now()
	s, err := b.status()
	if err != nil || s.Generation == 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.samples = append(r.samples, sample{box: b.name, asked: asked, generation: s.Generation, version: s.TableVersion})
}

// tryTable asks on the route of the newest table, so that callers can ask on it
// from when it is known on.
func (r *run) tryTable(ctx context.Context, client *http.Client, b *box, id string) {
	r.mutex.Lock()
	version := r.tables[len(r.tables)-1].version
	r.mutex.Unlock()
	if version <= b.newest() {
		return
	}
	req, err := standin.Ask{Address: b.callers.Addr(), Route: routeOfTable(version), ID: id}.Request(ctx)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		b.answeredOn(version)
	}
}

// inForceBound is the pages' bound for a change of the table.
const inForceBound = 3 * time.Second

// judge judges the run.
func (r *run) judge() {
	bounds := r.bounds()
	if r.cfg.Features.Regions {
		north := []string{zones[0], zones[1]}
		r.record.Allowed = map[string][]string{routeNorth: north, accountNorth: north}
	}
	check.Judge(r.record, bounds, r.report)
	r.judgeTables()
	r.judgeRecovery()
	r.judgeStops()
	r.judgeGoodput()
	r.judgeBoxes()
}

// older says whether the box stood on an older table than one: by the operator's versions,
// where the box knows them.
func (s sample) older(generation, version uint64) bool {
	if s.version > 0 && version > 0 {
		return s.version < version
	}
	return s.generation < generation
}

// judgeTables judges that tables are in force within their bound, and never go back.
func (r *run) judgeTables() {
	bound := time.Duration(float64(inForceBound) * r.cfg.Room)
	highest := make(map[string]sample)
	late := make(map[string]map[uint64]bool)
	for _, s := range r.samples {
		before, known := highest[s.box]
		older := known && s.older(before.generation, before.version)
		r.report.Note("table_never_older", !older, "%s went from %d (version %d) to %d (version %d)",
			s.box, before.generation, before.version, s.generation, s.version)
		if !older {
			highest[s.box] = s
		}
		for _, t := range r.tables {
			heard, could := r.record.HeardSince(s.box, t.at, s.asked)
			if !s.older(t.revision, uint64(t.version)) || !could || s.asked.Sub(heard) <= bound {
				continue
			}
			if late[s.box] == nil {
				late[s.box] = make(map[uint64]bool)
			}
			late[s.box][t.revision] = true
		}
	}
	for _, b := range r.boxes {
		for _, t := range r.tables {
			r.report.Note("table_in_force", !late[b.name][t.revision], "%s lacks %d of %s after %s", b.name, t.revision, t.at.Format(time.StampMilli), bound)
		}
	}
	for _, a := range r.record.Answers {
		if a.Status == http.StatusNotFound {
			r.report.Note("table_never_older", false, "%s got %d on %s at %s, which knew the route before", a.ID, a.Status, a.Route, a.Box)
		}
	}
}

// judgeRecovery judges that all is well again a while after the last fault.
func (r *run) judgeRecovery() {
	last := r.begun
	for _, f := range r.record.Faults {
		if f.To.After(last) && !f.Machine {
			last = f.To
		}
	}
	from := last.Add(recovery)
	served := func(a check.Answer) bool { return a.Status == http.StatusOK && a.Whole }
	for _, a := range r.record.Answers {
		if a.Begun.Before(from) || a.Left || a.Status == http.StatusUnauthorized || (a.Key == limitedKey && a.Status == http.StatusTooManyRequests) {
			continue
		}
		r.report.Note("recovered", served(a) || r.record.Stalled(a.Begun, a.Ended), "%s on %s begun %s after the last fault got %d", a.ID, a.Route, a.Begun.Sub(last), a.Status)
	}
}
