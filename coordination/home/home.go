// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package home runs the groups that this box is home of. A group's home is
// one live box, chosen by rendezvous hashing, that counts the group's slots,
// memory and links and answers the other boxes' questions in one round trip.
// What it knows is soft: engines enforce their own limits, so a home that is
// wrong or doubled costs refused orders, never a wrong answer.
package home

import (
	"context"
	"sync/atomic"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/health"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// Body is what a box tells a home: schedule.Ask, schedule.Adopted,
// schedule.Report, Prefilled, Withdrawn or Limits; and what the home's own watch of
// its engines tells it: schedule.Load or Evicted.
type Body any

// Prefilled tells that a prefill is done.
type Prefilled struct {
	ID       lifecycle.AttemptID
	Computed int
	Worked   time.Duration
}

// Withdrawn takes an ask back.
type Withdrawn struct {
	ID lifecycle.AttemptID
}

// Limits tells what a box knows of limits that endpoints of the group name.
type Limits struct {
	Of []schedule.EngineLimit
}

// Command is one message to a home.
type Command struct {
	// From is the box that speaks.
	From  string
	Group string
	Body  Body
}

// Answerer takes decisions and questions to other boxes.
type Answerer interface {
	// Answer takes a decision back to the box that asked.
	Answer(box, group string, d schedule.Decision)
	// Check asks a box which of its attempts are over. Engine, if not empty,
	// is where memory is held for them.
	Check(box, group, engine string, ids []lifecycle.AttemptID)
	// HomeOf names the home of a group as this box sees it.
	HomeOf(group string) string
}

// StageChanges are planned changes of the stages of a group's engines.
type StageChanges struct {
	Group string
	// Prefills are the engines that prefill as far as the home knows, and Wanted is
	// how many should. Engines that an earlier home ordered may be among them.
	Prefills []string
	Wanted   int
	// ToDecode and ToPrefill are the engines to order, the best first.
	ToDecode, ToPrefill []string
}

// Stages carries out changes of stages. Calls must not block.
type Stages interface {
	// Part is the pinned part of the engines that prefill, 0 if none is, and
	// whether stages are planned at all.
	Part() (part float64, planned bool)
	Offer(c StageChanges) ring.Outcome
}

// StageRefused tells a group that an engine does not change after all.
type StageRefused struct {
	Engine string
}

// StageChanging tells a group that an engine changes by an order of an earlier home.
type StageChanging struct {
	Engine string
}

// Config configures the duty.
type Config struct {
	// Self is this box's name.
	Self    string
	Answers Answerer
	// Watch, if set, is told which engines to watch for a group that this box
	// is home of; no engines ends the watch.
	Watch func(group string, engines []table.Endpoint)
	// Stages, if set, is told of the changes of stages that are planned for groups
	// that this box is home of.
	Stages Stages
	// ColdBound bounds what cold endpoints get; SetColdBound replaces it.
	ColdBound pace.Bound
	// Standing, if set, is this box's part in a group that it may be home of. Without
	// it cold endpoints are not bounded, and limits that endpoints name are granted whole.
	Standing func(group string) pace.Standing
	// Metrics, if set, counts what cold endpoints, and those that name a limit, get.
	Metrics Metrics
	Policy  schedule.Policy
	Health  health.Config
	// QueueSize bounds the commands that wait for the duty.
	QueueSize int
	Log       log.Logger
	// Seed makes jitter differ between boxes.
	Seed uint64
}

const (
	// tickEvery is how often waiting requests are looked at again, and idleEvery how
	// often the duty wakes while none waits: most boxes of a large fleet are idle, and
	// a wake-up costs as much there as here.
	tickEvery = 5 * time.Millisecond
	idleEvery = 200 * time.Millisecond
	// checkEvery is how often boxes are asked about old grants: a report that was
	// lost must not keep a slot forever. Those of model requests are old at
	// oldGrant, longer than most answers take; those of plain ones at oldPlain,
	// some ten times what they take: where homes moved to and fro, a third of an
	// overloaded service's slots was lost for six seconds.
	checkEvery = time.Second
	oldGrant   = 5 * time.Second
	oldPlain   = time.Second
	// defaultQueue is used where the config says 0.
	defaultQueue = 4096
)

// Homes runs all groups of one box in one goroutine.
type Homes struct {
	cfg      Config
	commands *ring.Ring[Command]
	changes  chan group.Groups
	live     *ring.Ring[struct{}]
	lost     atomic.Pointer[Lost]
	paused   *ring.Ring[struct{}]
	leaving  atomic.Bool
	checked  time.Time
	planned  time.Time
	plans    atomic.Pointer[[]StagePlan]
	known    group.Groups
	groups   map[string]*running
	start    time.Time
	cold     coldDuty
	limits   atomic.Pointer[[]LimitedEndpoint]
}

// running is a group that this box is home of.
type running struct {
	*schedule.Group
	// spec is what the group was last configured by.
	spec *table.Group
	// needed is when this box was last seen to be its home, or to have a request of it.
	needed time.Time
}

// New makes the duty; Run starts it.
func New(cfg Config) *Homes {
	if cfg.QueueSize <= 0 {
		cfg.QueueSize = defaultQueue
	}
	h := &Homes{
		cfg:      cfg,
		commands: ring.New[Command](cfg.QueueSize),
		changes:  make(chan group.Groups, 1),
		live:     ring.New[struct{}](1),
		paused:   ring.New[struct{}](1),
		groups:   make(map[string]*running),
		start:    time.Now(),
	}
	h.SetColdBound(cfg.ColdBound)
	return h
}

// Offer hands a command to the duty.
func (h *Homes) Offer(c Command) ring.Outcome {
	return h.commands.Offer(c)
}

// SetGroups hands changed groups to the duty; only the newest count.
func (h *Homes) SetGroups(g group.Groups) {
	for {
		select {
		case h.changes <- g:
			return
		default:
		}
		select {
		case <-h.changes:
		default:
		}
	}
}

// Lost is what this box knows of processes that are no more.
type Lost struct {
	// Dead are the boxes that are dead as far as this one knows. If one of them
	// does live, its holds show in the engines' reports.
	Dead []string
	// Starts are the incarnations of the others' processes; earlier ones under
	// the same name are over.
	Starts map[string]uint64
}

// LiveChanged tells that the set of boxes with duties has changed, and which
// processes are no more: their grants come free.
func (h *Homes) LiveChanged(l Lost) {
	h.lost.Store(&l)
	// One that waits already says the same.
	_ = h.live.Offer(struct{}{})
}

// Leave makes the duty take no new asks; whoever asks goes to another box.
func (h *Homes) Leave() { h.leaving.Store(true) }

// Paused tells that this box stood still: what it knows may be out of date.
func (h *Homes) Paused() {
	_ = h.paused.Offer(struct{}{})
}

// Run is the duty. It ends with the context.
func (h *Homes) Run(ctx context.Context) error {
	every := idleEvery
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		if next := h.tickIn(); next != every {
			every = next
			tick.Reset(every)
		}
		select {
		case <-ctx.Done():
			return nil
		case g := <-h.changes:
			h.configure(g)
		case c := <-h.commands.C():
			h.takeGroups()
			h.handle(c)
		case <-h.live.C():
			h.forgetLost()
		case <-h.paused.C():
			h.cold.resumed = time.Now()
			h.check(0, 0)
		case <-tick.C:
			h.tick()
		}
	}
}

