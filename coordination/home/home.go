// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package home runs the groups that this box is home of. A group's home is one live box,
// chosen by rendezvous hashing, that accounts for the group's slots, memory and links and
// answers the questions of the other boxes in one round trip. Its state is soft: engines
// enforce their own limits, so a home that is wrong, or two homes of one group, lead to
// orders that engines refuse, never to a wrong answer.
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

// Body is the content of a Command. Boxes send schedule.Ask, schedule.Adopted,
// schedule.Report, Prefilled, Withdrawn or Limits; the home's own watch of its engines
// sends schedule.LoadReport or Evicted; the stage keeper sends StageRefused or StageChanging.
type Body any

// Prefilled reports that the prefill of an attempt is done.
type Prefilled struct {
	ID       lifecycle.AttemptID
	Computed int
	Worked   time.Duration
}

// Withdrawn withdraws an ask.
type Withdrawn struct {
	ID lifecycle.AttemptID
}

// Limits carries the limits that endpoints of the group name, as far as the sending box
// knows.
type Limits struct {
	Of []schedule.EngineLimit
}

// Command is one message to a home.
type Command struct {
	// From is the box that sent the command.
	From  string
	Group string
	Body  Body
}

// Answerer sends decisions and questions to other boxes.
type Answerer interface {
	// Answer sends a decision to the box that asked.
	Answer(box, group string, d schedule.Decision)
	// CheckAttempts asks a box which of its attempts are over. Engine, if not empty, is the engine
	// that holds memory for them.
	CheckAttempts(box, group, engine string, ids []lifecycle.AttemptID)
	// HomeOf returns the home of a group as this box sees it.
	HomeOf(group string) string
}

// StageChanges are planned changes of the stages of a group's engines.
type StageChanges struct {
	Group string
	// Prefills are the engines that prefill as far as the home knows, and Wanted is how
	// many should. They may include engines that an earlier home has ordered to change.
	Prefills []string
	Wanted   int
	// ToDecode and ToPrefill are the engines to order, the best first.
	ToDecode, ToPrefill []string
}

// Stages carries out stage changes. Calls must not block.
type Stages interface {
	// Part returns the pinned share of engines that prefill, 0 if none is pinned, and
	// whether stages are planned at all.
	Part() (part float64, planned bool)
	Offer(c StageChanges) ring.Outcome
}

// StageRefused reports that an engine does not change its stage after all.
type StageRefused struct {
	Engine string
}

// StageChanging reports that an engine is changing its stage by an order of an earlier
// home.
type StageChanging struct {
	Engine string
}

// Config configures Homes.
type Config struct {
	// Self is this box's name.
	Self    string
	Answers Answerer
	// Watch, if set, is called with the engines to watch for a group that this box is home
	// of; no engines ends the watch.
	Watch func(group string, engines []table.Endpoint)
	// Stages, if set, receives the stage changes that are planned for groups that this box
	// is home of.
	Stages Stages
	// ColdBound bounds the grants to cold endpoints; SetColdBound replaces it.
	ColdBound pace.Bound
	// Standing, if set, returns this box's standing in a group that it may be home of.
	// Without it, grants to cold endpoints are not bounded, and limits that endpoints name
	// are granted in full.
	Standing func(group string) pace.Standing
	// Metrics, if set, counts grants and refusals for endpoints that are cold or name a
	// limit.
	Metrics Metrics
	Policy  schedule.Policy
	Health  health.Config
	// QueueSize bounds the queue of commands; 0 means defaultQueue.
	QueueSize int
	Log       log.Logger
	// Seed makes jitter differ between boxes.
	Seed uint64
}

const (
	// tickEvery is how often the loop looks at pending requests, and idleEvery how often it
	// wakes while there are none: most boxes of a large fleet are idle, and a wake-up costs
	// as much there as on a busy one.
	tickEvery = 5 * time.Millisecond
	idleEvery = 200 * time.Millisecond
	// checkEvery is how often boxes are asked about old grants: a lost report must not keep
	// a slot forever. Grants of model requests are old at oldGrant, longer than most
	// answers take, and those of plain ones at oldPlain, some ten times what they take:
	// where homes moved back and forth, a third of an overloaded service's slots was lost
	// for six seconds.
	checkEvery = time.Second
	oldGrant   = 5 * time.Second
	oldPlain   = time.Second
	// defaultQueue is used where the config says 0.
	defaultQueue = 4096
)

// Homes runs all groups of one box in one goroutine.
type Homes struct {
	cfg         Config
	commands    *ring.Ring[Command]
	changes     chan group.Groups
	liveChanged *ring.Ring[struct{}]
	lost        atomic.Pointer[LostProcesses]
	paused      *ring.Ring[struct{}]
	leaving     atomic.Bool
	lastCheck   time.Time
	lastPlan    time.Time
	plans       atomic.Pointer[[]StagePlan]
	known       group.Groups
	groups      map[string]*runningGroup
	start       time.Time
	cold        coldState
	limits      atomic.Pointer[[]LimitedEndpoint]
}

// runningGroup is a group that this box is home of.
type runningGroup struct {
	*schedule.Group
	// spec is the specification that the group was last configured with.
	spec *table.Group
	// lastNeeded is when this box was last seen to be its home, or the group last had
	// requests.
	lastNeeded time.Time
}

// New returns Homes that run no groups yet; Run starts the loop.
func New(cfg Config) *Homes {
	if cfg.QueueSize <= 0 {
		cfg.QueueSize = defaultQueue
	}
	h := &Homes{
		cfg:         cfg,
		commands:    ring.New[Command](cfg.QueueSize),
		changes:     make(chan group.Groups, 1),
		liveChanged: ring.New[struct{}](1),
		paused:      ring.New[struct{}](1),
		groups:      make(map[string]*runningGroup),
		start:       time.Now(),
	}
	h.SetColdBound(cfg.ColdBound)
	return h
}

