// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package member runs the membership protocol of a box: one goroutine owns the view, sends
// its messages and publishes its changes.
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

// Platform provides the list of boxes, which lags behind their writes.
type Platform interface {
	Boxes(ctx context.Context) ([]adapter.Box, error)
}

// Config configures a Members.
type Config struct {
	View     member.Config
	Sender   Sender
	Platform Platform
	// Poll is the interval between reads of the platform's list in a small fleet; 0 is
	// defaultPoll.
	Poll time.Duration
	// OnChange receives the view's boxes after changes; it must not block.
	OnChange func(Snapshot)
	// OnPause is called when this box has noticed that its own process was paused, or that
	// others considered it dead.
	OnPause func()
	Log     log.Logger
}

// Snapshot is the view as published to the rest of the box.
type Snapshot struct {
	// Duty holds the boxes that may have duties, including this one.
	Duty []member.Box
	// All holds all remembered boxes, including dead ones.
	All []member.Box
	// Listed maps a name to its entry on the platform's list as last read; it is nil before
	// the first read.
	Listed map[string]adapter.Box
}

// Box returns the box of a name, and whether it is remembered.
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
	// ticksPerTimeout is the number of ticks of the protocol per probe timeout.
	ticksPerTimeout  = 2
	queueSize        = 1024
	refusedQueueSize = 64
)

// incoming is a message from another box.
type incoming struct {
	from    string
	message member.Message
}

// Members runs the membership protocol.
type Members struct {
	cfg     Config
	queue   *ring.Ring[incoming]
	lists   chan []adapter.Box
	leave   chan struct{}
	refused chan string
	// rereadRequest holds a request to read the list at once.
	rereadRequest chan struct{}
	snapshot      atomic.Pointer[Snapshot]
	delays        atomic.Pointer[locality.Delays]
	listed        listed
	// changed is set if the view has changed since it was last published, and nextPublish is
	// the earliest time to publish it again.
	changed     bool
	nextPublish time.Time
}

// New returns a Members; Run starts it.
func New(cfg Config) *Members {
	if cfg.Poll <= 0 {
		cfg.Poll = defaultPoll
	}
	m := &Members{
		cfg:   cfg,
		queue: ring.New[incoming](queueSize),
		lists: make(chan []adapter.Box),
		leave: make(chan struct{}, 1),

		refused:       make(chan string, refusedQueueSize),
		rereadRequest: make(chan struct{}, 1),
	}
	m.snapshot.Store(&Snapshot{Duty: []member.Box{cfg.View.Self}, All: []member.Box{cfg.View.Self}})
	m.delays.Store(&locality.Delays{})
	return m
}

// Receive queues a message from another box. A full queue drops it, as a network would.
func (m *Members) Receive(from string, message member.Message) ring.Outcome {
	return m.queue.Offer(incoming{from: from, message: message})
}

// Refused reports that a box refused a connection, which proves that its process is gone.
// A report that doesn't fit into the queue is dropped; the next message to that box
// repeats it.
func (m *Members) Refused(box string) {
	select {
	case m.refused <- box:
	default:
	}
}

// Leave makes this box announce that it is leaving.
func (m *Members) Leave() {
	select {
	case m.leave <- struct{}{}:
	default:
	}
}

// Snapshot returns the view as last published.
func (m *Members) Snapshot() Snapshot {
	return *m.snapshot.Load()
}

// Delays returns the round trips to other zones, measured by this box's own probes.
func (m *Members) Delays() locality.Delays {
	return *m.delays.Load()
}

// recordRoundTrip records the round trip of a probe, if one has just been answered.
func (m *Members) recordRoundTrip(view *member.View, now time.Time) {
	trip, ok := view.Measured()
	if !ok {
		return
	}
	if b, known := view.Box(trip.Box); known {
		d := m.Delays().With(b.Zone, now, trip.Took)
		m.delays.Store(&d)
	}
}

// Run runs the protocol until the context ends.
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
			m.send(view.Receive(now, in.from, in.message))
			m.recordRoundTrip(view, now)
		case list := <-m.lists:
			m.applyList(view, now, list)
		case <-m.leave:
			view.Leave(now)
		case name := <-m.refused:
			view.ConnectionRefused(now, name)
		case <-tick.C:
			m.send(view.Tick(now))
		}
		m.publish(view)
		was := paused
		paused = view.PausedRecently(now)
		if paused && !was || view.ReportedDead() {
			m.cfg.Log.Warn("own_pause_noticed")
			m.RereadList()
			m.cfg.OnPause()
		}
	}
}

// RereadList makes the list be read at once: the box may have missed messages, or be
// missing from the list.
func (m *Members) RereadList() {
	select {
	case m.rereadRequest <- struct{}{}:
	default:
	}
}

