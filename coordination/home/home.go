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

	"github.com/cespare/xxhash/v2"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/health"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// Body is what a box tells a home: schedule.Ask, schedule.Adopted,
// schedule.Report, Prefilled or Withdrawn; and what the home's own watch of
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

// Config configures the duty.
type Config struct {
	// Self is this box's name.
	Self    string
	Answers Answerer
	// Watch, if set, is told which engines to watch for a group that this box
	// is home of; no engines ends the watch.
	Watch  func(group string, engines []table.Endpoint)
	Policy schedule.Policy
	Health health.Config
	// QueueSize bounds the commands that wait for the duty.
	QueueSize int
	Log       log.Logger
	// Seed makes jitter differ between boxes.
	Seed uint64
}

const (
	// tickEvery is how often waiting requests are looked at again.
	tickEvery = 5 * time.Millisecond
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
	known    group.Groups
	groups   map[string]*running
	start    time.Time
}

// running is a group that this box is home of.
type running struct {
	*schedule.Group
	// spec is what the group was last configured by.
	spec *table.Group
}

// New makes the duty; Run starts it.
func New(cfg Config) *Homes {
	if cfg.QueueSize <= 0 {
		cfg.QueueSize = defaultQueue
	}
	return &Homes{
		cfg:      cfg,
		commands: ring.New[Command](cfg.QueueSize),
		changes:  make(chan group.Groups, 1),
		live:     ring.New[struct{}](1),
		paused:   ring.New[struct{}](1),
		groups:   make(map[string]*running),
		start:    time.Now(),
	}
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
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case g := <-h.changes:
			h.configure(g)
		case c := <-h.commands.C():
			h.handle(c)
		case <-h.live.C():
			h.retire()
		case <-h.paused.C():
			h.check(0, 0)
		case <-tick.C:
			h.tick()
		}
	}
}

// configure takes changed groups over into those that run here. Those whose
// endpoints are the same under the same table are left as they are.
func (h *Homes) configure(known group.Groups) {
	if known.Table().Generation < h.known.Table().Generation {
		return
	}
	sameTable := known.Table().Generation == h.known.Table().Generation
	h.known = known
	now := time.Now()
	for key, g := range h.groups {
		spec, ok := known.Get(key)
		if !ok {
			h.drop(key, g, lifecycle.ReasonRouteRemoved)
			continue
		}
		if sameTable && spec == g.spec {
			continue
		}
		g.spec = spec
		h.answer(key, g.Configure(now, h.groupConfig(spec)))
		h.watch(key, spec)
	}
}

// watch names a group's engines to the watch.
func (h *Homes) watch(key string, spec *table.Group) {
	if h.cfg.Watch == nil {
		return
	}
	engines := make([]table.Endpoint, 0, len(spec.Members))
	for _, m := range spec.Members {
		if m.Model {
			engines = append(engines, m.Endpoint)
		}
	}
	h.cfg.Watch(key, engines)
}

// drop gives a group up and tells those who wait in it.
func (h *Homes) drop(key string, g *running, reason lifecycle.Reason) {
	for _, a := range g.Waiters() {
		h.cfg.Answers.Answer(a.Box, key, schedule.Refuse{Ask: a, Reason: reason, RetryAfter: time.Second})
	}
	delete(h.groups, key)
	if h.cfg.Watch != nil {
		h.cfg.Watch(key, nil)
	}
	h.cfg.Log.WithFields(log.Fields{"group": key, log.FieldReason: string(reason)}).Info("home_ended")
}

// retire gives up the groups that have another home now. The boxes tell that
// one of their grants and ask it again.
func (h *Homes) retire() {
	for key, g := range h.groups {
		if h.cfg.Answers.HomeOf(key) != h.cfg.Self {
			h.drop(key, g, lifecycle.ReasonMoved)
		}
	}
	lost := h.lost.Load()
	for _, box := range lost.Dead {
		h.dropBox(box)
	}
	for box, start := range lost.Starts {
		h.dropBefore(box, start)
	}
}

// group finds a group or starts it: the first question makes this box its home.
func (h *Homes) group(key string) *running {
	if g, ok := h.groups[key]; ok {
		return g
	}
	spec, ok := h.known.Get(key)
	if !ok {
		return nil
	}
	cfg := h.groupConfig(spec)
	cfg.Cautious = h.cfg.Watch != nil
	g := &running{Group: schedule.New(cfg, h.start), spec: spec}
	h.groups[key] = g
	h.watch(key, spec)
	h.cfg.Log.WithFields(log.Fields{"group": key, log.FieldGeneration: h.known.Table().Generation}).Info("home_started")
	return g
}

func (h *Homes) groupConfig(spec *table.Group) schedule.Config {
	t := h.known.Table()
	s, _ := t.Service(spec.Service)
	weights := make(map[string]table.Account, len(t.Accounts))
	for _, a := range t.Accounts {
		weights[a.Name] = a
	}
	return schedule.Config{
		Targets:       targets(s),
		Engines:       engineSpecs(spec),
		LinkRate:      t.LinkRate,
		AccountWeight: func(name string) int { return weights[name].Weight },
		AccountLimit:  func(name string) int { return weights[name].MaxInFlight },
		Growing:       s.Engine != nil,
		Plain:         s.Kind == table.KindPlain,
		Policy:        h.cfg.Policy,
		Health:        h.cfg.Health,
		Seed:          h.cfg.Seed + xxhash.Sum64String(spec.Key),
	}
}

