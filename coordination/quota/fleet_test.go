// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/quota"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/tests/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, 60))
}

// world is a fleet of keepers with a network and a view of it that lags.
type world struct {
	bound quota.Bound
	limit table.Quota
	// lag is how long after a change of the network the views follow.
	lag time.Duration

	mutex sync.Mutex
	boxes []*simBox
	uses  []use
}

// use is what reached an endpoint.
type use struct {
	at   time.Time
	cost float64
}

// simBox is one box of a world.
type simBox struct {
	w      *world
	name   string
	keeper *Keeper
	down   bool
	// side is the part of the network that the box is in, and seen that of all
	// boxes as this box's view has it.
	side     int
	view     []string
	sequence uint64
}

const account = "desk"

// messageTime is how long a message between boxes takes.
const messageTime = time.Millisecond

func newWorld(boxes int, limit table.Quota, bound quota.Bound, lag time.Duration) *world {
	w := &world{bound: bound, limit: limit, lag: lag}
	for i := range boxes {
		w.boxes = append(w.boxes, &simBox{w: w, name: fmt.Sprintf("box-%d", i)})
	}
	for _, b := range w.boxes {
		b.view = w.reachable(b)
		b.start()
	}
	return w
}

// start gives the box a new process.
func (b *simBox) start() {
	b.keeper = New(Config{
		Self: b.name, Peers: b, Bound: b.w.bound, Log: log.Discard(),
		Ranked: func(string) []string { return b.seen()[:min(2, len(b.seen()))] },
		Fleet:  func() Fleet { return Fleet{Seen: len(b.seen()), All: len(b.w.boxes)} },
	})
	b.keeper.SetTable(table.Table{Accounts: []table.Account{{Name: account, Quota: &b.w.limit}}})
}

// seen are the live boxes in the account's rank, by this box's view.
func (b *simBox) seen() []string {
	b.w.mutex.Lock()
	defer b.w.mutex.Unlock()
	return b.view
}

// reachable are the boxes that live on the side of one, in rank.
func (w *world) reachable(b *simBox) []string {
	var out []string
	for _, o := range w.boxes {
		if o == b || !o.down && o.side == b.side {
			out = append(out, o.name)
		}
	}
	slices.Sort(out)
	return out
}

// settle brings all views up to date after the lag.
func (w *world) settle() {
	time.AfterFunc(w.lag, func() {
		w.mutex.Lock()
		for _, b := range w.boxes {
			b.view = w.reachable(b)
		}
		keepers := w.keepers()
		w.mutex.Unlock()
		for _, k := range keepers {
			k.FleetChanged()
		}
	})
}

// keepers are those of all boxes. The mutex is held.
func (w *world) keepers() []*Keeper {
	out := make([]*Keeper, 0, len(w.boxes))
	for _, b := range w.boxes {
		out = append(out, b.keeper)
	}
	return out
}

// carry has a message delivered after its time, unless the way is cut.
func (b *simBox) carry(to string, deliver func(o *simBox, k *Keeper)) {
	time.AfterFunc(messageTime, func() {
		b.w.mutex.Lock()
		var target *simBox
		for _, o := range b.w.boxes {
			if o.name == to && !o.down && !b.down && o.side == b.side {
				target = o
			}
		}
		var k *Keeper
		if target != nil {
			k = target.keeper
		}
		b.w.mutex.Unlock()
		if k != nil {
			deliver(target, k)
		}
	})
}

// SendAsk is the network's.
func (b *simBox) SendAsk(to string, a Ask) ring.Outcome {
	b.carry(to, func(_ *simBox, k *Keeper) { k.Receive(b.name, a) })
	return ring.Accepted
}

// SendAnswer is the network's.
func (b *simBox) SendAnswer(to string, a Answer) {
	b.carry(to, func(_ *simBox, k *Keeper) { k.Answered(b.name, a) })
}

