// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package member is one box's view of the others: who is live, suspected,
// dead or leaving. It follows the SWIM protocol (Das, Gupta, Motivala, 2002):
// one probe a period, indirect probes through a few others, suspicion before
// death, and updates carried on the probes. It does no I/O and takes the time as
// an argument.
package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"runridge.example/runridge/state/locality"
)

// State of a box in a view.
type State uint8

// States; of two words with the same incarnation the higher one wins.
const (
	Live State = iota
	// Leaving boxes still serve what they have and take no new duties.
	Leaving
	// Suspect boxes did not answer; they keep their duties for a while.
	Suspect
	// Dead boxes lose their duties. It is no proof that the process is gone.
	Dead
)

var stateNames = [...]string{"live", "leaving", "suspect", "dead"}

// String gives the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Box is what is known of one box.
type Box struct {
	Name    string
	Address string
	Zone    string
	// Start tells this process from earlier ones of the same name.
	Start uint64
	// Incarnation is chosen by the box itself, Start at first; only a higher
	// one clears a suspicion.
	Incarnation uint64
	State       State
	// Wire is the version of messages that this process reads, as it says itself; 0 is not
	// said.
	Wire uint16
}

// Config sets the protocol's times.
type Config struct {
	Self Box
	// Period is the time between two probes.
	Period time.Duration
	// Timeout is how long an answer to a direct probe may take.
	Timeout time.Duration
	// Indirect is how many others are asked to probe for us.
	Indirect int
	// SuspectPeriods is how many periods a suspect has to speak up.
	SuspectPeriods int
	// Updates bounds the items carried on one message.
	Updates int
	// Forget is how long the dead are remembered.
	Forget time.Duration
	// Regions says which region each zone belongs to: most probes stay within the
	// own region.
	Regions locality.Map
	Seed    uint64
}

// Defaults for Config.
const (
	DefaultPeriod         = 500 * time.Millisecond
	DefaultTimeout        = 150 * time.Millisecond
	defaultIndirect       = 3
	defaultSuspectPeriods = 3
	// defaultUpdates lets what is said of a lost zone go round at once; with few it queues.
	defaultUpdates = 16
	defaultForget  = 2 * time.Minute
)

func (c Config) withDefaults() Config {
	if c.Period <= 0 {
		c.Period = DefaultPeriod
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Indirect <= 0 {
		c.Indirect = defaultIndirect
	}
	if c.SuspectPeriods <= 0 {
		c.SuspectPeriods = defaultSuspectPeriods
	}
	if c.Updates <= 0 {
		c.Updates = defaultUpdates
	}
	if c.Forget <= 0 {
		c.Forget = defaultForget
	}
	return c
}

// entry is a box with what the protocol needs beside it.
type entry struct {
	Box
	// since is when the state was entered.
	since time.Time
	// told is how often this word was passed on.
	told int
}

// probe is the probe under way.
type probe struct {
	target   string
	sequence uint64
	sent     time.Time
	indirect bool
	answered bool
}

// Message is what boxes say to each other about each other.
type Message struct {
	Kind MessageKind
	// Sequence matches an answer to its probe.
	Sequence uint64
	// For is whose behalf an indirect probe or answer is on; empty is none.
	For string
	// Target is the box to probe in a request.
	Target  string
	Updates []Box
	// Total is how many boxes the messages of one Sync tell together; 0 is those of this
	// message.
	Total int
	// Digest, with a SyncRequest, stands for all that its sender knows; 0 is not said. Who
	// knows the same does not answer.
	Digest uint64
}

// MessageKind tells the messages apart.
type MessageKind uint8

// The kinds of Message.
const (
	Ping MessageKind = iota + 1
	Ack
	PingRequest
	// SyncRequest asks for all that a box knows; a box that starts sends it.
	SyncRequest
	// Sync is the answer to it.
	Sync
)

// Send is a message and where it goes.
type Send struct {
	To string
	// Address is where that box is, for one that the view does not have yet.
	Address string
	Message Message
}

// View is one box's view; one goroutine owns it.
type View struct {
	cfg      Config
	random   *rand.Rand
	boxes    map[string]*entry
	order    []string
	turn     int
	probe    probe
	sequence uint64
	relays   map[uint64]relay
	last     time.Time
	// distrust is until when this box does not trust its own judgement.
	distrust time.Time
	changed  bool
	leaving  bool
	// denied tells that others thought this box dead.
	denied bool
	// syncing asks others for all that they know, after a start.
	syncing syncing
	// measured is the round trip of the latest probe that was answered directly.
	measured RoundTrip
}

// RoundTrip is how long a probe of another box took, there and back.
type RoundTrip struct {
	Box  string
	Took time.Duration
}

// relay remembers whom an indirect probe is for.
type relay struct {
	to       string
	sequence uint64
	at       time.Time
}

// New makes the view of a box that knows only itself.
func New(cfg Config, now time.Time) *View {
	cfg = cfg.withDefaults()
	v := &View{
		cfg:    cfg,
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5bd1e995)),
		boxes:  make(map[string]*entry),
		relays: make(map[uint64]relay),
		last:   now,
	}
	v.boxes[cfg.Self.Name] = &entry{Box: cfg.Self, since: now}
	return v
}

