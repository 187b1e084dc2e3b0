// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package overload decides how many requests of callers a box accepts. A box whose link or processor
// is full notices it by its messages to all other boxes, which take longer than at rest. It then
// refuses requests before it reads them, so that callers can try another box while what was accepted
// is still served in time.
package overload

import (
	"maps"
	"time"

	"runridge.example/runridge/state/locality"
)

const (
	// echoLost is after how long an echo counts as lost: the other box or the way to it may be
	// gone, which says nothing of this box.
	echoLost = 2 * time.Second
	// echoPending is up to which age an echo that is still out counts by its age. An older one may be
	// lost as well.
	echoPending = 300 * time.Millisecond
	// echoFresh is how long a round trip counts.
	echoFresh = 1500 * time.Millisecond
	// enoughPeers is how many other boxes have to be heard, if there are as many. A single one
	// may be slow itself.
	enoughPeers = 2
)

// Echoes holds the round trips to some other boxes. It is an immutable value; the zero value
// holds none.
type Echoes struct {
	peers map[string]echo
}

// echo is what is known of the round trips to one box.
type echo struct {
	// shortest is the recent minimum of round trips, and last the latest one, which ended at heardAt.
	shortest locality.Shortest
	last     time.Duration
	heardAt  time.Time
	// sentAt is when the question under way was sent; zero if there is none.
	sentAt time.Time
}

// WithPeers returns the echoes of the given boxes alone.
func (e Echoes) WithPeers(names []string) Echoes {
	peers := make(map[string]echo, len(names))
	for _, name := range names {
		peers[name] = e.peers[name]
	}
	return Echoes{peers: peers}
}

// Due returns the boxes to ask: those without a question under way.
func (e Echoes) Due(now time.Time) []string {
	var out []string
	for name, p := range e.peers {
		if p.sentAt.IsZero() || now.Sub(p.sentAt) >= echoLost {
			out = append(out, name)
		}
	}
	return out
}

// WithSent returns the echoes after a question was sent to a box.
func (e Echoes) WithSent(name string, now time.Time) Echoes {
	return e.with(name, func(p echo) echo {
		p.sentAt = now
		return p
	})
}

// WithAnswer returns the echoes after a box answered the question under way.
func (e Echoes) WithAnswer(name string, now time.Time) Echoes {
	return e.with(name, func(p echo) echo {
		if p.sentAt.IsZero() {
			return p
		}
		p.last, p.heardAt, p.sentAt = now.Sub(p.sentAt), now, time.Time{}
		p.shortest = p.shortest.With(now, p.last)
		return p
	})
}

// WithoutQuestions returns the echoes without the questions under way. After a pause of the process
// their times say nothing.
func (e Echoes) WithoutQuestions() Echoes {
	peers := maps.Clone(e.peers)
	for name, p := range peers {
		p.sentAt = time.Time{}
		peers[name] = p
	}
	return Echoes{peers: peers}
}

// with changes the echo of a box; nothing changes if the box is not among the peers.
func (e Echoes) with(name string, change func(echo) echo) Echoes {
	p, known := e.peers[name]
	if !known {
		return e
	}
	peers := maps.Clone(e.peers)
	peers[name] = change(p)
	return Echoes{peers: peers}
}

// Delay returns by how much messages of this box take longer than at rest, as the least that any of
// the other boxes shows: a longer time to one of them may be that box's own. It returns false if too
// few were heard of late. Answers that are still out count by their age for a while.
func (e Echoes) Delay(now time.Time) (time.Duration, bool) {
	return e.least(func(p echo) (time.Duration, bool) { return p.delay(now) })
}

// Answered is Delay without the answers that are still out, which may never come.
func (e Echoes) Answered(now time.Time) (time.Duration, bool) {
	return e.least(func(p echo) (time.Duration, bool) { return p.answered(now) })
}

// least returns the least delay of the boxes for which one is known.
func (e Echoes) least(of func(echo) (time.Duration, bool)) (time.Duration, bool) {
	heard, least := 0, time.Duration(0)
	for _, p := range e.peers {
		delay, ok := of(p)
		if !ok {
			continue
		}
		if heard == 0 || delay < least {
			least = delay
		}
		heard++
	}
	if heard == 0 || heard < min(enoughPeers, len(e.peers)) {
		return 0, false
	}
	return least, true
}

// answered returns by how much the latest round trip to a box exceeded the shortest one.
func (p echo) answered(now time.Time) (time.Duration, bool) {
	rest := p.shortest.RoundTrip()
	if rest == 0 || now.Sub(p.heardAt) >= echoFresh {
		return 0, false
	}
	return p.last - rest, true
}

// delay is answered, or by how much the answer that is still out exceeds the shortest round trip at
// least, if that is more.
func (p echo) delay(now time.Time) (time.Duration, bool) {
	delay, known := p.answered(now)
	rest, waits := p.shortest.RoundTrip(), now.Sub(p.sentAt)
	if rest == 0 || p.sentAt.IsZero() || waits >= echoPending || waits-rest <= delay {
		return delay, known
	}
	return waits - rest, true
}
