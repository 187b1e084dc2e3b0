// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package member runs the membership protocol of a box: one goroutine that
// owns the view, sends its messages and tells others of changes.
package member

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/rank"
)

// Sender sends membership messages. It must not block.
type Sender interface {
	SendMember(to string, m member.Message) ring.Outcome
}

// Platform gives the lagging list of boxes.
type Platform interface {
	Boxes(ctx context.Context) ([]adapter.Box, error)
}

// Config configures the duty.
type Config struct {
	View     member.Config
	Sender   Sender
	Platform Platform
	// Poll is how often the platform's list is read.
	Poll time.Duration
	// OnChange gets the view's boxes after each change; it must not block.
	OnChange func(Snapshot)
	// OnPause is called when this box has noticed a pause of its own, or that
	// others thought it dead.
	OnPause func()
	Log     log.Logger
}

// Snapshot is what others may know of the view.
type Snapshot struct {
	// Duty are the boxes that may have duties, this one included.
	Duty []member.Box
	// All are all boxes that are remembered, the dead included.
	All []member.Box
	// Listed are the entries on the platform's list when it was last read, by
	// name; empty before that.
	Listed map[string]adapter.Box
}

// Box finds a box by name.
func (s Snapshot) Box(name string) (member.Box, bool) {
	for _, b := range s.All {
		if b.Name == name {
			return b, true
		}
	}
	return member.Box{}, false
}

const (
	defaultPoll = 2 * time.Second
	// ticksPerTimeout is how often in a probe's timeout the duty looks.
	ticksPerTimeout = 2
	queueSize       = 1024
	refusedQueue    = 64
)

// incoming is a message from another box.
type incoming struct {
	from string
	m    member.Message
}

// Members runs the protocol.
type Members struct {
	cfg     Config
	queue   *ring.Ring[incoming]
	lists   chan []adapter.Box
	leave   chan struct{}
	refused chan string
	// reread is poked when the list is to be read at once.
	reread   chan struct{}
	snapshot atomic.Pointer[Snapshot]
	delays   atomic.Pointer[locality.Delays]
	listed   listed
	// changed says that the view has changed since it was last published, and
	// publishFrom is when it may be published again.
	changed     bool
	publishFrom time.Time
}

// New makes the duty; Run starts it.
func New(cfg Config) *Members {
	if cfg.Poll <= 0 {
		cfg.Poll = defaultPoll
	}
	m := &Members{
		cfg:   cfg,
		queue: ring.New[incoming](queueSize),
		lists: make(chan []adapter.Box),
		leave: make(chan struct{}, 1),

		refused: make(chan string, refusedQueue),
		reread:  make(chan struct{}, 1),
	}
	m.snapshot.Store(&Snapshot{Duty: []member.Box{cfg.View.Self}, All: []member.Box{cfg.View.Self}})
	m.delays.Store(&locality.Delays{})
	return m
}

// Receive takes a message from another box. A full queue loses it, as a
// network would.
func (m *Members) Receive(from string, message member.Message) ring.Outcome {
	return m.queue.Offer(incoming{from: from, m: message})
}

// Refused takes in the proof that a box's process is gone. One that finds no
// room is found again by the next message to that box.
func (m *Members) Refused(box string) {
	select {
	case m.refused <- box:
	default:
	}
}

// Leave makes this box say that it is leaving.
func (m *Members) Leave() {
	select {
	case m.leave <- struct{}{}:
	default:
	}
}

// Snapshot is the view as of the last change.
func (m *Members) Snapshot() Snapshot {
	return *m.snapshot.Load()
}

// Delays are the round trips to other zones, as this box's own probes found them.
func (m *Members) Delays() locality.Delays {
	return *m.delays.Load()
}

// measure takes in the round trip of a probe, if one has just been answered.
func (m *Members) measure(view *member.View, now time.Time) {
	trip, ok := view.Measured()
	if !ok {
		return
	}
	if b, known := view.Box(trip.Box); known {
		d := m.Delays().With(b.Zone, now, trip.Took)
		m.delays.Store(&d)
	}
}

// Run is the duty. It ends with the context.
func (m *Members) Run(ctx context.Context) error {
	view := member.New(m.cfg.View, time.Now())
	timeout := m.cfg.View.Timeout
	if timeout <= 0 {
		timeout = member.DefaultTimeout
	}
	tick := time.NewTicker(timeout / ticksPerTimeout)
	defer tick.Stop()
	go m.poll(ctx)
	paused := false
	for {
		now := time.Now()
		select {
		case <-ctx.Done():
			return nil
		case in := <-m.queue.C():
			now = time.Now()
			m.send(view.Receive(now, in.from, in.m))
			m.measure(view, now)
		case list := <-m.lists:
			m.introduce(view, now, list)
		case <-m.leave:
			view.Leave(now)
		case name := <-m.refused:
			view.Refused(now, name)
		case <-tick.C:
			m.send(view.Tick(now))
		}
		m.publish(view)
		was := paused
		paused = view.Distrusts(now)
		if paused && !was || view.Denied() {
			m.cfg.Log.Warn("own_pause_noticed")
			m.ReadAgain()
			m.cfg.OnPause()
		}
	}
}