// Offer queues a command for the run loop.
func (h *Homes) Offer(c Command) ring.Outcome {
	return h.commands.Offer(c)
}

// SetGroups passes changed groups to the run loop; only the newest ones are kept.
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

// LostProcesses lists processes that no longer run, as far as this box knows.
type LostProcesses struct {
	// Dead are the boxes that this one takes for dead. If one of them is alive, its holds
	// show up in the engines' reports.
	Dead []string
	// Starts are the current incarnations of the other boxes' processes; earlier processes
	// under the same name are gone.
	Starts map[string]uint64
}

// LiveChanged reports that the set of active boxes has changed, and which processes no
// longer run. Their grants are released.
func (h *Homes) LiveChanged(l LostProcesses) {
	h.lost.Store(&l)
	// A pending signal already covers this change.
	_ = h.liveChanged.Offer(struct{}{})
}

// Leave stops accepting new asks; the boxes that send them go on to another box.
func (h *Homes) Leave() { h.leaving.Store(true) }

// NotePause reports that this process was paused, so its state may be out of date.
func (h *Homes) NotePause() {
	_ = h.paused.Offer(struct{}{})
}

// Run processes commands and changes until the context ends. It always returns nil.
func (h *Homes) Run(ctx context.Context) error {
	every := idleEvery
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		if next := h.tickInterval(); next != every {
			every = next
			tick.Reset(every)
		}
		select {
		case <-ctx.Done():
			return nil
		case g := <-h.changes:
			h.configure(g)
		case c := <-h.commands.C():
			h.applyPendingGroups()
			h.handle(c)
		case <-h.liveChanged.C():
			h.releaseLost()
		case <-h.paused.C():
			h.cold.resumed = time.Now()
			h.check(0, 0)
		case <-tick.C:
			h.tick()
		}
	}
}

// tickInterval returns the interval until the loop next wakes by itself.
func (h *Homes) tickInterval() time.Duration {
	for _, g := range h.groups {
		if g.Pending() > 0 {
			return tickEvery
		}
	}
	return idleEvery
}

// applyPendingGroups applies pending groups before the next command: they were set before
// the command was queued, or while it waited. The select in Run picks at random otherwise,
// and then the first requests after a start were refused for want of endpoints.
func (h *Homes) applyPendingGroups() {
	select {
	case g := <-h.changes:
		h.configure(g)
	default:
	}
}

// handle applies one command to its group.
func (h *Homes) handle(c Command) {
	now := time.Now()
	h.cold.noteStep(now)
	if a, ask := c.Body.(schedule.Ask); ask && h.leaving.Load() {
		h.cfg.Answers.Answer(a.Box, c.Group, schedule.Refusal{Ask: a, Reason: lifecycle.ReasonHomeMoved, RetryAfter: time.Second})
		return
	}
	g := h.groups[c.Group]
	switch c.Body.(type) {
	case schedule.Ask, schedule.Adopted:
		g = h.groupOrStart(c.Group)
	}
	if g == nil {
		h.unknownGroup(c)
		return
	}
	switch body := c.Body.(type) {
	case schedule.Ask:
		h.updateLimits(now, c, g, body.Limits)
		h.answer(c.Group, g.Ask(now, body))
	case schedule.Adopted:
		h.updateLimits(now, c, g, body.Ask.Limits)
		g.Adopt(now, body)
	case Limits:
		h.updateLimits(now, c, g, body.Of)
	case Prefilled:
		h.answer(c.Group, g.Prefilled(now, body.ID, body.Computed, body.Worked))
	case schedule.Report:
		h.answer(c.Group, g.Done(now, body))
		h.logEjections(c.Group, g)
	case Withdrawn:
		h.answer(c.Group, g.Withdraw(now, body.ID))
	case schedule.LoadReport:
		g.Report(body)
	case StageRefused:
		g.CancelStageChange(body.Engine)
	case StageChanging:
		g.BeginStageChange(now, body.Engine, h.maxChangeTime(g))
	case Evicted:
		h.evicted(g, body)
	}
}

// Evicted is a page of an engine's cache events.
type Evicted struct {
	Engine string
	Marks  []uint64
	// Gap reports that events were lost, so all that is known of the cache is discarded.
	Gap bool
}

func (h *Homes) evicted(g *runningGroup, e Evicted) {
	if e.Gap {
		g.Restarted(e.Engine)
		return
	}
	for _, m := range e.Marks {
		g.Evicted(e.Engine, m)
	}
}

// tick does the periodic work.
func (h *Homes) tick() {
	now := time.Now()
	h.cold.noteStep(now)
	for key, g := range h.groups {
		if g.Pending() > 0 {
			h.answer(key, g.Tick(now))
		}
	}
	if now.Sub(h.lastCheck) >= checkEvery {
		h.lastCheck = now
		h.retire(now)
		h.check(oldGrant, oldPlain)
		h.reportCold(now)
		h.reportLimits(now)
	}
	if now.Sub(h.lastPlan) >= planEvery {
		h.lastPlan = now
		h.planStages(now)
	}
}

// check asks the boxes about grants that are at least as old as model for model requests,
// and as plain for plain ones.
func (h *Homes) check(model, plain time.Duration) {
	now := time.Now()
	for key, g := range h.groups {
		age := model
		if g.Plain() {
			age = plain
		}
		for box, ids := range g.GrantedBefore(now, age) {
			h.cfg.Answers.CheckAttempts(box, key, "", ids)
		}
	}
}