// plainWait is how long a call to a plain service may wait for a slot if the
// table says nothing.
const plainWait = 5 * time.Second

func targets(s table.Service) schedule.Targets {
	out := schedule.Targets{
		FirstToken:      time.Duration(s.FirstTokenMS) * time.Millisecond,
		FirstTokenPer1K: time.Duration(s.FirstTokenMSPer1K) * time.Millisecond,
		PerToken:        time.Duration(s.PerTokenMS) * time.Millisecond,
		WasteWeight:     s.WasteWeight,
	}
	if s.Kind == table.KindPlain {
		// A plain call has no tokens; its slot is all that is scheduled.
		out.FirstToken = max(out.FirstToken, plainWait)
		out.PerToken = plainWait
	}
	return out
}

// plainRate makes a plain call's prefill cost nothing.
const plainRate = 1e12

func engineSpecs(spec *table.Group) []schedule.EngineSpec {
	out := make([]schedule.EngineSpec, 0, len(spec.Members))
	for _, m := range spec.Members {
		e := m.Endpoint
		rate := float64(e.PrefillTokensPerSecond)
		if !m.Model {
			rate = plainRate
		}
		out = append(out, schedule.EngineSpec{
			Name:            e.Name,
			Zone:            e.Zone,
			Prefill:         m.Prefill,
			Decode:          m.Decode,
			Slots:           m.Holds,
			KVTokens:        e.KVTokens,
			PrefillRate:     rate,
			StepBase:        time.Duration(e.StepBaseUS) * time.Microsecond,
			StepPer:         time.Duration(e.StepPerRequestUS) * time.Microsecond,
			KVBytesPerToken: e.KVBytesPerToken,
			Leaving:         e.Leaving,
			Weight:          m.Weight,
		})
	}
	return out
}

func (h *Homes) handle(c Command) {
	now := time.Now()
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
		h.answer(c.Group, g.Ask(now, body))
	case schedule.Adopted:
		g.Adopt(now, body)
	case Prefilled:
		h.answer(c.Group, g.Prefilled(now, body.ID, body.Computed, body.Worked))
	case schedule.Report:
		h.answer(c.Group, g.Done(now, body))
		h.logEjections(c.Group, g)
	case Withdrawn:
		h.answer(c.Group, g.Withdraw(now, body.ID))
	case schedule.Load:
		g.Report(body)
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

// unknownGroup refuses an ask for a group that this box's table does not have.
func (h *Homes) unknownGroup(c Command) {
	a, ok := c.Body.(schedule.Ask)
	if !ok {
		return
	}
	h.cfg.Answers.Answer(a.Box, c.Group, schedule.Refuse{
		Ask:        a,
		Reason:     lifecycle.ReasonRouteRemoved,
		RetryAfter: time.Second,
	})
}

func (h *Homes) answer(group string, decisions []schedule.Decision) {
	for _, d := range decisions {
		if r, refused := d.(schedule.Refuse); refused {
			h.logRefusal(group, r)
		}
		h.cfg.Answers.Answer(schedule.Asked(d).Box, group, d)
	}
}

// logEjections writes which engines a group has taken out.
func (h *Homes) logEjections(group string, g *running) {
	for _, e := range g.Ejections() {
		h.cfg.Log.WithFields(log.Fields{
			log.FieldEngine: e.Engine,
			"group":         group,
			"for_ms":        e.For.Milliseconds(),
			"unreached":     e.Unreached,
			"results_lost":  e.ResultsLost,
			"others_out":    e.OthersOut,
			"others":        e.Others,
		}).Info("engine_ejected")
	}
}

// logRefusal writes what a refusal was decided by.
func (h *Homes) logRefusal(group string, r schedule.Refuse) {
	h.cfg.Log.WithFields(log.Fields{
		log.FieldAsk:        r.Ask.ID.String(),
		log.FieldReason:     string(r.Reason),
		log.FieldGeneration: h.known.Table().Generation,
		"group":             group,
		"waiting":           r.Seen.Waiting,
		"granted":           r.Seen.Granted,
		"free_slots":        r.Seen.FreeSlots,
		"idle_ms":           r.Seen.Idle.Milliseconds(),
		"wait_ms":           r.Seen.Wait.Milliseconds(),
		"left_ms":           r.Seen.Left.Milliseconds(),
		"retry_ms":          r.RetryAfter.Milliseconds(),
		"spill":             r.Ask.Spill,
		"late":              r.Ask.Late,
		"age_ms":            r.Ask.Waited.Milliseconds(),
	}).Info("home_refused")
}

func (h *Homes) dropBox(box string) {
	for key, g := range h.groups {
		h.answer(key, g.DropBox(time.Now(), box))
	}
}

func (h *Homes) dropBefore(box string, start uint64) {
	for key, g := range h.groups {
		h.answer(key, g.DropBefore(time.Now(), box, start))
	}
}

func (h *Homes) tick() {
	now := time.Now()
	for key, g := range h.groups {
		if g.Waiting() > 0 {
			h.answer(key, g.Tick(now))
		}
	}
	if now.Sub(h.checked) >= checkEvery {
		h.checked = now
		h.check(oldGrant, oldPlain)
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
