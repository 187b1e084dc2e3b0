// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"time"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
)

// homeDecision is a decision that a home sent for an attempt.
type homeDecision struct {
	from     string
	id       lifecycle.AttemptID
	decision schedule.Decision
}

// Timeouts and limits of asks.
const (
	// homeTimeout is how long a home may be silent before the next one is asked.
	homeTimeout = 80 * time.Millisecond
	// queuedRetry is the interval after which a queued ask is sent again.
	queuedRetry = 300 * time.Millisecond
	// homeMovedDelay gives the boxes time to learn of a new home.
	homeMovedDelay = 10 * time.Millisecond
	// queueFullDelay is the delay after an ask that did not fit into the send queue.
	queueFullDelay = 10 * time.Millisecond
	// maxSilentHomes is how many homes may be silent before the box places the request itself.
	maxSilentHomes = 3
)

// askOutcome is the outcome of an ask.
type askOutcome struct {
	grant schedule.Grant
	// askedAt is when the home that sent the grant was first asked.
	askedAt time.Time
	// refused reports that the home refused, and noHome that no home answered in time.
	refused    bool
	noHome     bool
	reason     lifecycle.Reason
	retryAfter time.Duration
}

// ask sends the ask to the home of the group and waits for its decision. It asks the next box
// in rank when a home is silent and the new home when the group has moved.
func (h *handler) ask(ctx context.Context, a schedule.Ask) askOutcome {
	h.drainDecisions()
	rank, silent := 0, 0
	asked := askTimes{}
	timer := time.NewTimer(h.sendAsk(a, rank, asked))
	defer timer.Stop()
	queued := false
	for {
		select {
		case <-ctx.Done():
			h.notifyHome(home.Withdrawn{ID: a.ID})
			return askOutcome{refused: true, reason: lifecycle.ReasonTargetUnreachable}
		case d := <-h.decisions:
			if d.id != a.ID {
				h.returnGrant(d)
				continue
			}
			switch dec := d.decision.(type) {
			case schedule.Grant:
				h.setHome(d.from)
				return askOutcome{grant: dec, askedAt: asked[d.from]}
			case schedule.Refusal:
				if dec.Reason == lifecycle.ReasonHomeMoved {
					timer.Reset(homeMovedDelay)
					continue
				}
				return askOutcome{refused: true, reason: dec.Reason, retryAfter: dec.RetryAfter}
			case schedule.Queued:
				queued = true
				timer.Reset(queuedRetry)
			}
		case <-h.homeMoved:
			// The group has a new home.
			h.notifyHome(home.Withdrawn{ID: a.ID})
			rank, queued = 0, false
			timer.Reset(h.sendAsk(a, rank, asked))
		case <-timer.C:
			if !queued {
				h.notifyHome(home.Withdrawn{ID: a.ID})
				rank++
				silent++
			}
			if silent >= maxSilentHomes {
				return askOutcome{noHome: true}
			}
			queued = false
			timer.Reset(h.sendAsk(a, rank, asked))
		}
	}
}

// drainDecisions discards late decisions on earlier asks and returns their grants.
func (h *handler) drainDecisions() {
	for {
		select {
		case d := <-h.decisions:
			h.returnGrant(d)
		default:
			return
		}
	}
}

// returnGrant withdraws a granted attempt that is no longer wanted.
func (h *handler) returnGrant(d homeDecision) {
	if _, granted := d.decision.(schedule.Grant); granted {
		_ = h.relay.cfg.Homes.Send(d.from, h.group, home.Withdrawn{ID: d.id})
	}
}

// askTimes maps each box to the time when it was first asked the same question. For a box that
// answers a repeated ask, the first one counts.
type askTimes map[string]time.Time

