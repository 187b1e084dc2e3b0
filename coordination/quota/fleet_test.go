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

// simFleet is a fleet of keepers on a simulated network, whose views of the fleet lag
// behind.
type simFleet struct {
	bound quota.Bound
	limit table.Quota
	// lag is the delay from a change of the network to the change of the views.
	lag time.Duration

	// messageTime is how long a message between boxes takes.
	messageTime time.Duration

	mutex sync.Mutex
	boxes []*simBox
	uses  []use
}

// use is the cost of a request that reached an endpoint.
type use struct {
	at   time.Time
	cost float64
}

// simBox is one box of a simulated fleet.
type simBox struct {
	w      *simFleet
	name   string
	keeper *Keeper
	down   bool
	// side is the partition of the network that the box is in, and view the boxes that it
	// sees.
	side     int
	view     []string
	sequence uint64
}

const account = "desk"

// usualMessageTime is how long a message between boxes usually takes.
const usualMessageTime = time.Millisecond

func newWorld(boxes int, limit table.Quota, bound quota.Bound, lag time.Duration) *simFleet {
	w := &simFleet{bound: bound, limit: limit, lag: lag, messageTime: usualMessageTime}
	for i := range boxes {
		w.boxes = append(w.boxes, &simBox{w: w, name: fmt.Sprintf("box-%d", i)})
	}
	for _, b := range w.boxes {
		b.view = w.reachable(b)
		b.start()
	}
	return w
}

// start starts a new process of the box.
func (b *simBox) start() {
	b.keeper = New(Config{
		Self: b.name, Peers: b, Bound: b.w.bound, Log: log.Discard(),
		Ranked: func(string) []string { return b.seen()[:min(2, len(b.seen()))] },
		Fleet:  func() Fleet { return Fleet{Seen: len(b.seen()), All: len(b.w.boxes)} },
	})
	b.keeper.SetTable(table.Table{Accounts: []table.Account{{Name: account, Quota: &b.w.limit}}})
}

// seen returns the live boxes in the account's rank, as this box sees them.
func (b *simBox) seen() []string {
	b.w.mutex.Lock()
	defer b.w.mutex.Unlock()
	return b.view
}

// reachable returns the live boxes in the same partition as b, in rank order.
func (w *simFleet) reachable(b *simBox) []string {
	var out []string
	for _, o := range w.boxes {
		if o == b || !o.down && o.side == b.side {
			out = append(out, o.name)
		}
	}
	slices.Sort(out)
	return out
}

