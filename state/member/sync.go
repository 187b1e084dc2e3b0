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
	// MaxSync bounds the boxes that one message tells, so that it fits into a frame however
	// large the fleet is.
	MaxSync = 256
	// leastSyncs is how many answers a box that starts takes at least, and learntShare the
	// part of the boxes it knows that an answer may bring for it to be enough. Of a fleet
	// that starts at once each box knows twice as many after each answer.
	leastSyncs  = 2
	learntShare = 0.05
	// maxSyncs is after how many questions the answer of a box that knows few others does.
	maxSyncs = 8
	// laterSyncs is how often a box asks again after that, each time after twice the time
	// before: for what was lost on the way.
	laterSyncs = 5
	firstLater = 2 * time.Second
	// anyZone is which of the questions may go to any zone, the first and each so many
	// after it: what comes from the own zone crosses no link between zones.
	anyZone = 3
)

// syncing is the questions of a box that has started.
type syncing struct {
	// next is when to ask again, asks how often this box has asked, and later how often
	// since it has had enough.
	next  time.Time
	asks  int
	later int
	done  bool
	// from is the box whose answer is coming, told how many boxes that has told so far, and
	// learnt how many of them were new.
	from         string
	told, learnt int
}

// requestSync asks one other box for all that it knows, and another one after a while, until
// the answers bring nothing new. Without it a box that starts would hear of the others one
// probe at a time, and give duties to other boxes than they do meanwhile.
func (v *View) requestSync(now time.Time) []Send {
	s := &v.syncing
	if now.Before(s.next) || s.later > laterSyncs {
		return nil
	}
	others := v.nearFirst(v.Duty(), 1)
	if len(others) == 0 {
		return nil
	}
	if same := v.sameZone(others); s.asks%anyZone > 0 && len(same) > 0 {
		others = same
	}
	s.next = now.Add(v.cfg.Period)
	if s.done {
		s.next = now.Add(firstLater << s.later)
		s.later++
	}
	s.asks++
	m := Message{Kind: SyncRequest}
	if s.done {
		m.Digest = v.digest()
	}
	return []Send{v.send(others[v.random.IntN(len(others))], m)}
}

// sameZone lists those of some boxes that stand in this one's zone.
func (v *View) sameZone(names []string) []string {
	var out []string
	for _, name := range names {
		if v.boxes[name].Zone == v.cfg.Self.Zone {
			out = append(out, name)
		}
	}
	return out
}

// digest stands for the boxes that this one takes for live, each with its process.
func (v *View) digest() uint64 {
	sum := uint64(0)
	for _, e := range v.boxes {
		if e.State != Dead {
			sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(e.Name), e.Start))
		}
	}
	return sum
}

// sync tells another box all that this one knows first-hand or has heard, unless that box
// knows the same.
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

// hearSync takes in a part of the answer to a SyncRequest. An answer that lacks a part is asked
// for again, at another box.
func (v *View) hearSync(now time.Time, from string, m Message) {
	s := &v.syncing
	if s.from != from {
		s.from, s.told, s.learnt = from, 0, 0
	}
	s.told += len(m.Updates)
	for _, b := range m.Updates {
		_, known := v.boxes[b.Name]
		v.merge(now, b)
		if !known {
			s.learnt++
		}
		if e := v.boxes[b.Name]; e != nil && e.told == 0 && e.State == Live && b.Name != v.cfg.Self.Name {
			// Every box asks, so this is no update to pass on.
			e.told = untold
		}
	}
	total := max(m.Total, len(m.Updates))
	if s.told < total {
		return
	}
	little := float64(s.learnt) < learntShare*float64(len(v.boxes)) && s.asks >= leastSyncs
	// One that knows few boxes has just started itself.
	enough := total*2 >= len(v.boxes) && little
	s.from, s.told, s.learnt = "", 0, 0
	if !s.done && (enough || s.asks >= maxSyncs) {
		s.done = true
		s.next = now.Add(firstLater)
	}
}