// sendAsk asks the box at the given rank and returns how long to wait for its decision.
func (h *handler) sendAsk(a schedule.Ask, rank int, asked askTimes) time.Duration {
	boxes := h.relay.cfg.Homes.HomesOf(h.group)
	timeout := homeTimeout + h.roundTrip(h.group) + h.relay.slack()
	if len(boxes) == 0 {
		return timeout
	}
	box := boxes[rank%len(boxes)]
	h.setHome(box)
	if _, again := asked[box]; !again {
		asked[box] = h.relay.cfg.Now()
	}
	a.Elapsed = h.age + h.relay.cfg.Now().Sub(h.request.Arrived)
	if h.relay.cfg.Homes.Send(box, h.group, a) == ring.Full {
		return queueFullDelay
	}
	return timeout
}

// defaultRoundTrip is used until the round trip to a region has been measured; it fits regions
// some thousand kilometers apart.
const defaultRoundTrip = 40 * time.Millisecond

// roundTrip returns the round trip time to a group's home in another region; 0 within the
// region.
func (h *handler) roundTrip(key string) time.Duration {
	p, known := h.place(key)
	if !known || p.Region == h.relay.origin().Region {
		return 0
	}
	if h.relay.cfg.RoundTrip != nil {
		if found := h.relay.cfg.RoundTrip(p.Region); found > 0 {
			return found
		}
	}
	return defaultRoundTrip
}

// awaitSlot waits for the decode engine of a grant that left it open. It returns false if none
// is assigned before the timeout.
func (h *handler) awaitSlot(ctx context.Context, id lifecycle.AttemptID, timeout time.Duration) (string, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", false
		case <-timer.C:
			return "", false
		case d := <-h.decisions:
			if slot, ok := d.decision.(schedule.DecodeAssignment); ok && d.id == id {
				return slot.Decode, true
			}
		}
	}
}

func (h *handler) setGroup(group string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.group = group
}

func (h *handler) setHome(box string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.home = box
}

// notifyHome sends a message to the home of the attempt. A lost message does no harm, because
// homes check old grants themselves.
func (h *handler) notifyHome(body home.Body) {
	h.mutex.Lock()
	box := h.home
	h.mutex.Unlock()
	if box != "" {
		_ = h.relay.cfg.Homes.Send(box, h.group, body)
	}
}

// rehome moves the request to the new home of its group, if it has changed: an attempt in
// flight is announced there, a pending ask is sent again.
func (h *handler) rehome() {
	h.mutex.Lock()
	group := h.group
	h.mutex.Unlock()
	if group == "" {
		return
	}
	boxes := h.relay.cfg.Homes.HomesOf(group)
	h.mutex.Lock()
	// The request may have moved on to another group meanwhile and looked up that group's home.
	if len(boxes) == 0 || boxes[0] == h.home || h.group != group {
		h.mutex.Unlock()
		return
	}
	running := h.running
	adopted := h.adopted
	old := h.home
	if running {
		h.home = boxes[0]
	}
	h.mutex.Unlock()
	if !running {
		select {
		case h.homeMoved <- struct{}{}:
		default:
		}
		return
	}
	_ = h.relay.cfg.Homes.Send(old, group, home.Withdrawn{ID: adopted.Ask.ID})
	_ = h.relay.cfg.Homes.Send(boxes[0], group, adopted)
	time.AfterFunc(readoptDelay, func() { h.repeatAdopted(boxes[0], adopted) })
}

// readoptDelay is when an attempt is announced to a new home a second time: the first message
// may have been lost, or the home did not know the group or engine yet.
const readoptDelay = 500 * time.Millisecond

// repeatAdopted announces an attempt again if it is still in flight under the same home.
func (h *handler) repeatAdopted(box string, told schedule.Adopted) {
	h.mutex.Lock()
	same := h.running && h.home == box && h.adopted.Ask.ID == told.Ask.ID
	now, group := h.adopted, h.group
	h.mutex.Unlock()
	if same {
		_ = h.relay.cfg.Homes.Send(box, group, now)
	}
}
