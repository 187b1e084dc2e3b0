// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"runridge.example/runridge/state/estimate"
	"runridge.example/runridge/state/health"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/prefix"
	"runridge.example/runridge/state/stages"
)

const (
	// maxPrefillBacklog is how much granted prefill time an engine may have left when it gets
	// another prefill: about the round trip in which the next grant arrives.
	maxPrefillBacklog = 12 * time.Millisecond
	// overduePrefillRemaining is the estimate of the remaining time of a prefill that is
	// overdue.
	overduePrefillRemaining = 5 * time.Millisecond
	// maxPlacementTries is how many waiters are tried if the first ones cannot start.
	maxPlacementTries = 8
	// defaultMaxWaiting and defaultPrefixMarks replace zero values in the config.
	defaultMaxWaiting  = 512
	defaultPrefixMarks = 8192
	// stepTargetShare is the share of the per-token target that a batch may use.
	stepTargetShare = 0.94
	// idleLatencyFactor sets the minimum deadline, as a multiple of the time on an idle group,
	// so that prompts which miss the target even there are still served.
	idleLatencyFactor = 1.25
)

// engine is the group's state of one engine, in addition to its EngineView.
type engine struct {
	// changingUntil is the time until which the engine gets no requests because it changes its
	// stage.
	changingUntil int64
	spec          EngineSpec
	breaker       health.Breaker
	// resultBreaker tracks the health of the engine's prefill results: an engine may compute
	// prompts well and still lose the results.
	resultBreaker health.Breaker
	// prefills are the granted prefills that are not done yet, in order.
	prefills      []lifecycle.AttemptID
	prefillFactor estimate.Factor
	stepFactor    estimate.Factor
	// unknownHeld has, for each of the latest load reports, the number of requests held on the
	// engine that this group did not grant. The smallest one counts.
	unknownHeld [unknownReports]int
	reportCount int
	// fullUntil is the time until which the engine gets no requests after it rejected one as
	// full. unaccountedTokens is the memory that it must be holding for others, as of
	// unaccountedSince.
	fullUntil         int64
	unaccountedTokens int
	unaccountedSince  int64
	// memory is the forecast of the engine's memory use.
	memory cachedForecast
	// warmSpeed is what was learned of the engine before it became cold, and pacedWindow has
	// the recent grants to it while it was cold.
	cold        bool
	warmSpeed   learnedSpeed
	pacedWindow pace.Window
	limit       engineLimitState
	// observers tells whether other boxes reach the engine.
	observers health.Observers
	// leavingUntil is the time until which the engine counts as leaving because boxes reported
	// it.
	leavingUntil int64
}

// unknownReports is how many load reports must agree before the group assumes that an engine
// holds requests that it did not grant.
const unknownReports = 3

// grant is an admitted attempt.
type grant struct {
	ask     Ask
	prefill int
	decode  int
	// prefillNS is the estimated time of the prefill.
	prefillNS int64
	// prefilled is true when the prefill is done.
	prefilled bool
	// decodeStartedAt is the estimated start of the decode.
	decodeStartedAt int64
	grantedAt       int64
	kvTokens        int
	mode            lifecycle.Mode
	reuse           bool
	// askedAt is when the ask arrived.
	askedAt int64
	// pacedPrefill and pacedDecode report that the grant counts against the limit of its
	// engines. decodeUnsent is true while the decode still has to be sent to a cold engine.
	pacedPrefill, pacedDecode, decodeUnsent bool
	// trial is true if the request started although the estimates said that it misses its target.
	trial bool
	// firstToken and transfer are the estimates that were returned with the grant.
	firstToken, transfer time.Duration
}

// Group schedules one group of engines.
type Group struct {
	cfg     Config
	start   time.Time
	engines []engine
	index   map[string]int
	zones   []string
	view    View
	// viewSoftware is the software version that the ask of the view's last update is bound to.
	viewSoftware string

	waiting []*waiter
	grants  map[lifecycle.AttemptID]*grant
	// meanAsk is the mean of recent asks, and lengths learns the length of answers.
	meanAsk meanLoad
	lengths estimate.Length
	// ejections are those not yet returned by Ejections.
	ejections []Ejection
	// unconfirmed are finished grants that may still be running on their engine.
	unconfirmed []*grant
	accounts    accounts
	marks       *prefix.Index
	random      *rand.Rand
	budget      health.Budget
	// awaitingDecode are grants without a decode engine, oldest first.
	awaitingDecode []lifecycle.AttemptID
	// links learns the real transfer time between each pair of zones.
	links []estimate.Factor
	// zoneShare is the share of each zone according to its weight.
	zoneShare []float64
	// zoneUse is the decayed number of grants in each zone.
	zoneUse []decayedSum
	// usualAsks counts new requests, decayed slowly. nextRetryAt is the retry time given to the
	// latest refused caller.
	usualAsks decayedSum
	// recentAsks counts new requests, decayed as fast as releases.
	recentAsks  decayedSum
	nextRetryAt int64
	// serviceNS is the mean time for which a plain request holds its slot.
	serviceNS float64
	// learnedAt is when a request last ended well, and trialAt when the last trial started.
	learnedAt, trialAt int64
	// releases counts released decode slots, decayed.
	releases decayedSum
	nextTurn int
	// firstRequestAt is the time of the group's first request; valid if hadRequest is true.
	firstRequestAt int64
	hadRequest     bool
	// errorRatio is the recent share of answers that were errors of the endpoints themselves, 0
	// to 1.
	errorRatio float64
	// promptWork is the prefill work of recent new requests.
	promptWork stages.Work
	// coldLimit caches the grant limit of cold engines, as of coldLimitAt.
	coldLimit   int
	coldLimitAt int64
	// coldChanges are those not yet returned by ColdChanges.
	coldChanges []ColdChange
	// leavingChanged is true if engines have started to leave since the queue was last checked
	// for requests without an engine.
	leavingChanged bool
}