// tickIn is after how long the duty looks again by itself.
func (h *Homes) tickIn() time.Duration {
	for _, g := range h.groups {
		if g.Pending() > 0 {
			return tickEvery
		}
	}
	return idleEvery
}

// takeGroups puts groups that wait into force: they were set before the command that
// comes next was handed over, or while it waited. By chance it came first else, and the
// first requests after a start were refused for want of endpoints.
func (h *Homes) takeGroups() {
	select {
	case g := <-h.changes:
		h.configure(g)
	default:
	}
}

func (h *Homes) handle(c Command) {
	now := time.Now()
	h.cold.noteRuns(now)
	if a, ask := c.Body.(schedule.Ask); ask && h.leaving.Load() {
		h.cfg.Answers.Answer(a.Box, c.Group, schedule.Refuse{Ask: a, Reason: lifecycle.ReasonMoved, RetryAfter: time.Second})
		return
	}
	g := h.groups[c.Group]
	switch c.Body.(type) {
	case schedule.Ask, schedule.Adopted:
		g = h.group(c.Group)
	}
	if g == nil {
		h.unknownGroup(c)
		return
	}
	switch body := c.Body.(type) {
	case schedule.Ask:
		h.nameLimits(now, c, g, body.Limits)
		h.answer(c.Group, g.Ask(now, body))
	case schedule.Adopted:
		h.nameLimits(now, c, g, body.Ask.Limits)
		g.Adopt(now, body)
	case Limits:
		h.nameLimits(now, c, g, body.Of)
	case Prefilled:
		h.answer(c.Group, g.Prefilled(now, body.ID, body.Computed, body.Worked))
	case schedule.Report:
		h.answer(c.Group, g.Done(now, body))
		h.logEjections(c.Group, g)
	case Withdrawn:
		h.answer(c.Group, g.Withdraw(now, body.ID))
	case schedule.Load:
		g.Report(body)
	case StageRefused:
		g.Unchanged(body.Engine)
	case StageChanging:
		g.Change(now, body.Engine, h.changeTime(g))
	case Evicted:
		h.evicted(g, body)
	}
}

// Evicted is a page of an engine's cache events.
type Evicted struct {
	Engine string
	Marks  []uint64
	// Gap says that events were lost, so nothing known of the cache counts.
	Gap bool
}

func (h *Homes) evicted(g *running, e Evicted) {
	if e.Gap {
		g.Restarted(e.Engine)
		return
	}
	for _, m := range e.Marks {
		g.Evicted(e.Engine, m)
	}
}

func (h *Homes) tick() {
	now := time.Now()
	h.cold.noteRuns(now)
	for key, g := range h.groups {
		if g.Pending() > 0 {
			h.answer(key, g.Tick(now))
		}
	}
	if now.Sub(h.checked) >= checkEvery {
		h.checked = now
		h.retire(now)
		h.check(oldGrant, oldPlain)
		h.reportCold(now)
		h.reportLimits(now)
	}
	if now.Sub(h.planned) >= planEvery {
		h.planned = now
		h.planStages(now)
	}
}

// check asks the boxes about grants of at least an age, that of model requests
// or that of plain ones.
func (h *Homes) check(model, plain time.Duration) {
	now := time.Now()
	for key, g := range h.groups {
		age := model
		if g.Plain() {
			age = plain
		}
		for box, ids := range g.Old(now, age) {
			h.cfg.Answers.Check(box, key, "", ids)
		}
	}
}