// request has a box send a request, as a relay does.
func (b *simBox) request(ctx context.Context, cost float64) {
	b.w.mutex.Lock()
	down, k := b.down, b.keeper
	b.sequence++
	id := lifecycle.RequestID{Box: b.name, Sequence: b.sequence}
	b.w.mutex.Unlock()
	if down {
		return
	}
	v := k.Admit(ctx, Use{ID: id, Account: account, Cost: cost, Wait: 100 * time.Millisecond, Patience: time.Second})
	if v.Outcome != Admitted {
		return
	}
	time.Sleep(v.Wait)
	b.w.mutex.Lock()
	defer b.w.mutex.Unlock()
	if !b.down && b.keeper == k {
		b.w.uses = append(b.w.uses, use{at: time.Now(), cost: cost})
	}
}

// highest is the most that was used in any window, in units.
func (w *world) highest() float64 {
	slices.SortFunc(w.uses, func(a, b use) int { return a.at.Compare(b.at) })
	sum, most, first := 0.0, 0.0, 0
	for _, u := range w.uses {
		sum += u.cost
		for u.at.Sub(w.uses[first].at) > w.bound.Window {
			sum -= w.uses[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// allowed is what the rules allow in a window.
func (w *world) allowed() float64 {
	in := w.limit.Rate*w.bound.Window.Seconds() + w.limit.Burst
	return in*(1+w.bound.Overage) + w.bound.Slack
}

// total is all that was used.
func (w *world) total() float64 {
	sum := 0.0
	for _, u := range w.uses {
		sum += u.cost
	}
	return sum
}

// load has all boxes send requests for some time.
func (w *world) load(ctx context.Context, lasts time.Duration, times float64, random *rand.Rand) {
	w.drawn(w.boxes, lasts, times, random, func(b *simBox, cost float64) { go b.request(ctx, cost) })
}

// each draws requests of an account that five boxes get requests of.
func (w *world) each(lasts time.Duration, times float64, random *rand.Rand, ask func(b *simBox, cost float64)) {
	w.drawn(w.boxes[:5], lasts, times, random, ask)
}

// drawn draws requests that together ask for a multiple of the rate. Costs are like
// those of the users' work: one of eight is a stream of some 3,270 tokens, the
// others are plain, of 200.
func (w *world) drawn(boxes []*simBox, lasts time.Duration, times float64, random *rand.Rand, ask func(b *simBox, cost float64)) {
	const plain, stream, streams = 200, 3270, 8
	mean := (stream + (streams-1)*plain) / float64(streams)
	every := time.Duration(mean / (times * w.limit.Rate) * float64(time.Second))
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(every) {
		b := boxes[random.IntN(len(boxes))]
		cost := float64(plain)
		if random.IntN(streams) == 0 {
			cost = stream * (0.3 + 1.4*random.Float64())
		}
		ask(b, cost)
	}
}

// shiftedBound is what the users' sheet allows.
var shiftedBound = quota.Bound{Window: 8 * time.Second, Overage: 0.1, Slack: 120_000}

// quotasOf are a small and a large account of the users' sheet.
var quotasOf = map[string]table.Quota{
	"small account": {Unit: table.UnitTokens, Rate: 29_000, Burst: 29_000, PlainTokens: 200},
	"large account": {Unit: table.UnitTokens, Rate: 221_000, Burst: 221_000, PlainTokens: 200},
}

// TestLimitIsUsed holds that an account which asks for three times its quota gets
// at least 0.97 of what one counter for all would admit, and no more.
func TestLimitIsUsed(t *testing.T) {
	for name, limit := range quotasOf {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := newWorld(60, limit, shiftedBound, time.Second)
				const lasts = 20 * time.Second
				w.load(ctx, lasts, 3, rand.New(rand.NewPCG(1, 2)))
				// Those that wait for their quota send within a second.
				time.Sleep(time.Second)
				cancel()
				time.Sleep(time.Second)
				w.mutex.Lock()
				defer w.mutex.Unlock()
				perfect := limit.Rate * lasts.Seconds()
				t.Logf("used %.3f of the quota, highest window %.3f of it", w.total()/perfect, w.highest()/(limit.Rate*w.bound.Window.Seconds()+limit.Burst))
				if w.total() < 0.97*perfect || w.total() > perfect+limit.Burst {
					t.Errorf("used %.3f of the quota", w.total()/perfect)
				}
			})
		})
	}
}

