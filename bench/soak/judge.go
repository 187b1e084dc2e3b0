// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"runridge.example/runridge/bench/soak/check"
	"runridge.example/runridge/bench/soak/schedule"
	"runridge.example/runridge/platform/standin"
)

// checkPlannedStops checks that planned stops break no answer of a request that an endpoint ran.
func (r *run) checkPlannedStops() {
	arrivals := make(map[string]string)
	for _, a := range r.record.Observed.Arrivals {
		if a.Fate == standin.Ran && a.Step == standin.StepRun {
			arrivals[a.ID] = a.Endpoint
		}
	}
	for i, f := range r.record.Faults {
		if f.Kind != string(schedule.BoxStopped) {
			continue
		}
		for _, a := range r.record.Answers {
			if a.Box != f.Boxes[0] || a.CallerLeft || a.Ended.Before(f.From) || a.Begun.After(f.To) || arrivals[a.ID] == "" {
				continue
			}
			if r.otherFaultOverlaps(i, a, check.EndpointPlace(arrivals[a.ID])) {
				continue
			}
			r.report.Count("stop_breaks_nothing", a.Answered(), "%s on %s begun %s after the stop of %s, ended %s after it, got %d",
				a.ID, a.Route, a.Begun.Sub(f.From), a.Box, a.Ended.Sub(f.From), a.Status)
		}
	}
}

// otherFaultOverlaps reports whether a fault other than the one at an index affected the box or
// the place of an answer while its request was open.
func (r *run) otherFaultOverlaps(index int, a check.Answer, place string) bool {
	return slices.ContainsFunc(r.record.Faults, func(f check.Fault) bool {
		same := f.Kind == r.record.Faults[index].Kind && f.From.Equal(r.record.Faults[index].From)
		affects := f.Machine || f.Place == place || slices.Contains(f.Boxes, a.Box) || slices.Contains(f.Unlinked, a.Box)
		return !same && affects && f.Overlaps(a.Begun, a.Ended)
	})
}

// Goodput counts the requests at the other boxes, and those of them that were answered, while
// one box was unavailable and no other fault lasted.
type Goodput struct {
	Kind           string
	Box            string
	Asked, Success int
}

const (
	// minAlone is how long a box has to be unavailable, as the only fault, for the
	// goodput to be checked, and minRequests how many requests there have to be.
	minAlone    = 500 * time.Millisecond
	minRequests = 30
	// minGoodput is the fraction of requests that must be answered. The endpoints' slots
	// stay usable; only the groups whose home was the box need a new home, within two
	// seconds.
	minGoodput = 0.7
)

// countsForGoodput reports whether a request should be answered as far as its caller, quota and key
// are concerned.
func countsForGoodput(a check.Answer) bool {
	return !a.CallerLeft && a.Key != limitedKey && a.Poison == "" && a.Status != http.StatusUnauthorized
}

// checkGoodput checks the goodput at the other boxes while one is killed, paused or cut off.
func (r *run) checkGoodput() {
	for i, f := range r.record.Faults {
		if f.Kind != string(schedule.BoxKilled) && f.Kind != string(schedule.BoxCut) && f.Kind != string(schedule.BoxPaused) {
			continue
		}
		if f.To.Sub(f.From) < minAlone || r.overlapsOtherFault(i) {
			continue
		}
		g := Goodput{Kind: f.Kind, Box: f.Boxes[0]}
		for _, a := range r.record.Answers {
			if a.Box == g.Box || !countsForGoodput(a) || !a.Begun.After(f.From) || !a.Begun.Before(f.To) {
				continue
			}
			g.Asked++
			if a.Answered() {
				g.Success++
			}
		}
		if g.Asked < minRequests {
			continue
		}
		r.result.Goodput = append(r.result.Goodput, g)
		r.report.Count("goodput_with_one_box_away", float64(g.Success) >= minGoodput*float64(g.Asked), "%s of %s: %d of %d", g.Kind, g.Box, g.Success, g.Asked)
	}
}

// overlapsOtherFault reports whether another fault that can affect requests overlaps the one at
// an index.
func (r *run) overlapsOtherFault(index int) bool {
	f := r.record.Faults[index]
	for i, o := range r.record.Faults {
		affects := len(o.Boxes) > 0 || o.Place != "" || o.Store || len(o.TurnedAway) > 0 || len(o.Unlinked) > 0 || o.Machine
		if i != index && affects && o.Overlaps(f.From, f.To) {
			return true
		}
	}
	return false
}

// checkProcess checks that the process of a box has not ended on its own. No other fault may
// stop the box meanwhile.
func (r *run) checkProcess(b *box) {
	select {
	case <-b.current().Done():
		r.report.Count("runs_until_stopped", false, "the process of %s ended on its own", b.name)
	default:
		r.report.Count("runs_until_stopped", true, "")
	}
}

// checkBoxes checks that each box still runs and that no log contains a key.
func (r *run) checkBoxes() {
	for _, b := range r.boxes {
		r.checkProcess(b)
		text, err := b.current().Log()
		r.report.Count("no_key_in_logs", err == nil && !strings.Contains(text, "-of-the-soak"), "the log of %s holds a key (%v)", b.name, err)
	}
}