// ReadAgain has the list read at once: the box may have missed what the others said, or be
// missing from it.
func (m *Members) ReadAgain() {
	select {
	case m.reread <- struct{}{}:
	default:
	}
}

func (m *Members) send(out []member.Send) {
	for _, s := range out {
		_ = m.cfg.Sender.SendMember(s.To, s.Message)
	}
}

const (
	// publishShare is the part of the time that publishing may take, and
	// longestPublishPause how long a change may wait for it: a fleet that starts brings
	// a change for each of its boxes within a second, and each one has the homes of
	// all groups worked out anew.
	publishShare        = 0.1
	longestPublishPause = 100 * time.Millisecond
)

// publish tells of a changed view, at once if the last time is long enough ago.
// The next tick publishes what waits.
func (m *Members) publish(view *member.View) {
	m.changed = view.Changed() || m.changed
	begin := time.Now()
	if !m.changed || begin.Before(m.publishFrom) {
		return
	}
	m.changed = false
	defer func() {
		took := time.Since(begin)
		pause := time.Duration(float64(took) / publishShare)
		m.publishFrom = begin.Add(min(pause, longestPublishPause))
	}()
	s := Snapshot{Duty: view.Duty(), All: view.All(), Listed: m.listed.boxes}
	m.snapshot.Store(&s)
	names := make([]string, 0, len(s.Duty))
	for _, b := range s.Duty {
		names = append(names, b.Name)
	}
	m.cfg.Log.WithFields(log.Fields{"duty": len(names), "known": len(s.All)}).Info("members_changed")
	m.cfg.OnChange(s)
}

func (m *Members) introduce(view *member.View, now time.Time, list []adapter.Box) {
	m.listed = m.listed.with(now, m.cfg.View.Self.Name, list)
	for _, b := range list {
		if b.Name == m.cfg.View.Self.Name {
			continue
		}
		view.Introduce(now, member.Box{Name: b.Name, Address: b.Address, Zone: b.Zone, Wire: b.Wire})
	}
	// What was gathered from the list alone goes out with the next change;
	// the names are kept current here.
	s := *m.snapshot.Load()
	s.Listed = m.listed.boxes
	m.snapshot.Store(&s)
}

// poll reads the platform's list from time to time. During an outage the boxes
// go on with what they know of each other.
func (m *Members) poll(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	known, early, pause := 0, mostEarlyReads, time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.reread:
			pause = 0
		}
		call, cancel := context.WithTimeout(ctx, m.cfg.Poll)
		list, err := m.cfg.Platform.Boxes(call)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			m.cfg.Log.WithError(err).Warn("box_list_failed")
		default:
			known = len(list)
			select {
			case m.lists <- list:
			case <-ctx.Done():
				return
			}
		}
		if early > 0 && !m.listsSelf(list) {
			early--
			timer.Reset(min(earlyRead, m.cfg.Poll))
			continue
		}
		pause = pollPause(m.cfg.Poll, pause, known, m.checks(), m.listsSelf(list))
		timer.Reset(pause)
	}
}

// pollPause is how long after one reading of the list the next follows. All boxes together
// read it at the rate of a small fleet. Who lives is told by membership, so that the list is
// checked by a few, and by the others less and less often: each reading has all boxes in it.
// One that does not find itself reads again sooner: the list lags behind its entry.
func pollPause(poll, before time.Duration, known int, checks, listed bool) time.Duration {
	first := poll * time.Duration(1+known/pollFleet)
	switch {
	case !listed:
		return min(max(2*before, poll), first)
	case checks || before < first:
		return first
	default:
		return min(2*before, longestPolls*first)
	}
}

const (
	// checkers is how many boxes check the list for all.
	checkers = 3
	// longestPolls is how many times longer the others' pauses become.
	longestPolls = 32
	// CheckKey orders the boxes for that, and for who takes dead ones off the list: its
	// first box has to know it as it is.
	CheckKey = "registry"
)

// checks says whether this box checks the list for all. One that knows no other does.
func (m *Members) checks() bool {
	duty := m.Snapshot().Duty
	names := make([]string, 0, len(duty))
	for _, b := range duty {
		names = append(names, b.Name)
	}
	return len(names) <= 1 || slices.Contains(rank.Of(names).First(CheckKey, checkers), m.cfg.View.Self.Name)
}

// Boxes of a fleet that starts for the first time read an empty list and join it. A box
// that does not find itself there reads again soon, so that it learns of the others:
// until then it takes itself for the home of every account and gives out its whole quota.
const (
	earlyRead      = 200 * time.Millisecond
	mostEarlyReads = 3
)

// listsSelf says whether this box stands on a list.
func (m *Members) listsSelf(list []adapter.Box) bool {
	return slices.ContainsFunc(list, func(b adapter.Box) bool { return b.Name == m.cfg.View.Self.Name })
}

// pollFleet is the fleet size up to which each box reads the list every Poll.
const pollFleet = 20