// trouble is one event of a drawn day.
type trouble struct {
	at    time.Duration
	kind  int
	box   int
	lasts time.Duration
}

// Kinds of trouble.
const (
	boxDies = iota
	boxIsCut
	halfIsCut
	allDie
	kindsOfTrouble
)

// strike brings a trouble about and ends it after its time.
func (w *world) strike(tr trouble) {
	w.mutex.Lock()
	struck := []*simBox{w.boxes[tr.box]}
	switch tr.kind {
	case halfIsCut:
		struck = w.boxes[:len(w.boxes)/2]
	case allDie:
		struck = w.boxes
	}
	dies := tr.kind == boxDies || tr.kind == allDie
	for _, b := range struck {
		if dies {
			b.down = true
		} else {
			b.side = 1 + tr.box
		}
	}
	w.mutex.Unlock()
	w.settle()
	time.AfterFunc(tr.lasts, func() {
		w.mutex.Lock()
		for _, b := range struck {
			if dies {
				b.down = false
				b.view = w.reachable(b)
				b.start()
			} else {
				b.side = 0
			}
		}
		w.mutex.Unlock()
		w.settle()
	})
}

// TestOracleWindows plays drawn troubles under an account that asks for twice its
// quota all the time, and holds every window against the rules.
func TestOracleWindows(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := quotasOf[rapid.SampledFrom([]string{"small account", "large account"}).Draw(r, "account")]
		boxes := rapid.IntRange(2, 9).Draw(r, "boxes")
		lag := time.Duration(rapid.IntRange(100, 2500).Draw(r, "lag ms")) * time.Millisecond
		troubles := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) trouble {
			return trouble{
				at:    time.Duration(rapid.IntRange(0, 16_000).Draw(r, "at ms")) * time.Millisecond,
				kind:  rapid.IntRange(0, kindsOfTrouble-1).Draw(r, "kind"),
				box:   rapid.IntRange(0, boxes-1).Draw(r, "box"),
				lasts: time.Duration(rapid.IntRange(200, 9_000).Draw(r, "lasts ms")) * time.Millisecond,
			}
		}), 0, 4).Draw(r, "troubles")
		times := rapid.SampledFrom([]float64{0.6, 1, 2}).Draw(r, "times the quota")
		luck := rapid.Uint64().Draw(r, "luck")
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			w := newWorld(boxes, limit, shiftedBound, lag)
			for _, tr := range troubles {
				time.AfterFunc(tr.at, func() { w.strike(tr) })
			}
			w.load(ctx, 25*time.Second, times, rand.New(rand.NewPCG(luck, luck)))
			cancel()
			time.Sleep(12 * time.Second)
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if most := w.highest(); most > w.allowed() {
				failure = fmt.Sprintf("a window has %.0f units, allowed are %.0f", most, w.allowed())
			}
		})
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

// use asks for what one request costs.
func (b *simBox) admit(ctx context.Context, number uint64, cost float64) Verdict {
	id := lifecycle.RequestID{Box: b.name, Sequence: number}
	return b.keeper.Admit(ctx, Use{ID: id, Account: account, Cost: cost, Wait: 100 * time.Millisecond, Patience: time.Second})
}

// simBubble runs a test on a fleet with the clock of a bubble.
func simBubble(t *testing.T, boxes int, body func(ctx context.Context, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(boxes, quotasOf["small account"], shiftedBound, time.Second)
		body(ctx, w)
		cancel()
		time.Sleep(time.Second)
	})
}

