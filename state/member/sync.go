// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxSync is the maximum number of boxes in one Sync message, so that it fits into a
	// frame whatever the size of the fleet.
	MaxSync = 256
	// minSyncs is the minimum number of requests before an answer can end the initial
	// synchronization, and maxLearntShare the share of new boxes below which it does. In
	// a fleet that starts at once each answer doubles the number of boxes that a box knows.
	minSyncs       = 2
	maxLearntShare = 0.05
	// maxSyncs is the number of requests after which any complete answer ends the initial
	// synchronization, even that of a box that knows few others.
	maxSyncs = 8
	// laterSyncs is the number of requests after the initial synchronization, which recover
	// lost messages. The first follows after firstLater, and the interval doubles each time.
	laterSyncs = 5
	firstLater = 2 * time.Second
	// anyZone is how often a request may go to any zone: the first one and every anyZone-th
	// after it. The others stay in this box's zone, whose answers cross no link between zones.
	anyZone = 3
)

// syncing is the state of a started box's requests for the views of others.
type syncing struct {
	// next is when to send the next request, requests the number of requests sent, and later
	// the number of those sent after the initial synchronization.
	next     time.Time
	requests int
	later    int
	// done is set when the initial synchronization has ended.
	done bool
	// from is the box whose answer is being received, received the number of boxes in its
	// parts so far, and learnt how many of them were new.
	from             string
	received, learnt int
}

// requestSync asks one other box for its whole view, and another one after a while, until the
// answers bring nothing new. Without it a started box would learn of the others one probe at a
// time, and would meanwhile assign duties to other boxes than they do.
func (v *View) requestSync(now time.Time) []Send {
	s := &v.syncing
	if now.Before(s.next) || s.later > laterSyncs {
		return nil
	}
	others := v.nearFirst(v.DutyCandidates(), 1)
	if len(others) == 0 {
		return nil
	}
	if near := v.sameZone(others); s.requests%anyZone > 0 && len(near) > 0 {
		others = near
	}
	s.next = now.Add(v.cfg.Period)
	if s.done {
		s.next = now.Add(firstLater << s.later)
		s.later++
	}
	s.requests++
	m := Message{Kind: SyncRequest}
	if s.done {
		m.Digest = v.digest()
	}
	return []Send{v.send(others[v.random.IntN(len(others))], m)}
}

// sameZone returns those of the named boxes that are in this box's zone.
func (v *View) sameZone(names []string) []string {
	var out []string
	for _, name := range names {
		if v.boxes[name].Zone == v.cfg.Self.Zone {
			out = append(out, name)
		}
	}
	return out
}

// digest returns a hash of the names and starts of the boxes that are not dead in this view.
func (v *View) digest() uint64 {
	sum := uint64(0)
	for _, e := range v.boxes {
		if e.State != Dead {
			sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(e.Name), e.Start))
		}
	}
	return sum
}

// sync returns the messages that carry this box's view to another one, unless the digest shows
// that it has the same view. Boxes known only from the platform's list are left out.
func (v *View) sync(to string, digest uint64) []Send {
	if digest != 0 && digest == v.digest() {
		return nil
	}
	all := v.list(func(e *entry) bool { return e.Incarnation > 0 })
	var out []Send
	for part := range slices.Chunk(all, MaxSync) {
		out = append(out, Send{To: to, Address: v.addressOf(to), Message: Message{Kind: Sync, Total: len(all), Updates: part}})
	}
	return out
}

// receiveSync processes one part of the answer to a SyncRequest. If a part of the answer is
// lost, the next request, which may go to another box, takes its place.
func (v *View) receiveSync(now time.Time, from string, m Message) {
	s := &v.syncing
	if s.from != from {
		s.from, s.received, s.learnt = from, 0, 0
	}
	s.received += len(m.Updates)
	for _, b := range m.Updates {
		_, known := v.boxes[b.Name]
		v.merge(now, b)
		if !known {
			s.learnt++
		}
		if e := v.boxes[b.Name]; e != nil && e.sent == 0 && e.State == Live && b.Name != v.cfg.Self.Name {
			// Every started box asks for it, so the update is not spread further.
			e.sent = neverSpread
		}
	}
	total := max(m.Total, len(m.Updates))
	if s.received < total {
		return
	}
	fewNew := float64(s.learnt) < maxLearntShare*float64(len(v.boxes)) && s.requests >= minSyncs
	// A box that knows few others has just started itself.
	enough := total*2 >= len(v.boxes) && fewNew
	s.from, s.received, s.learnt = "", 0, 0
	if !s.done && (enough || s.requests >= maxSyncs) {
		s.done = true
		s.next = now.Add(firstLater)
	}
}
