// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"runridge.example/runridge/state/locality"
)

const (
	// pausePeriods is how many periods late a tick must be to count as a
	// pause of this box itself.
	pausePeriods = 2
	// distrustPeriods is how long a box distrusts itself after a pause.
	distrustPeriods = 2
	// maxRelays bounds the indirect probes remembered.
	maxRelays = 256
)

// Tick moves the protocol on; it is called a few times a period.
func (v *View) Tick(now time.Time) []Send {
	if now.Sub(v.last) > pausePeriods*v.cfg.Period {
		v.noticePause(now)
	}
	v.last = now
	v.expire(now)
	out := v.requestSync(now)
	if v.probe.target == "" || now.Sub(v.probe.sent) >= v.cfg.Period {
		v.judge(now)
		return append(out, v.next(now)...)
	}
	late := now.Sub(v.probe.sent) >= v.cfg.Timeout
	if late && !v.probe.answered && !v.probe.indirect {
		v.probe.indirect = true
		return append(out, v.askOthers()...)
	}
	return out
}

// noticePause makes a box that stood still blame itself: whatever was due
// meanwhile proves nothing about the others.
func (v *View) noticePause(now time.Time) {
	v.distrust = now.Add(distrustPeriods * v.cfg.Period)
	v.probe = probe{}
	for _, e := range v.boxes {
		if e.State == Suspect {
			e.since = now
		}
	}
}

// judge ends the probe under way.
func (v *View) judge(now time.Time) {
	p := v.probe
	v.probe = probe{}
	if p.target == "" || p.answered || v.Distrusts(now) {
		return
	}
	e, ok := v.boxes[p.target]
	if !ok || e.State == Suspect || e.State == Dead {
		return
	}
	v.set(now, e, Suspect)
}

// set changes the state of another box on this box's own judgement.
func (v *View) set(now time.Time, e *entry, s State) {
	if (e.State == Dead) != (s == Dead) {
		v.changed = true
	}
	e.State, e.since, e.told = s, now, 0
}

// suspectTime grows with the logarithm of the fleet, as updates need that long
// to come round.
func (v *View) suspectTime() time.Duration {
	rounds := max(bits.Len(uint(len(v.boxes)))-suspectBase, 1)
	return time.Duration(v.cfg.SuspectPeriods*(1+rounds)) * v.cfg.Period / 2
}

// suspectBase is the size, as a power of two, up to which a fleet is small.
const suspectBase = 3

// expire turns suspects that stayed silent into dead, one at a time, and
// forgets the long dead. One a tick, and never while most of the fleet is
// under suspicion: then the fault is more likely here.
func (v *View) expire(now time.Time) {
	if v.Distrusts(now) {
		return
	}
	suspects := 0
	for _, e := range v.boxes {
		if e.State == Suspect {
			suspects++
		}
	}
	mostSuspect := suspects*2 > len(v.boxes)-1 && len(v.boxes) > smallFleet
	var oldest *entry
	for name, e := range v.boxes {
		if e.State == Dead && now.Sub(e.since) > v.cfg.Forget {
			delete(v.boxes, name)
			continue
		}
		if e.State == Suspect && (oldest == nil || e.suspectedBefore(oldest)) {
			oldest = e
		}
	}
	if oldest == nil {
		return
	}
	wait := v.suspectTime()
	if mostSuspect {
		wait *= mostSuspectFactor
	}
	if now.Sub(oldest.since) > wait {
		v.set(now, oldest, Dead)
	}
}

// suspectedBefore orders suspects by when the suspicion arose, and those of one moment by
// name: the order of a map can't be repeated.
func (e *entry) suspectedBefore(o *entry) bool {
	return cmp.Or(e.since.Compare(o.since), cmp.Compare(e.Name, o.Name)) < 0
}

const (
	// smallFleet is too small for a majority to say anything.
	smallFleet = 3
	// mostSuspectFactor is how much longer suspects get when there are many.
	mostSuspectFactor = 4
)

// next probes the next box in a random order that is drawn anew each round,
// so that every box is probed once a round.
func (v *View) next(now time.Time) []Send {
	target, ok := v.pick()
	if !ok {
		return nil
	}
	v.sequence++
	v.probe = probe{target: target, sequence: v.sequence, sent: now}
	return []Send{v.send(target, Message{Kind: Ping, Sequence: v.sequence})}
}

func (v *View) pick() (string, bool) {
	for range len(v.boxes) + 1 {
		if v.turn >= len(v.order) {
			v.shuffle()
		}
		if len(v.order) == 0 {
			return "", false
		}
		name := v.order[v.turn]
		v.turn++
		// The dead are probed too: that is how two halves find each other
		// again once the network between them is back.
		if _, ok := v.boxes[name]; ok {
			return name, true
		}
	}
	return "", false
}

