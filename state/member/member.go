// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package member holds one box's view of the other boxes: which are live,
// suspected, dead or leaving. It follows the SWIM protocol (Das, Gupta, Motivala,
// 2002): one probe per period, indirect probes through a few others, suspicion
// before death, and updates piggybacked on the probes. It does no I/O and takes
// the time as an argument.
package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"runridge.example/runridge/state/locality"
)

// State of a box in a view.
type State uint8

// The states of a box. Of two updates with the same incarnation the one with the
// higher state wins.
const (
	Live State = iota
	// Leaving boxes finish the work that they have and get no new duties.
	Leaving
	// Suspect boxes did not answer a probe; they keep their duties for a while.
	Suspect
	// Dead boxes lose their duties. The state does not prove that the process has ended.
	Dead
)

var stateNames = [...]string{"live", "leaving", "suspect", "dead"}

// String returns the state's name.
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
	// Start is the process's start time in Unix milliseconds; it distinguishes the
	// process from earlier ones of the same name. 0 means not known.
	Start uint64
	// Incarnation is chosen by the box itself and begins at Start; only a higher
	// one clears a suspicion.
	Incarnation uint64
	State       State
	// Wire is the version of messages that this process reports to read; 0 means not
	// reported.
	Wire uint16
}

// Config sets the protocol's times.
type Config struct {
	Self Box
	// Period is the time between two probes.
	Period time.Duration
	// Timeout is how long an answer to a direct probe may take.
	Timeout time.Duration
	// Indirect is the number of boxes that are asked to probe a silent box.
	Indirect int
	// SuspectPeriods is the number of periods in which a suspect can refute the
	// suspicion. suspectTime scales it with the size of the fleet.
	SuspectPeriods int
	// Updates is the maximum number of updates about other boxes on one message.
	Updates int
	// ForgetAfter is how long dead boxes are remembered.
	ForgetAfter time.Duration
	// Regions maps zones to regions: most probes stay within this box's region.
	Regions locality.Map
	Seed    uint64
}

// Default values of Config.
const (
	DefaultPeriod         = 500 * time.Millisecond
	DefaultTimeout        = 150 * time.Millisecond
	defaultIndirect       = 3
	defaultSuspectPeriods = 3
	// defaultUpdates is large enough to spread the updates about a lost zone at once;
	// with a smaller value they queue.
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
	if c.ForgetAfter <= 0 {
		c.ForgetAfter = defaultForget
	}
	return c
}

// entry is a box with the protocol's own state about it.
type entry struct {
	Box
	// since is when the state was entered.
	since time.Time
	// sent is the number of messages that carried this update, see updates.
	sent int
}

// probe is the probe in flight; its target is empty if there is none.
type probe struct {
	target   string
	sequence uint64
	sent     time.Time
	indirect bool
	answered bool
}

// Message is what boxes send each other to probe and to spread their views.
type Message struct {
	Kind MessageKind
	// Sequence matches an answer to its probe.
	Sequence uint64
	// For, on an Ack, is the box that answered an indirect probe; empty for a direct one.
	For string
	// Target is the box to probe, on a PingRequest.
	Target  string
	Updates []Box
	// Total is the number of boxes in all messages of one Sync; 0 means those of this
	// message only.
	Total int
	// Digest, on a SyncRequest, is a hash of the sender's view; 0 means none. A box whose
	// view has the same digest does not answer.
	Digest uint64
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of Message.
const (
	Ping MessageKind = iota + 1
	Ack
	PingRequest
	// SyncRequest asks a box for its whole view; boxes send it after their start.
	SyncRequest
	// Sync is one part of the answer to a SyncRequest.
	Sync
)

// Send is a message and its destination.
type Send struct {
	To string
	// Address is the box's address; empty if the view does not know it.
	Address string
	Message Message
}

// View is one box's view of the fleet. It is not safe for concurrent use: one
// goroutine owns it.
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
	// distrustUntil is the time until which this box's own observations do not count,
	// since it was paused.
	distrustUntil time.Time
	changed       bool
	leaving       bool
	// reportedDead is set when another box reported this one as dead.
	reportedDead bool
	// syncing is the state of the requests for other boxes' views after a start.
	syncing syncing
	// measured is the round trip of the latest probe that was answered directly.
	measured RoundTrip
}

// RoundTrip is the time between a probe of another box and its answer.
type RoundTrip struct {
	Box  string
	Took time.Duration
}

// relay is an indirect probe that this box sent for another one.
type relay struct {
	to       string
	sequence uint64
	at       time.Time
}

// New returns the view of a box that knows only itself.
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

// Self returns this box as it describes itself to others.
func (v *View) Self() Box {
	return v.boxes[v.cfg.Self.Name].Box
}

// Changed reports whether the set of boxes with duties has changed since the
// previous call.
func (v *View) Changed() bool {
	changed := v.changed
	v.changed = false
	return changed
}

