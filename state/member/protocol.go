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
	// pausePeriods is the number of periods between two ticks above which this box
	// itself counts as having been paused.
	pausePeriods = 2
	// distrustPeriods is the number of periods after a pause in which this box's
	// observations of others do not count.
	distrustPeriods = 2
	// maxRelays is the maximum number of pending indirect probes for other boxes.
	maxRelays = 256
)

// Tick advances the protocol and returns the messages to send. It is called a few
// times per period.
func (v *View) Tick(now time.Time) []Send {
	if now.Sub(v.last) > pausePeriods*v.cfg.Period {
		v.noticePause(now)
	}
	v.last = now
	v.expire(now)
	out := v.requestSync(now)
	if v.probe.target == "" || now.Sub(v.probe.sent) >= v.cfg.Period {
		v.concludeProbe(now)
		return append(out, v.next(now)...)
	}
	late := now.Sub(v.probe.sent) >= v.cfg.Timeout
	if late && !v.probe.answered && !v.probe.indirect {
		v.probe.indirect = true
		return append(out, v.requestIndirectProbes()...)
	}
	return out
}

// noticePause handles a pause of this box itself: answers that were due meanwhile
// prove nothing about the others, so the probe in flight is dropped and all
// suspicions start over.
func (v *View) noticePause(now time.Time) {
	v.distrustUntil = now.Add(distrustPeriods * v.cfg.Period)
	v.probe = probe{}
	for _, e := range v.boxes {
		if e.State == Suspect {
			e.since = now
		}
	}
}

// concludeProbe ends the probe in flight and suspects its target if it did not answer.
func (v *View) concludeProbe(now time.Time) {
	p := v.probe
	v.probe = probe{}
	if p.target == "" || p.answered || v.PausedRecently(now) {
		return
	}
	e, ok := v.boxes[p.target]
	if !ok || e.State == Suspect || e.State == Dead {
		return
	}
	v.set(now, e, Suspect)
}

// set changes the state of another box after an observation of this one.
func (v *View) set(now time.Time, e *entry, s State) {
	if (e.State == Dead) != (s == Dead) {
		v.changed = true
	}
	e.State, e.since, e.sent = s, now, 0
}

// suspectTime returns how long a suspicion lasts before the box is dead. It grows
// with the logarithm of the fleet's size, as does the time that updates need to
// reach all boxes.
func (v *View) suspectTime() time.Duration {
	rounds := max(bits.Len(uint(len(v.boxes)))-suspectBase, 1)
	return time.Duration(v.cfg.SuspectPeriods*(1+rounds)) * v.cfg.Period / 2
}

// suspectBase is the bit length of the fleet's size up to which suspectTime does
// not grow.
const suspectBase = 3

// expire declares the longest suspected box dead once its time is over, one box
// per tick, and forgets boxes that have been dead for long. While most of the
// fleet is suspected the fault is more likely on this box's side, so suspects get
// more time.
func (v *View) expire(now time.Time) {
	if v.PausedRecently(now) {
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
		if e.State == Dead && now.Sub(e.since) > v.cfg.ForgetAfter {
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

// suspectedBefore reports whether one box was suspected before another. Equal times are
// ordered by name, since map order is not reproducible.
func (e *entry) suspectedBefore(o *entry) bool {
	return cmp.Or(e.since.Compare(o.since), cmp.Compare(e.Name, o.Name)) < 0
}

const (
	// smallFleet is the largest fleet in which a majority of suspects means nothing.
	smallFleet = 3
	// mostSuspectFactor multiplies the suspicion time while most boxes are suspected.
	mostSuspectFactor = 4
)

// next probes the next box of a random order that is drawn anew each round, so
// that every box of this region is probed once per round.
func (v *View) next(now time.Time) []Send {
	target, ok := v.pick()
	if !ok {
		return nil
	}
	v.sequence++
	v.probe = probe{target: target, sequence: v.sequence, sent: now}
	return []Send{v.send(target, Message{Kind: Ping, Sequence: v.sequence})}
}

// pick returns the next box to probe, and false if there is none.
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
		// Dead boxes are probed too: this is how the two sides of a partition
		// find each other once the network is back.
		if _, ok := v.boxes[name]; ok {
			return name, true
		}
	}
	return "", false
}

// shuffle draws the order of the next round of probes.
func (v *View) shuffle() {
	v.order = v.order[:0]
	names := make([]string, 0, len(v.boxes))
	for name := range v.boxes {
		names = append(names, name)
	}
	// Map order is not reproducible, and tests need a reproducible one.
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

// requestIndirectProbes asks a few live boxes to probe the silent one.
func (v *View) requestIndirectProbes() []Send {
	live := slices.DeleteFunc(v.DutyCandidates(), func(b Box) bool { return b.Name == v.probe.target || b.State != Live })
	helpers := v.nearFirst(live, v.cfg.Indirect)
	v.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var out []Send
	for _, h := range helpers[:min(len(helpers), v.cfg.Indirect)] {
		out = append(out, v.send(h, Message{Kind: PingRequest, Sequence: v.probe.sequence, Target: v.probe.target}))
	}
	return out
}

// farRounds is the average number of rounds between two probes of a box in another
// region. A dead box is found by the boxes of its own region, and the probes between
// regions spread the update. With 4, 20 % of the probes of two equal regions cross
// instead of 50 %, and 150 boxes still send 60 probes a second across, so each of 150
// boxes there is probed every 2.5 s.
const farRounds = 4

// far reports whether a box is in another region.
func (v *View) far(b Box) bool {
	return v.cfg.Regions.Distance(v.cfg.Self.Zone, b.Zone) == locality.OtherRegion
}

// nearFirst lists the other boxes in this box's region, or all other boxes if
// fewer than needed are in it.
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

// send addresses a message to a box and adds the updates that it carries.
func (v *View) send(to string, m Message) Send {
	m.Updates = v.updates(to)
	return Send{To: to, Address: v.addressOf(to), Message: m}
}

// addressOf returns a box's address; empty if it is not known.
func (v *View) addressOf(box string) string {
	if e, ok := v.boxes[box]; ok {
		return e.Address
	}
	return ""
}

// updates selects the updates that a message to a box carries: first this box's
// own state, then those that were sent least often. Each is sent a few times for
// each doubling of the fleet and then no more, so an unchanged fleet sends almost
// none.
func (v *View) updates(to string) []Box {
	limit := spreadFactor * (bits.Len(uint(len(v.boxes))) + 1)
	var pending []*entry
	for _, e := range v.boxes {
		if e.sent < limit && e.Name != v.cfg.Self.Name {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	out := []Box{v.Self()}
	// The receiver gets the update about itself so that it can refute it.
	if e, ok := v.boxes[to]; ok && e.State != Live {
		out = append(out, e.Box)
	}
	for _, e := range pending[:min(len(pending), v.cfg.Updates)] {
		e.sent++
		out = append(out, e.Box)
	}
	return out
}

// spreadFactor is how often an update is sent for each doubling of the fleet.
const spreadFactor = 3

// Receive processes a message from a box and returns the messages to send.
func (v *View) Receive(now time.Time, from string, m Message) []Send {
	if m.Kind == Sync {
		v.receiveSync(now, from, m)
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

// relayPing probes a box on behalf of another one.
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

// acked processes the answer to this box's own probe, or forwards the answer to a
// probe on behalf of another box.
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
