// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
)

// grantEvent is a grant. Like refusalEvent it carries the ID of the attempt, so that a late
// decision on an earlier ask is not applied to the current one.
type grantEvent struct {
	lifecycle.Event
	id lifecycle.AttemptID
	// home is the box that granted the attempt.
	home  string
	event lifecycle.Granted
	// move is the home's estimate of the transfer time.
	move time.Duration
	// prefillCounted and decodeCounted report for which engines the home has counted the
	// attempt, and waited is how long the ask waited at the home.
	prefillCounted, decodeCounted bool
	waited                        time.Duration
}

// queuedEvent reports that an ask is queued at a home.
type queuedEvent struct {
	lifecycle.Event
	id   lifecycle.AttemptID
	home string
}

// slotEvent carries a decode engine that was assigned after the grant, with the estimate of the
// transfer time.
type slotEvent struct {
	lifecycle.Event
	event lifecycle.SlotReady
	move  time.Duration
	// counted reports whether the home has counted the attempt for the engine.
	counted bool
}

// refusalEvent is a home's refusal of an ask.
type refusalEvent struct {
	lifecycle.Event
	id    lifecycle.AttemptID
	event lifecycle.Refused
}

// ask sends the ask for the next attempt to the home of a group of the service.
func (d *driver) ask(e lifecycle.AskHome) {
	if d.stopIfPoison() {
		return
	}
	places := d.dispatcher.cfg.Homes.PlacesOf(d.request.Service)
	d.group = home.ChooseGroup(places, home.Origin{Zone: d.request.Zone, Region: d.dispatcher.cfg.Region}, d.call.ID.Sequence, d.machine.Attempt, nil)
	if d.group == "" {
		d.step(lifecycle.Refused{Reason: lifecycle.ReasonRouteRemoved, RetryAfterMS: noEngineRetryMS})
		return
	}
	id := lifecycle.AttemptID{Request: d.call.ID, Number: d.machine.Attempt + 1}
	d.currentAsk = schedule.Ask{
		ID:           id,
		Box:          d.dispatcher.cfg.Box,
		Account:      d.request.Account,
		Priority:     d.request.Priority,
		PromptTokens: d.request.PromptTokens + e.Emitted,
		OutputTokens: d.request.OutputTokens - e.Emitted,
		Deadline:     d.request.Deadline,
		Resume:       e.Emitted > 0 || e.Kept != "",
		Avoid:        slices.Concat(e.Avoid, d.unsuitedEngines()),
		KeptBy:       e.Kept,
		Software:     d.software,
	}
	d.currentAsk.Marks, d.currentAsk.MarkTokens = d.prefixMarks()
	d.report = schedule.Report{ID: id}
	d.attemptFirstAt, d.attemptLastAt = time.Time{}, time.Time{}
	d.askDeadline = time.Now().Add(d.dispatcher.cfg.AskTimeout)
	d.rank = 0
	d.askedAt = make(map[string]time.Time)
	d.sendAsk()
}

// unsuitedEngines lists the engines of the group's table at which the answer cannot go on.
func (d *driver) unsuitedEngines() []string {
	return slices.DeleteFunc(d.dispatcher.software.unsuited(d.software), func(engine string) bool {
		_, known := d.dispatcher.cfg.Tables.Table().Endpoint(engine)
		return !known
	})
}

// noEngineRetryMS is the retry delay for a service that has no engine now.
const noEngineRetryMS = 1000

// prefixMarks returns the hashes of the prompt's prefixes and their estimated lengths in tokens.
func (d *driver) prefixMarks() ([]uint64, []int) {
	hashes := make([]uint64, 0, len(d.marks))
	tokens := make([]int, 0, len(d.marks))
	perByte := float64(d.request.PromptTokens) / float64(max(len(d.request.Prompt), 1))
	for _, m := range d.marks {
		hashes = append(hashes, m.Hash)
		tokens = append(tokens, int(perByte*float64(m.Bytes)))
	}
	return hashes, tokens
}

