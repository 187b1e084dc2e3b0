// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
)

// grantFrom and refusal carry the attempt that a decision is about, so that a
// late one for an earlier ask is not taken for this one's.
type grantFrom struct {
	lifecycle.Event
	id lifecycle.AttemptID
	// home is the box that made the grant.
	home  string
	event lifecycle.Granted
	// move is the home's estimate for the transfer.
	move time.Duration
	// prefill and decode say for which engine the home has counted the attempt, held how
	// long the ask was there.
	prefill, decode bool
	held            time.Duration
}

// queuedBy is a home's word that an ask waits there.
type queuedBy struct {
	lifecycle.Event
	id   lifecycle.AttemptID
	home string
}

// slotFrom carries a late decode engine with the estimate for the transfer.
type slotFrom struct {
	lifecycle.Event
	event lifecycle.SlotReady
	move  time.Duration
	// counted says that the home has counted the attempt for the engine.
	counted bool
}

type refusal struct {
	lifecycle.Event
	id    lifecycle.AttemptID
	event lifecycle.Refused
}

// ask puts the question for the next attempt to the home of the service's
// group.
func (v *driver) ask(e lifecycle.AskHome) {
	if v.stopPoison() {
		return
	}
	places := v.d.cfg.Homes.PlacesOf(v.request.Service)
	v.group = home.ChooseGroup(places, home.Origin{Zone: v.request.Zone, Region: v.d.cfg.Region}, v.call.ID.Sequence, v.machine.Attempt, nil)
	if v.group == "" {
		v.step(lifecycle.Refused{Reason: lifecycle.ReasonRouteRemoved, RetryAfterMS: noEngineRetryMS})
		return
	}
	id := lifecycle.AttemptID{Request: v.call.ID, Number: v.machine.Attempt + 1}
	v.asked = schedule.Ask{
		ID:           id,
		Box:          v.d.cfg.Box,
		Account:      v.request.Account,
		Priority:     v.request.Priority,
		PromptTokens: v.request.PromptTokens + e.Emitted,
		OutputTokens: v.request.OutputTokens - e.Emitted,
		Deadline:     v.request.Deadline,
		Resume:       e.Emitted > 0 || e.Kept != "",
		Avoid:        e.Avoid,
		Kept:         e.Kept,
	}
	v.asked.Marks, v.asked.MarkTokens = v.markTokens()
	v.report = schedule.Report{ID: id}
	v.first, v.last = time.Time{}, time.Time{}
	v.askUntil = time.Now().Add(v.d.cfg.AskFor)
	v.rank = 0
	v.askedAt = make(map[string]time.Time)
	v.sendAsk()
}

// noEngineRetryMS is when to come again to a service that has no engine now.
const noEngineRetryMS = 1000

func (v *driver) markTokens() ([]uint64, []int) {
	hashes := make([]uint64, 0, len(v.marks))
	tokens := make([]int, 0, len(v.marks))
	perByte := float64(v.request.PromptTokens) / float64(max(len(v.request.Prompt), 1))
	for _, m := range v.marks {
		hashes = append(hashes, m.Hash)
		tokens = append(tokens, int(perByte*float64(m.Bytes)))
	}
	return hashes, tokens
}

// sendAsk asks the box at the current rank.
func (v *driver) sendAsk() {
	boxes := v.d.cfg.Homes.HomesOf(v.group)
	v.askTimer.Reset(v.d.cfg.FirstWord)
	v.queued = false
	if len(boxes) == 0 {
		return
	}
	v.home = boxes[v.rank%len(boxes)]
	v.asked.Waited = time.Since(v.started)
	if _, again := v.askedAt[v.home]; !again {
		v.askedAt[v.home] = time.Now()
	}
	if v.d.cfg.Homes.Tell(v.home, v.group, v.asked) == ring.Full {
		v.askTimer.Reset(v.d.cfg.FirstWord / fullPauseShare)
	}
}

// fullPauseShare makes a question that could not be sent come again sooner.
const fullPauseShare = 8

// askAgain asks once more. A home that said nothing at all may be dead or
// stand still, so the next in rank is asked: it is a home too for as long as
// it is asked, careful because it knows little, and the engines' own limits
// hold whatever the two decide. One that had queued the ask is asked again.
func (v *driver) askAgain() {
	if v.machine.Phase != lifecycle.Received {
		return
	}
	if time.Now().After(v.askUntil) {
		v.step(lifecycle.Refused{Reason: lifecycle.ReasonNoHome, RetryAfterMS: noEngineRetryMS})
		return
	}
	if !v.queued {
		v.tell(home.Withdrawn{ID: v.asked.ID})
		v.rank++
	}
	v.sendAsk()
}

func (v *driver) tell(body home.Body) {
	// A report that cannot be sent is made good by the home's own expiry.
	_ = v.d.cfg.Homes.Tell(v.home, v.group, body)
}

// rehome goes over to the group's home if it has changed: a question is asked
// there, a grant is told there.
func (v *driver) rehome() {
	if v.group == "" {
		return
	}
	rank := v.d.cfg.Homes.HomesOf(v.group)
	if len(rank) == 0 || rank[0] == v.home {
		return
	}
	if v.machine.Phase == lifecycle.Received {
		v.tell(home.Withdrawn{ID: v.asked.ID})
		v.rank = 0
		v.sendAsk()
		return
	}
	next := rank[0]
	v.tell(home.Withdrawn{ID: v.attempt()})
	v.home = next
	v.tell(schedule.Adopted{
		Ask:       v.asked,
		Plan:      v.machine.Plan,
		Prefilled: v.machine.Phase > lifecycle.Prefilling,
	})
}

// refuseGrant gives back a second grant for an attempt: two boxes may take
// themselves for home for a moment. The same home's grant, sent twice, stands.
func (v *driver) refuseGrant(g grantFrom) {
	if g.id.Number == v.machine.Attempt && g.home == v.home {
		return
	}
	_ = v.d.cfg.Homes.Tell(g.home, v.group, home.Withdrawn{ID: g.id})
}

// takeRefusal ends the request, or asks the group's new home.
func (v *driver) takeRefusal(r refusal) {
	if r.id.Number != v.machine.Attempt+1 || v.machine.Phase != lifecycle.Received {
		return
	}
	if r.event.Reason == lifecycle.ReasonMoved {
		v.askTimer.Reset(movedPause)
		return
	}
	v.askTimer.Stop()
	if rest := v.d.cfg.Homes.RestOf(v.group); rest > 0 && r.event.Reason == lifecycle.ReasonNoEngine {
		r.event.RetryAfterMS = int(max(rest.Milliseconds(), 1))
	}
	v.step(r.event)
}

// movedPause lets boxes hear of the new home.
const movedPause = 10 * time.Millisecond