// Self is what this box says of itself.
func (v *View) Self() Box {
	return v.boxes[v.cfg.Self.Name].Box
}

// Changed says whether the set of boxes with duties has changed since it was
// last asked.
func (v *View) Changed() bool {
	changed := v.changed
	v.changed = false
	return changed
}

// Measured is the round trip of the latest probe that its target answered, once.
func (v *View) Measured() (RoundTrip, bool) {
	out := v.measured
	v.measured = RoundTrip{}
	return out, out.Box != ""
}

// Duty lists the boxes that may have duties, with this one: live and
// suspected ones. They are sorted by name.
func (v *View) Duty() []Box {
	return v.list(func(e *entry) bool { return e.State == Live || e.State == Suspect })
}

// Known lists all boxes that are not dead.
func (v *View) Known() []Box {
	return v.list(func(e *entry) bool { return e.State != Dead })
}

// All lists every box that is remembered.
func (v *View) All() []Box {
	return v.list(func(*entry) bool { return true })
}

func (v *View) list(keep func(*entry) bool) []Box {
	out := make([]Box, 0, len(v.boxes))
	for _, e := range v.boxes {
		if keep(e) {
			out = append(out, e.Box)
		}
	}
	slices.SortFunc(out, func(a, b Box) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// Box finds what is known of a box.
func (v *View) Box(name string) (Box, bool) {
	e, ok := v.boxes[name]
	if !ok {
		return Box{}, false
	}
	return e.Box, true
}

// Distrusts says whether this box has lately noticed a pause of its own.
func (v *View) Distrusts(now time.Time) bool {
	return now.Before(v.distrust)
}

// Introduce takes in a box from the platform's lagging list. The list only
// brings boxes that are not known; what the boxes say themselves counts more.
func (v *View) Introduce(now time.Time, b Box) {
	e, known := v.boxes[b.Name]
	if !known {
		b.Incarnation = 0
		// All boxes read the list, so this is no update to pass on.
		v.boxes[b.Name] = &entry{Box: b, since: now, told: untold}
		v.changed = true
		return
	}
	if e.State == Dead && e.Address != b.Address && b.Name != v.cfg.Self.Name {
		// A box that comes back elsewhere; its own word will follow.
		e.Address, e.State, e.since = b.Address, Live, now
		v.changed = true
	}
}

// Refused takes in the proof that a box's process is gone: its machine
// answered that nothing listens there. That needs no suspicion first.
func (v *View) Refused(now time.Time, name string) {
	e, ok := v.boxes[name]
	if !ok || e.State == Dead || name == v.cfg.Self.Name {
		return
	}
	v.set(now, e, Dead)
}

// Leave makes this box say that it is leaving.
func (v *View) Leave(now time.Time) {
	v.leaving = true
	v.speak(now, Leaving)
}

// speak raises this box's own incarnation with a state.
func (v *View) speak(now time.Time, s State) {
	e := v.boxes[v.cfg.Self.Name]
	e.Incarnation++
	if e.State != s {
		v.changed = true
	}
	e.State, e.since, e.told = s, now, 0
}

// merge takes in one word about a box.
func (v *View) merge(now time.Time, b Box) {
	if b.State > Dead {
		// Of a later build; what it means for duties is not known here.
		return
	}
	if b.Name == v.cfg.Self.Name {
		v.mergeSelf(now, b)
		return
	}
	e, known := v.boxes[b.Name]
	if !known {
		v.boxes[b.Name] = &entry{Box: b, since: now}
		v.changed = true
		return
	}
	newer := b.Incarnation > e.Incarnation
	stronger := b.Incarnation == e.Incarnation && b.State > e.State
	if !newer && !stronger {
		if b.Incarnation == e.Incarnation && b.State == Live && e.State == Live && e.told < untold {
			// Whoever told it knows it, and so do those whom that box has told.
			e.told += heardAgain
		}
		return
	}
	// A box that clears a suspicion raises its incarnation and is the same process
	// as before: nothing has changed for those who are told of changes.
	other := e.Address != b.Address || e.Start != b.Start
	if other || (e.State >= Dead) != (b.State >= Dead) || (e.State == Leaving) != (b.State == Leaving) {
		v.changed = true
	}
	same := e.State == b.State && e.Address == b.Address && e.Start <= b.Start
	e.Box, e.since = b, now
	if !same || b.State != Live {
		e.told = 0
	}
}

const (
	// untold is a count of tellings that nothing reaches.
	untold = 1 << 30
	// heardAgain is for how many tellings it counts that a live box is told of by another:
	// where a whole fleet starts, all would tell all others of all.
	heardAgain = 3
)

// mergeSelf answers a wrong word about this box with a higher incarnation.
func (v *View) mergeSelf(now time.Time, b Box) {
	own := v.boxes[v.cfg.Self.Name]
	if b.Incarnation < own.Incarnation || b.State == own.State && b.Incarnation == own.Incarnation {
		return
	}
	if b.State == Dead {
		v.denied = true
	}
	own.Incarnation = max(own.Incarnation, b.Incarnation)
	state := Live
	if v.leaving {
		state = Leaving
	}
	v.speak(now, state)
}

// Denied says whether others thought this box dead since it was last asked:
// its duties may have gone to another box meanwhile.
func (v *View) Denied() bool {
	denied := v.denied
	v.denied = false
	return denied
}