func (c Config) withDefaults() Config {
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.PrefixMarks <= 0 {
		c.PrefixMarks = defaultPrefixMarks
	}
	if c.Health == (health.Config{}) {
		c.Health = health.DefaultConfig()
	}
	return c
}

// New returns a group of the configured engines. All internal times count from start.
func New(cfg Config, start time.Time) *Group {
	cfg = cfg.withDefaults()
	g := &Group{
		cfg:      cfg,
		start:    start,
		grants:   make(map[lifecycle.AttemptID]*grant),
		accounts: newAccounts(),
		marks:    prefix.New(cfg.PrefixMarks),
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		budget:   health.NewBudget(),
	}
	g.setEngines(cfg.Engines)
	return g
}

// Ask handles a request for a plan and returns all decisions that follow, for this request and
// for others.
func (g *Group) Ask(now time.Time, a Ask) []Decision {
	if gr, twice := g.grants[a.ID]; twice {
		// The first answer was lost; the grant is unchanged.
		return []Decision{g.grantOf(sinceStart(g.start, now), gr)}
	}
	t := sinceStart(g.start, now)
	g.noteLeaving(t, a.Leaving)
	if w := g.findWaiter(a.ID); w != nil {
		w.ask.Excluded = a.Excluded
		return []Decision{Queued{Ask: a}}
	}
	if len(g.engines) == 0 {
		return []Decision{Refusal{Ask: a, Reason: lifecycle.ReasonNoEngine, RetryAfter: time.Second}}
	}
	if !a.Resume {
		g.budget = g.budget.WithRequest()
	}
	if g.cfg.Policy.Baseline() {
		return g.grantBaseline(now, a)
	}
	g.noteFirstRequest(t)
	if !a.Resume && !a.Spill && !a.Late {
		g.usualAsks = g.usualAsks.plus(t, 1, asksHalfLife)
		g.recentAsks = g.recentAsks.plus(t, 1, releaseHalfLife)
	}
	g.meanAsk = g.meanAsk.with(a)
	g.addPromptWork(a, t)
	w := g.newWaiter(a, t)
	if refusal, refused := g.refuseEarly(w, t); refused {
		return []Decision{refusal}
	}
	g.waiting = append(g.waiting, w)
	out := g.startWaiting(now)
	w.trial = false
	i := slices.Index(g.waiting, w)
	switch {
	case i < 0:
	case a.Spill:
		g.remove(i)
		out = append(out, Refusal{Ask: a, Reason: lifecycle.ReasonTargetUnreachable, RetryAfter: minRetryAfter, Inputs: g.inputs(w, t, 0)})
	default:
		out = append(out, Queued{Ask: a})
	}
	return out
}

// GrantedBefore lists the attempts that were granted at least age ago, by box.
func (g *Group) GrantedBefore(now time.Time, age time.Duration) map[string][]lifecycle.AttemptID {
	t := sinceStart(g.start, now)
	out := make(map[string][]lifecycle.AttemptID)
	for id, gr := range g.grants {
		if t-gr.grantedAt >= int64(age) {
			out[gr.ask.Box] = append(out[gr.ask.Box], id)
		}
	}
	return out
}

// Waiters lists the requests in the queue.
func (g *Group) Waiters() []Ask {
	out := make([]Ask, 0, len(g.waiting))
	for _, w := range g.waiting {
		out = append(out, w.ask)
	}
	return out
}

// Withdraw removes a waiting or granted request whose caller has disconnected.
func (g *Group) Withdraw(now time.Time, id lifecycle.AttemptID) []Decision {
	i := slices.IndexFunc(g.waiting, func(w *waiter) bool { return w.ask.ID == id })
	if i >= 0 {
		g.remove(i)
		return nil
	}
	g.keepPacedDecode(id)
	return g.Done(now, Report{ID: id})
}

// DropBox removes all requests of a box that has gone.
func (g *Group) DropBox(now time.Time, box string) []Decision {
	return g.drop(now, func(a Ask) bool { return a.Box == box })
}

// DropBefore removes the requests of earlier incarnations of a box: the process that would
// report their end no longer exists.
func (g *Group) DropBefore(now time.Time, box string, start uint64) []Decision {
	return g.drop(now, func(a Ask) bool { return a.Box == box && a.ID.Request.Incarnation < start })
}

func (g *Group) drop(now time.Time, gone func(Ask) bool) []Decision {
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool { return gone(w.ask) })
	var over []lifecycle.AttemptID
	for id, gr := range g.grants {
		if gone(gr.ask) {
			over = append(over, id)
		}
	}
	var out []Decision
	for _, id := range over {
		g.keepPacedDecode(id)
		out = append(out, g.Done(now, Report{ID: id})...)
	}
	return out
}

// Tick refuses waiters that can no longer meet their deadline, and starts those that can start
// now.
func (g *Group) Tick(now time.Time) []Decision {
	g.accounts.prune(sinceStart(g.start, now))
	return g.startWaiting(now)
}

// Plain reports whether the group's requests are plain ones.
func (g *Group) Plain() bool { return g.cfg.Plain }

// Waiting returns the number of requests in the queue.
func (g *Group) Waiting() int { return len(g.waiting) }

// Pending returns the number of requests that Tick may decide: those in the queue, and the
// grants without a decode engine.
func (g *Group) Pending() int { return len(g.waiting) + len(g.awaitingDecode) }

// Granted returns the number of attempts in flight.
func (g *Group) Granted() int { return len(g.grants) }