// sendAsk sends the ask to the box at the current rank.
func (d *driver) sendAsk() {
	boxes := d.dispatcher.cfg.Homes.HomesOf(d.group)
	d.askTimer.Reset(d.dispatcher.cfg.HomeTimeout)
	d.queued = false
	if len(boxes) == 0 {
		return
	}
	d.home = boxes[d.rank%len(boxes)]
	d.currentAsk.Elapsed = time.Since(d.started)
	if _, again := d.askedAt[d.home]; !again {
		d.askedAt[d.home] = time.Now()
	}
	if d.dispatcher.cfg.Homes.Send(d.home, d.group, d.currentAsk) == ring.Full {
		d.askTimer.Reset(d.dispatcher.cfg.HomeTimeout / queueFullDivisor)
	}
}

// queueFullDivisor shortens HomeTimeout for an ask that did not fit into the send queue.
const queueFullDivisor = 8

// retryAsk sends the ask again, or ends the request if its time for asking is over. If the home
// did not answer at all, it may have failed or hang, so the next box in rank is asked. That box
// acts as home for as long as it is asked and grants cautiously because it knows little; the
// engines enforce their own limits whatever the two boxes decide. A home that has queued the
// ask is asked again.
func (d *driver) retryAsk() {
	if d.machine.Phase != lifecycle.Received {
		return
	}
	if time.Now().After(d.askDeadline) {
		d.step(lifecycle.Refused{Reason: lifecycle.ReasonNoHome, RetryAfterMS: noEngineRetryMS})
		return
	}
	if !d.queued {
		d.notifyHome(home.Withdrawn{ID: d.currentAsk.ID})
		d.rank++
	}
	d.sendAsk()
}

// notifyHome sends a message to the home of the ask or grant.
func (d *driver) notifyHome(body home.Body) {
	// A lost report does no harm because the home's own records expire.
	_ = d.dispatcher.cfg.Homes.Send(d.home, d.group, body)
}

// rehome moves the request to the new home of its group, if it has changed: a pending ask is
// sent there, a granted attempt is announced there.
func (d *driver) rehome() {
	if d.group == "" {
		return
	}
	rank := d.dispatcher.cfg.Homes.HomesOf(d.group)
	if len(rank) == 0 || rank[0] == d.home {
		return
	}
	if d.machine.Phase == lifecycle.Received {
		d.notifyHome(home.Withdrawn{ID: d.currentAsk.ID})
		d.rank = 0
		d.sendAsk()
		return
	}
	next := rank[0]
	d.notifyHome(home.Withdrawn{ID: d.attempt()})
	d.home = next
	d.notifyHome(schedule.Adopted{
		Ask:       d.currentAsk,
		Plan:      d.machine.Plan,
		Prefilled: d.machine.Phase > lifecycle.Prefilling,
	})
}

// returnSecondGrant returns a second grant for an attempt, because two boxes may briefly act as
// home of a group. A duplicate of the grant from the same home is ignored.
func (d *driver) returnSecondGrant(g grantEvent) {
	if g.id.Number == d.machine.Attempt && g.home == d.home {
		return
	}
	_ = d.dispatcher.cfg.Homes.Send(g.home, d.group, home.Withdrawn{ID: g.id})
}

// handleRefusal ends the request, or asks the new home if the group has moved.
func (d *driver) handleRefusal(r refusalEvent) {
	if r.id.Number != d.machine.Attempt+1 || d.machine.Phase != lifecycle.Received {
		return
	}
	if r.event.Reason == lifecycle.ReasonHomeMoved {
		d.askTimer.Reset(homeMovedDelay)
		return
	}
	d.askTimer.Stop()
	if rest := d.dispatcher.cfg.Homes.LeastRest(d.group); rest > 0 && r.event.Reason == lifecycle.ReasonNoEngine {
		r.event.RetryAfterMS = int(max(rest.Milliseconds(), 1))
	}
	d.step(r.event)
}

// homeMovedDelay gives the boxes time to learn of the new home.
const homeMovedDelay = 10 * time.Millisecond