func (v *View) shuffle() {
	v.order = v.order[:0]
	names := make([]string, 0, len(v.boxes))
	for name := range v.boxes {
		names = append(names, name)
	}
	// Map order is random, but not repeatable; tests need it to be.
	slices.Sort(names)
	for _, name := range names {
		skipped := v.far(v.boxes[name].Box) && v.random.IntN(farRounds) > 0
		if name != v.cfg.Self.Name && !skipped {
			v.order = append(v.order, name)
		}
	}
	v.random.Shuffle(len(v.order), func(i, j int) { v.order[i], v.order[j] = v.order[j], v.order[i] })
	v.turn = 0
}

// askOthers asks a few live boxes to probe the silent one.
func (v *View) askOthers() []Send {
	live := slices.DeleteFunc(v.Duty(), func(b Box) bool { return b.Name == v.probe.target || b.State != Live })
	helpers := v.nearFirst(live, v.cfg.Indirect)
	v.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var out []Send
	for _, h := range helpers[:min(len(helpers), v.cfg.Indirect)] {
		out = append(out, v.send(h, Message{Kind: PingRequest, Sequence: v.probe.sequence, Target: v.probe.target}))
	}
	return out
}

// farRounds is in one of how many rounds a box of another region is probed. Those of
// its own region find a dead box, and the others' probes carry the word across. With
// four, 20 % of the probes of two equal regions cross, not 50 %, and 150 boxes still
// send 60 a second across, so that each of 150 boxes there is probed every 2.5 s.
const farRounds = 4

// far says whether a box stands in another region.
func (v *View) far(b Box) bool {
	return v.cfg.Regions.Distance(v.cfg.Self.Zone, b.Zone) == locality.OtherRegion
}

// nearFirst lists the other boxes of the own region, and all others if there are
// fewer than needed.
func (v *View) nearFirst(boxes []Box, needed int) []string {
	var near, all []string
	for _, b := range boxes {
		if b.Name == v.cfg.Self.Name {
			continue
		}
		all = append(all, b.Name)
		if !v.far(b) {
			near = append(near, b.Name)
		}
	}
	if len(near) < needed {
		return all
	}
	return near
}

// send fills in the updates that a message carries.
func (v *View) send(to string, m Message) Send {
	m.Updates = v.updates(to)
	return Send{To: to, Address: v.addressOf(to), Message: m}
}

// addressOf is where a box is reached; empty is not known.
func (v *View) addressOf(box string) string {
	if e, ok := v.boxes[box]; ok {
		return e.Address
	}
	return ""
}

// updates picks the least told words, this box's own first. Each is told a few
// times for each doubling of the fleet and then no more, so that a quiet fleet
// says almost nothing.
func (v *View) updates(to string) []Box {
	limit := tellFactor * (bits.Len(uint(len(v.boxes))) + 1)
	var fresh []*entry
	for _, e := range v.boxes {
		if e.told < limit && e.Name != v.cfg.Self.Name {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		if a.told != b.told {
			return a.told - b.told
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	out := []Box{v.Self()}
	// The receiver hears what is said of it, so that it can speak up.
	if e, ok := v.boxes[to]; ok && e.State != Live {
		out = append(out, e.Box)
	}
	for _, e := range fresh[:min(len(fresh), v.cfg.Updates)] {
		e.told++
		out = append(out, e.Box)
	}
	return out
}

// tellFactor is how often a word is told for each doubling of the fleet.
const tellFactor = 3

// Receive takes a message from a box and returns what to answer.
func (v *View) Receive(now time.Time, from string, m Message) []Send {
	if m.Kind == Sync {
		v.hearSync(now, from, m)
		return nil
	}
	for _, b := range m.Updates {
		v.merge(now, b)
	}
	switch m.Kind {
	case Ping:
		return []Send{v.send(from, Message{Kind: Ack, Sequence: m.Sequence, For: m.For})}
	case PingRequest:
		return v.relayPing(now, from, m)
	case Ack:
		return v.acked(now, from, m)
	case SyncRequest:
		return v.sync(from, m.Digest)
	default:
		return nil
	}
}

// relayPing probes a box for another.
func (v *View) relayPing(now time.Time, from string, m Message) []Send {
	if _, ok := v.boxes[m.Target]; !ok {
		return nil
	}
	for s, r := range v.relays {
		if now.Sub(r.at) > v.cfg.Period {
			delete(v.relays, s)
		}
	}
	if len(v.relays) >= maxRelays {
		return nil
	}
	v.sequence++
	v.relays[v.sequence] = relay{to: from, sequence: m.Sequence, at: now}
	return []Send{v.send(m.Target, Message{Kind: Ping, Sequence: v.sequence})}
}

// acked takes an answer to a probe of this box's own or of another's.
func (v *View) acked(now time.Time, from string, m Message) []Send {
	if m.Sequence == v.probe.sequence && (from == v.probe.target || m.For == v.probe.target) {
		if from == v.probe.target && !v.probe.answered {
			v.measured = RoundTrip{Box: from, Took: now.Sub(v.probe.sent)}
		}
		v.probe.answered = true
		return nil
	}
	r, ok := v.relays[m.Sequence]
	if !ok {
		return nil
	}
	delete(v.relays, m.Sequence)
	return []Send{v.send(r.to, Message{Kind: Ack, Sequence: r.sequence, For: from})}
}