// Measured returns the round trip of the latest probe that its target answered
// directly. It returns each measurement once, and false if there is no new one.
func (v *View) Measured() (RoundTrip, bool) {
	out := v.measured
	v.measured = RoundTrip{}
	return out, out.Box != ""
}

// DutyCandidates lists the boxes that may have duties, this one included: the live and the
// suspected ones, sorted by name.
func (v *View) DutyCandidates() []Box {
	return v.list(func(e *entry) bool { return e.State == Live || e.State == Suspect })
}

// Known lists all boxes that are not dead, sorted by name.
func (v *View) Known() []Box {
	return v.list(func(e *entry) bool { return e.State != Dead })
}

// All lists every remembered box, sorted by name.
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

// Box returns what the view knows about a box, and false if it knows nothing.
func (v *View) Box(name string) (Box, bool) {
	e, ok := v.boxes[name]
	if !ok {
		return Box{}, false
	}
	return e.Box, true
}

// PausedRecently reports whether this box was paused recently, so that its
// observations of others do not count.
func (v *View) PausedRecently(now time.Time) bool {
	return now.Before(v.distrustUntil)
}

// AddListed adds a box from the platform's list, which lags behind. It adds only
// boxes that are not known yet or that return at another address: what boxes
// report about themselves takes precedence.
func (v *View) AddListed(now time.Time, b Box) {
	e, known := v.boxes[b.Name]
	if !known {
		b.Incarnation = 0
		// All boxes read the list, so the update is not spread further.
		v.boxes[b.Name] = &entry{Box: b, since: now, sent: neverSpread}
		v.changed = true
		return
	}
	if e.State == Dead && e.Address != b.Address && b.Name != v.cfg.Self.Name {
		// The box is back at another address; its own update will follow.
		e.Address, e.State, e.since = b.Address, Live, now
		v.changed = true
	}
}

// ConnectionRefused marks a box as dead after its machine refused a connection: this proves
// that the process is gone, so no suspicion has to come first.
func (v *View) ConnectionRefused(now time.Time, name string) {
	e, ok := v.boxes[name]
	if !ok || e.State == Dead || name == v.cfg.Self.Name {
		return
	}
	v.set(now, e, Dead)
}

// Leave makes this box announce that it is leaving.
func (v *View) Leave(now time.Time) {
	v.leaving = true
	v.announceSelf(now, Leaving)
}

// announceSelf sets this box's own state under a higher incarnation, to be spread
// to the others.
func (v *View) announceSelf(now time.Time, s State) {
	e := v.boxes[v.cfg.Self.Name]
	e.Incarnation++
	if e.State != s {
		v.changed = true
	}
	e.State, e.since, e.sent = s, now, 0
}

// merge applies one update about a box.
func (v *View) merge(now time.Time, b Box) {
	if b.State > Dead {
		// The state is of a later build; what it means for duties is unknown here.
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
	higherState := b.Incarnation == e.Incarnation && b.State > e.State
	if !newer && !higherState {
		if b.Incarnation == e.Incarnation && b.State == Live && e.State == Live && e.sent < neverSpread {
			// The sender knows the update, and so do the boxes it has sent it to.
			e.sent += receivedAgain
		}
		return
	}
	// A box that clears a suspicion raises its incarnation but is the same process
	// as before, so this is no change for the users of Changed.
	otherProcess := e.Address != b.Address || e.Start != b.Start
	if otherProcess || (e.State >= Dead) != (b.State >= Dead) || (e.State == Leaving) != (b.State == Leaving) {
		v.changed = true
	}
	unchanged := e.State == b.State && e.Address == b.Address && e.Start <= b.Start
	e.Box, e.since = b, now
	if !unchanged || b.State != Live {
		e.sent = 0
	}
}

const (
	// neverSpread is a value of sent above every limit: the update is not sent on.
	neverSpread = 1 << 30
	// receivedAgain is how many sent messages it counts for when another box reports the
	// same live box again. Without it, in a fleet that starts at once, every box would
	// send the updates about all boxes to all others.
	receivedAgain = 3
)

// mergeSelf refutes a wrong update about this box with a higher incarnation.
func (v *View) mergeSelf(now time.Time, b Box) {
	own := v.boxes[v.cfg.Self.Name]
	if b.Incarnation < own.Incarnation || b.State == own.State && b.Incarnation == own.Incarnation {
		return
	}
	if b.State == Dead {
		v.reportedDead = true
	}
	own.Incarnation = max(own.Incarnation, b.Incarnation)
	state := Live
	if v.leaving {
		state = Leaving
	}
	v.announceSelf(now, state)
}

// ReportedDead reports whether others took this box for dead since the previous call:
// its duties may have been given to another box meanwhile.
func (v *View) ReportedDead() bool {
	denied := v.reportedDead
	v.reportedDead = false
	return denied
}