// updateViews updates all views after the lag.
func (w *simFleet) updateViews() {
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

// keepers returns the keepers of all boxes. The caller holds the mutex.
func (w *simFleet) keepers() []*Keeper {
	out := make([]*Keeper, 0, len(w.boxes))
	for _, b := range w.boxes {
		out = append(out, b.keeper)
	}
	return out
}

// send delivers a message after its time, unless the sender cannot reach the receiver.
func (b *simBox) send(to string, deliver func(o *simBox, k *Keeper)) {
	time.AfterFunc(b.w.messageTime, func() {
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

// SendAsk sends a question over the simulated network.
func (b *simBox) SendAsk(to string, a Ask) ring.Outcome {
	b.send(to, func(_ *simBox, k *Keeper) { k.Receive(b.name, a) })
	return ring.Accepted
}

// SendAnswer sends an answer over the simulated network.
func (b *simBox) SendAnswer(to string, a Answer) {
	b.send(to, func(_ *simBox, k *Keeper) { k.Answered(b.name, a) })
}

// request sends a request from a box, as a relay does.
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

// highestWindow returns the most units used in any window.
func (w *simFleet) highestWindow() float64 {
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

// allowed returns the units that the rules allow in a window.
func (w *simFleet) allowed() float64 {
	in := w.limit.Rate*w.bound.Window.Seconds() + w.limit.Burst
	return in*(1+w.bound.Overage) + w.bound.Slack
}

// totalUsed returns all units that were used.
func (w *simFleet) totalUsed() float64 {
	sum := 0.0
	for _, u := range w.uses {
		sum += u.cost
	}
	return sum
}

// load sends requests from all boxes for some time.
func (w *simFleet) load(ctx context.Context, lasts time.Duration, times float64, random *rand.Rand) {
	w.drawRequests(w.boxes, lasts, times, random, func(b *simBox, cost float64) { go b.request(ctx, cost) })
}

// loadFive sends the requests of an account from five boxes only.
func (w *simFleet) loadFive(lasts time.Duration, times float64, random *rand.Rand, ask func(b *simBox, cost float64)) {
	w.drawRequests(w.boxes[:5], lasts, times, random, ask)
}

// drawRequests draws requests that together ask for a multiple of the rate. The costs
// follow the users' workload: one request in eight is a stream of some 3,270 tokens, the
// others are plain, of 200.
func (w *simFleet) drawRequests(boxes []*simBox, lasts time.Duration, times float64, random *rand.Rand, ask func(b *simBox, cost float64)) {
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

// toleratedBound is the tolerance that the users' requirements allow.
var toleratedBound = quota.Bound{Window: 8 * time.Second, Overage: 0.1, Slack: 120_000}

// accountQuotas are the quotas of a small and a large account from the users' requirements.
var accountQuotas = map[string]table.Quota{
	"small account": {Unit: table.UnitTokens, Rate: 29_000, Burst: 29_000, PlainTokens: 200},
	"large account": {Unit: table.UnitTokens, Rate: 221_000, Burst: 221_000, PlainTokens: 200},
}

// TestLimitIsUsed checks that an account which asks for three times its quota gets at least
// 0.97 of what one counter for all boxes would admit, and no more than that counter would.
func TestLimitIsUsed(t *testing.T) {
	for name, limit := range accountQuotas {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := newWorld(60, limit, toleratedBound, time.Second)
				const lasts = 20 * time.Second
				w.load(ctx, lasts, 3, rand.New(rand.NewPCG(1, 2)))
				// Requests that wait for their quota are sent within a second.
				time.Sleep(time.Second)
				cancel()
				time.Sleep(time.Second)
				w.mutex.Lock()
				defer w.mutex.Unlock()
				perfect := limit.Rate * lasts.Seconds()
				t.Logf("used %.3f of the quota, highest window %.3f of it", w.totalUsed()/perfect, w.highestWindow()/(limit.Rate*w.bound.Window.Seconds()+limit.Burst))
				if w.totalUsed() < 0.97*perfect || w.totalUsed() > perfect+limit.Burst {
					t.Errorf("used %.3f of the quota", w.totalUsed()/perfect)
				}
			})
		})
	}
}

// fault is one fault of a random run.
type fault struct {
	at    time.Duration
	kind  int
	box   int
	lasts time.Duration
}

// Kinds of faults.
const (
	boxDies = iota
	boxIsCut
	halfIsCut
	allDie
	faultKinds
)

// inject brings a fault about and ends it after its duration.
func (w *simFleet) inject(tr fault) {
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
	w.updateViews()
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
		w.updateViews()
	})
}

// TestOracleWindows injects random faults under an account that asks for up to twice its
// quota, and checks every window against the rules.
func TestOracleWindows(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := accountQuotas[rapid.SampledFrom([]string{"small account", "large account"}).Draw(r, "account")]
		boxes := rapid.IntRange(2, 9).Draw(r, "boxes")
		lag := time.Duration(rapid.IntRange(100, 2500).Draw(r, "lag ms")) * time.Millisecond
		troubles := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) fault {
			return fault{
				at:    time.Duration(rapid.IntRange(0, 16_000).Draw(r, "at ms")) * time.Millisecond,
				kind:  rapid.IntRange(0, faultKinds-1).Draw(r, "kind"),
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
			w := newWorld(boxes, limit, toleratedBound, lag)
			for _, tr := range troubles {
				time.AfterFunc(tr.at, func() { w.inject(tr) })
			}
			w.load(ctx, 25*time.Second, times, rand.New(rand.NewPCG(luck, luck)))
			cancel()
			time.Sleep(12 * time.Second)
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if most := w.highestWindow(); most > w.allowed() {
				failure = fmt.Sprintf("a window has %.0f units, allowed are %.0f", most, w.allowed())
			}
		})
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

// admit asks for the cost of one request.
func (b *simBox) admit(ctx context.Context, number uint64, cost float64) Verdict {
	id := lifecycle.RequestID{Box: b.name, Sequence: number}
	return b.keeper.Admit(ctx, Use{ID: id, Account: account, Cost: cost, Wait: 100 * time.Millisecond, Patience: time.Second})
}

// withFleet runs a test on a simulated fleet with the fake clock of synctest.
func withFleet(t *testing.T, boxes int, body func(ctx context.Context, w *simFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(boxes, accountQuotas["small account"], toleratedBound, time.Second)
		body(ctx, w)
		cancel()
		time.Sleep(time.Second)
	})
}

