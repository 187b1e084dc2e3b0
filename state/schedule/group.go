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
	// lead is how much prefill an engine's own queue may hold beyond what it
	// works on: about the round trip in which the next order comes.
	lead = 12 * time.Millisecond
	// overdue is the guess for a prefill that should have been done already.
	overdue = 5 * time.Millisecond
	// tries is how many waiters are tried when the first cannot start.
	tries = 8
	// defaultWaiting and defaultMarks are used where the config says 0.
	defaultWaiting = 512
	defaultMarks   = 8192
	// stepMargin keeps the batch a little under the per-token target.
	stepMargin = 0.94
	// idleSlack is how much longer than on an idle system a prompt may take
	// that misses the target even there.
	idleSlack = 1.25
)

// engine is what the group keeps of one engine beside its view.
type engine struct {
	// changingUntil is until when the engine gets nothing since it changes its stage.
	changingUntil int64
	spec          EngineSpec
	breaker       health.Breaker
	// results is the health of its prefill results: an engine may read prompts
	// well and not keep what it has read.
	results health.Breaker
	// prefills are the grants whose prefill is not done, in order.
	prefills []lifecycle.AttemptID
	prefill  estimate.Factor
	step     estimate.Factor
	// unknown is the smallest number of holds in recent load reports that
	// this group knows nothing of.
	unknown [unknownReports]int
	reports int
	// fullUntil is until when the engine gets nothing, having turned a request
	// away; unaccounted is the memory that it must hold for others, seen at unaccountedSince.
	fullUntil        int64
	unaccounted      int
	unaccountedSince int64
	// memory is the forecast of the engine's memory.
	memory cachedForecast
	// cold says that the engine is cold, warm is what was learnt of it before, and
	// paced what it was granted lately while cold.
	cold  bool
	warm  speed
	paced pace.Window
	limit limited
	// leavingUntil is until when the engine counts as leaving by what it told boxes.
	leavingUntil int64
}

// unknownReports is how many reports must agree before the group believes
// that an engine holds something it did not grant.
const unknownReports = 3

// grant is an admitted attempt.
type grant struct {
	ask     Ask
	prefill int
	decode  int
	// prefillNS is the expected time of the prefill.
	prefillNS int64
	// prefilled is true when the prefill is done.
	prefilled bool
	// decodeAt is when the decode began, as far as is known.
	decodeAt int64
	granted  int64
	kvTokens int
	mode     lifecycle.Mode
	reuse    bool
	// asked is when the ask came; held is the time from then to the grant.
	asked int64
	// paced says what was counted for cold engines and those with a limit, and openDecode
	// that the decode is still to be sent to a cold one.
	pacedPrefill, pacedDecode, openDecode bool
	// firstToken and move are the estimates given with the grant.
	firstToken, move time.Duration
}

// Group schedules one group of engines.
type Group struct {
	cfg     Config
	start   time.Time
	engines []engine
	index   map[string]int
	zones   []string
	view    View
	waiting []*waiter
	grants  map[lifecycle.AttemptID]*grant
	// usual is the mean ask, and lengths how long answers become.
	usual   usualLoad
	lengths estimate.Length
	// ejections are the engines taken out that nobody was told of yet.
	ejections []Ejection
	// lost are grants that are over here and may run on at their engine.
	lost     []*grant
	accounts accounts
	marks    *prefix.Index
	random   *rand.Rand
	budget   health.Budget
	// open are grants whose decode slot is still to come, oldest first.
	open []lifecycle.AttemptID
	// links learns each zone pair's real transfer time.
	links []estimate.Factor
	// zoneShare is each zone's share by weight.
	zoneShare []float64
	// zoneUse is the work that each zone was granted, decayed.
	zoneUse []usage
	// asks counts first asks, decayed slowly; nextReturn is when the next refused
	// caller is told to come again.
	asks usage
	// recentAsks counts the same, decayed as fast as releases.
	recentAsks usage
	nextReturn int64
	// serviceNS is the mean time for which a plain request holds its slot.
	serviceNS float64
	// releases counts decode slots that came free, decayed.
	releases usage
	turn     int
	// begun is when the group was told of its first request, if it was asked.
	begun int64
	asked bool
	// errors is the part of the answers lately that were endpoints' own errors, 0 to 1.
	errors float64
	// work is the prompt work that was asked for.
	work stages.Work
	// coldLimit is what a cold engine may be granted, as of coldLimitAt.
	coldLimit   int
	coldLimitAt int64
	// coldChanges are engines that became cold or warm and nobody was told of yet.
	coldChanges []ColdChange
	// stranded says that engines have begun to leave since it was last looked whether
	// those that wait have any left.
	stranded bool
}