func (m *Members) send(out []member.Send) {
	for _, s := range out {
		_ = m.cfg.Sender.SendMember(s.To, s.Message)
	}
}

const (
	// publishShare is the share of time that publishing may take, and maxPublishDelay how
	// long a change may wait for it: a starting fleet brings a change for each of its boxes
	// within a second, and each publication recomputes the homes of all groups.
	publishShare    = 0.1
	maxPublishDelay = 100 * time.Millisecond
)

// publish publishes a changed view, or leaves it to a later call if the last publication
// is too recent; each tick calls it again.
func (m *Members) publish(view *member.View) {
	m.changed = view.Changed() || m.changed
	start := time.Now()
	if !m.changed || start.Before(m.nextPublish) {
		return
	}
	m.changed = false
	defer func() {
		took := time.Since(start)
		interval := time.Duration(float64(took) / publishShare)
		m.nextPublish = start.Add(min(interval, maxPublishDelay))
	}()
	s := Snapshot{Duty: view.DutyCandidates(), All: view.All(), Listed: m.listed.boxes}
	m.snapshot.Store(&s)
	names := make([]string, 0, len(s.Duty))
	for _, b := range s.Duty {
		names = append(names, b.Name)
	}
	m.cfg.Log.WithFields(log.Fields{"duty": len(names), "known": len(s.All)}).Info("members_changed")
	m.cfg.OnChange(s)
}

func (m *Members) applyList(view *member.View, now time.Time, list []adapter.Box) {
	m.listed = m.listed.withRead(now, m.cfg.View.Self.Name, list)
	for _, b := range list {
		if b.Name == m.cfg.View.Self.Name {
			continue
		}
		view.AddListed(now, member.Box{Name: b.Name, Address: b.Address, Zone: b.Zone, Wire: b.Wire})
	}
	// Boxes known from the list alone are published with the next change; only the listed
	// entries are updated here.
	s := *m.snapshot.Load()
	s.Listed = m.listed.boxes
	m.snapshot.Store(&s)
}

// poll reads the platform's list repeatedly. During an outage of the platform the boxes
// continue with what they know of each other.
func (m *Members) poll(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	known, earlyReads, interval := 0, maxEarlyReads, time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.rereadRequest:
			interval = 0
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
		if earlyReads > 0 && !m.listsSelf(list) {
			earlyReads--
			timer.Reset(min(earlyReadInterval, m.cfg.Poll))
			continue
		}
		interval = pollInterval(m.cfg.Poll, interval, known, m.isChecker(), m.listsSelf(list))
		timer.Reset(interval)
	}
}

// pollInterval returns the interval between a read of the list and the next one. All boxes
// together read it at the rate of a small fleet. Membership reports which boxes are alive,
// so a few boxes check the list, and the others read it less and less often: each read
// returns all boxes. A box that is missing from the list reads it again sooner, because
// the list lags behind its entry.
func pollInterval(poll, before time.Duration, known int, checks, listed bool) time.Duration {
	first := poll * time.Duration(1+known/pollFleet)
	switch {
	case !listed:
		return min(max(2*before, poll), first)
	case checks || before < first:
		return first
	default:
		return min(2*before, maxPollFactor*first)
	}
}

const (
	// checkers is the number of boxes that check the list for all.
	checkers = 3
	// maxPollFactor bounds by what factor the interval of the other boxes grows.
	maxPollFactor = 32
	// CheckKey is the key of the order from which the checking boxes are taken, and also the
	// box that removes dead ones from the list: the first box in that order needs a current
	// list.
	CheckKey = "registry"
)

// isChecker reports whether this box checks the list for all. A box that knows no other
// does.
func (m *Members) isChecker() bool {
	duty := m.Snapshot().Duty
	names := make([]string, 0, len(duty))
	for _, b := range duty {
		names = append(names, b.Name)
	}
	return len(names) <= 1 || slices.Contains(rank.Of(names).First(CheckKey, checkers), m.cfg.View.Self.Name)
}

// When a fleet starts for the first time, its boxes read an empty list and then join it. A
// box that doesn't find itself on the list reads it again soon, to learn of the others:
// until then it considers itself the home of every account and hands out the account's
// whole quota.
const (
	earlyReadInterval = 200 * time.Millisecond
	maxEarlyReads     = 3
)

// listsSelf reports whether this box is on a list.
func (m *Members) listsSelf(list []adapter.Box) bool {
	return slices.ContainsFunc(list, func(b adapter.Box) bool { return b.Name == m.cfg.View.Self.Name })
}

// pollFleet is the size of a fleet up to which each box reads the list every Poll.
const pollFleet = 20