// TestSecondInRank checks that the second box in rank decides only while it cannot reach
// the home, and then with half of the quota, and that a silent home delays only the first
// requests.
func TestSecondInRank(t *testing.T) {
	withFleet(t, 3, func(ctx context.Context, w *simFleet) {
		first, second, third := w.boxes[0], w.boxes[1], w.boxes[2]
		if got := second.keeper.decide(third.name, Ask{Account: account, Need: quota.Need{Cost: 10}}); got.Outcome != Checking {
			t.Errorf("the second in rank decided %v while it could reach the home", got.Outcome)
		}
		if got := third.keeper.decide(second.name, Ask{Account: account, Need: quota.Need{Cost: 10}}); got.Outcome != NotHome {
			t.Errorf("the third in rank decided %v", got.Outcome)
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
			t.Errorf("a silent home delayed a request by %v", took)
		}
		begin = time.Now()
		third.admit(ctx, 2, 5000)
		if took := time.Since(begin); took > 50*time.Millisecond {
			t.Errorf("a home known to be silent delayed a request by %v", took)
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

// An answer of the home that takes longer than a question may is used, though the question was repeated.
func TestLateAnswerOfTheHomeIsLost(t *testing.T) {
	cases := map[string]struct {
		takes, askTime time.Duration
		want           Outcome
	}{
		"in time":                                   {takes: answerTimeout / 4, want: Over},
		"after the question is repeated":            {takes: answerTimeout + 2*askBackoff, want: Over},
		"after the time of an urgent request":       {takes: minAskTime + askBackoff, want: Unanswered},
		"in the time of a request that is patient":  {takes: minAskTime, askTime: 2 * minAskTime, want: Over},
		"after the longest time of any request":     {takes: maxAskTime + askBackoff, askTime: time.Minute, want: Unanswered},
		"just before the longest time of a request": {takes: maxAskTime - askBackoff, askTime: time.Minute, want: Over},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, func(ctx context.Context, w *simFleet) {
				w.messageTime = c.takes / 2
				v := w.boxes[2].keeper.Admit(ctx, Use{
					ID: lifecycle.RequestID{Box: "box-2", Sequence: 1}, Account: account, Cost: 100 * w.limit.Burst,
					Wait: 100 * time.Millisecond, Patience: time.Second, AskTime: c.askTime,
				})
				if v.Outcome != c.want {
					t.Errorf("outcome %v, want %v", v.Outcome, c.want)
				}
				if v.Outcome == Over && (v.From != w.boxes[0].name || v.Ask.Number != 1) {
					t.Errorf("decided by %q on question %d", v.From, v.Ask.Number)
				}
			})
		})
	}
}

// TestHalvesCutApart checks that two halves of a fleet that cannot reach each other for
// longer than a window keep to the quota together, though both are asked for twice the
// quota. The fullest window has 0.73 of what is allowed; if each half lent the whole quota,
// it would have 1.15.
func TestHalvesCutApart(t *testing.T) {
	withFleet(t, 8, func(ctx context.Context, w *simFleet) {
		w.inject(fault{kind: halfIsCut, lasts: 15 * time.Second})
		w.load(ctx, 14*time.Second, 4, rand.New(rand.NewPCG(5, 6)))
		time.Sleep(3 * time.Second)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		t.Logf("the fullest window has %.3f of what is allowed", w.highestWindow()/w.allowed())
		if w.highestWindow() > w.allowed() {
			t.Errorf("a window has %.0f units, allowed are %.0f", w.highestWindow(), w.allowed())
		}
	})
}

// TestPausedHome checks that a home which was paused starts again with an empty bucket.
func TestPausedHome(t *testing.T) {
	withFleet(t, 2, func(ctx context.Context, w *simFleet) {
		home := w.boxes[0]
		home.admit(ctx, 1, 10)
		time.Sleep(5 * time.Second)
		home.keeper.NotePause()
		if v := home.admit(ctx, 2, 20_000); v.Outcome != Over {
			t.Errorf("a home that was paused decided %+v", v)
		}
	})
}

// TestQuotaChanges checks that a lower or higher quota, and its removal from an account,
// take effect at once.
func TestQuotaChanges(t *testing.T) {
	set := func(w *simFleet, q *table.Quota) {
		for _, b := range w.boxes {
			b.keeper.SetTable(table.Table{Accounts: []table.Account{{Name: account, Quota: q}}})
		}
	}
	withFleet(t, 2, func(ctx context.Context, w *simFleet) {
		home := w.boxes[0]
		home.admit(ctx, 1, 10)
		time.Sleep(5 * time.Second)
		set(w, &table.Quota{Unit: table.UnitTokens, Rate: 100, Burst: 100})
		if v := home.admit(ctx, 2, 5000); v.Outcome != Admitted {
			t.Errorf("with a full bucket: %+v", v)
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