func (c Config) withDefaults() Config {
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaultWaiting
	}
	if c.PrefixMarks <= 0 {
		c.PrefixMarks = defaultMarks
	}
	if c.Health == (health.Config{}) {
		c.Health = health.DefaultConfig()
	}
	return c
}

// New makes a group. Start is the time that its clock counts from.
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
	g.adopt(cfg.Engines)
	return g
}

// Ask takes a request in and returns every decision that follows, for this
// ask or for others.
func (g *Group) Ask(now time.Time, a Ask) []Decision {
	if gr, twice := g.grants[a.ID]; twice {
		// The answer was lost; it stands as it was.
		return []Decision{g.grantOf(sinceStart(g.start, now), gr)}
	}
	t := sinceStart(g.start, now)
	g.noteLeaving(t, a.Leaving)
	if w := g.waits(a.ID); w != nil {
		w.ask.Barred = a.Barred
		return []Decision{Queued{Ask: a}}
	}
	if len(g.engines) == 0 {
		return []Decision{Refuse{Ask: a, Reason: lifecycle.ReasonNoEngine, RetryAfter: time.Second}}
	}
	if !a.Resume {
		g.budget = g.budget.WithRequest()
	}
	if g.cfg.Policy.Baseline() {
		return g.baseline(now, a)
	}
	g.begin(t)
	if !a.Resume && !a.Spill && !a.Late {
		g.asks = g.asks.plus(t, 1, asksHalfLife)
		g.recentAsks = g.recentAsks.plus(t, 1, releaseHalfLife)
	}
	g.usual = g.usual.with(a)
	g.noteWork(a, t)
	w := g.waiter(a, t)
	if refusal, refused := g.refuseEarly(w, t); refused {
		return []Decision{refusal}
	}
	g.waiting = append(g.waiting, w)
	out := g.pump(now)
	i := slices.Index(g.waiting, w)
	switch {
	case i < 0:
	case a.Spill:
		g.remove(i)
		out = append(out, Refuse{Ask: a, Reason: lifecycle.ReasonHopeless, RetryAfter: retryFloor, Seen: g.inputs(w, t, 0)})
	default:
		out = append(out, Queued{Ask: a})
	}
	return out
}

// Old lists the attempts that were granted at least so long ago, by box.
func (g *Group) Old(now time.Time, age time.Duration) map[string][]lifecycle.AttemptID {
	t := sinceStart(g.start, now)
	out := make(map[string][]lifecycle.AttemptID)
	for id, gr := range g.grants {
		if t-gr.granted >= int64(age) {
			out[gr.ask.Box] = append(out[gr.ask.Box], id)
		}
	}
	return out
}

// Waiters lists the asks in the queue.
func (g *Group) Waiters() []Ask {
	out := make([]Ask, 0, len(g.waiting))
	for _, w := range g.waiting {
		out = append(out, w.ask)
	}
	return out
}

// Withdraw takes a waiting or granted ask back; the caller has gone.
func (g *Group) Withdraw(now time.Time, id lifecycle.AttemptID) []Decision {
	i := slices.IndexFunc(g.waiting, func(w *waiter) bool { return w.ask.ID == id })
	if i >= 0 {
		g.remove(i)
		return nil
	}
	g.abandon(id)
	return g.Done(now, Report{ID: id})
}

// DropBox forgets all that a box asked for; the box is gone.
func (g *Group) DropBox(now time.Time, box string) []Decision {
	return g.drop(now, func(a Ask) bool { return a.Box == box })
}

// DropBefore forgets what a box asked for before it started anew: the process
// that could say when it is over is no more.
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
		g.abandon(id)
		out = append(out, g.Done(now, Report{ID: id})...)
	}
	return out
}

// Tick drops hopeless waiters and starts what time alone made possible.
func (g *Group) Tick(now time.Time) []Decision {
	g.accounts.forget(sinceStart(g.start, now))
	return g.pump(now)
}

// Plain says whether the group's requests are plain ones.
func (g *Group) Plain() bool { return g.cfg.Plain }

// Waiting and Granted count what the group holds.
func (g *Group) Waiting() int { return len(g.waiting) }

// Pending counts what time alone may decide: the asks in the queue, and the grants that
// wait for their decode slot.
func (g *Group) Pending() int { return len(g.waiting) + len(g.open) }

// Granted is the number of attempts admitted and not over.
func (g *Group) Granted() int { return len(g.grants) }