// TestSecondInRank holds that the second box in rank decides only while it cannot
// reach the home, and then with half of the quota.
func TestSecondInRank(t *testing.T) {
	simBubble(t, 3, func(ctx context.Context, w *world) {
		first, second, third := w.boxes[0], w.boxes[1], w.boxes[2]
		if got := second.keeper.decide(third.name, Ask{Account: account, Need: quota.Need{Cost: 10}}); got.Outcome != Checking {
			t.Errorf("the second in rank said %v while it could reach the home", got.Outcome)
		}
		if got := third.keeper.decide(second.name, Ask{Account: account, Need: quota.Need{Cost: 10}}); got.Outcome != NotHome {
			t.Errorf("the third in rank said %v", got.Outcome)
		}
		time.Sleep(time.Second)
		w.mutex.Lock()
		first.down = true
		w.mutex.Unlock()
		begin := time.Now()
		v := third.admit(ctx, 1, 10)
		if v.Outcome != Admitted || v.From != second.name {
			t.Errorf("with a silent home: %+v", v)
		}
		if took := time.Since(begin); took > 400*time.Millisecond {
			t.Errorf("a silent home held a request for %v", took)
		}
		begin = time.Now()
		third.admit(ctx, 2, 5000)
		if took := time.Since(begin); took > 50*time.Millisecond {
			t.Errorf("a home known to be silent held a request for %v", took)
		}
		w.mutex.Lock()
		first.down = false
		w.mutex.Unlock()
		time.Sleep(time.Second)
		third.admit(ctx, 3, 5000)
		time.Sleep(time.Second)
		if v := third.admit(ctx, 4, 5000); v.From != first.name {
			t.Errorf("after the home came back %q decided", v.From)
		}
	})
}

// TestHalvesCutApart holds that the two halves of a fleet that cannot reach each
// other for longer than a window keep to the quota together, though both are asked
// for twice of it. The fullest window has 0.73 of what is allowed; if each half
// gave out the whole, it has 1.15.
func TestHalvesCutApart(t *testing.T) {
	simBubble(t, 8, func(ctx context.Context, w *world) {
		w.strike(trouble{kind: halfIsCut, lasts: 15 * time.Second})
		w.load(ctx, 14*time.Second, 4, rand.New(rand.NewPCG(5, 6)))
		time.Sleep(3 * time.Second)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		t.Logf("the fullest window has %.3f of what is allowed", w.highest()/w.allowed())
		if w.highest() > w.allowed() {
			t.Errorf("a window has %.0f units, allowed are %.0f", w.highest(), w.allowed())
		}
	})
}

// TestPausedHome holds that a home which stood still starts anew with nothing.
func TestPausedHome(t *testing.T) {
	simBubble(t, 2, func(ctx context.Context, w *world) {
		home := w.boxes[0]
		home.admit(ctx, 1, 10)
		time.Sleep(5 * time.Second)
		home.keeper.Paused()
		if v := home.admit(ctx, 2, 20_000); v.Outcome != Over {
			t.Errorf("a home that stood still said %+v", v)
		}
	})
}

// TestQuotaChanges holds that a lower or higher quota, another unit and an account
// that is gone count at once.
func TestQuotaChanges(t *testing.T) {
	set := func(w *world, q *table.Quota) {
		for _, b := range w.boxes {
			b.keeper.SetTable(table.Table{Accounts: []table.Account{{Name: account, Quota: q}}})
		}
	}
	simBubble(t, 2, func(ctx context.Context, w *world) {
		home := w.boxes[0]
		home.admit(ctx, 1, 10)
		time.Sleep(5 * time.Second)
		set(w, &table.Quota{Unit: table.UnitTokens, Rate: 100, Burst: 100})
		if v := home.admit(ctx, 2, 5000); v.Outcome != Admitted {
			t.Errorf("a full bucket said %+v", v)
		}
		if v := home.admit(ctx, 3, 50); v.Outcome != Over {
			t.Errorf("under a lower quota: %+v", v)
		}
		set(w, &table.Quota{Unit: table.UnitTokens, Rate: 1e6, Burst: 1e6})
		time.Sleep(100 * time.Millisecond)
		if v := home.admit(ctx, 4, 50_000); v.Outcome != Admitted {
			t.Errorf("under a higher quota: %+v", v)
		}
		set(w, nil)
		if v := home.admit(ctx, 5, 5000); v.Outcome == Admitted && v.From == home.name {
			t.Errorf("without a quota the home still decides: %+v", v)
		}
	})
}
