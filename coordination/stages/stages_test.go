// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package stages

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/position"
	"runridge.example/runridge/tests/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, 150))
}

var (
	errLost = errors.New("no answer")
	rules   = Rules{Planned: true, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond}
)

// arrivedOrder is an order that reached the engine.
type arrivedOrder struct {
	at     time.Time
	holder string
	fence  uint64
}

// simulation is one engine and a store, with random faults.
type simulation struct {
	mutex  sync.Mutex
	random *rand.Rand
	// revision is the store's last one, in its era; all boxes learn of that era at
	// returned.
	revision uint64
	era      uint64
	returned time.Time
	lease    Lease
	// storeDown reports that the store answers nobody.
	storeDown bool
	// storeLoss and engineLoss are the probabilities that an answer is lost, and maxDelay
	// the longest time that a call takes.
	storeLoss, engineLoss float64
	maxDelay              time.Duration

	prefill bool
	orders  uint64
	arrived []arrivedOrder
	// runs is the number of orders that were carried out.
	runs int
	// received are the bodies that the home received.
	received []home.Body
	// busy makes the engine report an order in progress.
	busy bool
}

// delay waits for a random delay; false means that the context ended first.
func (w *simulation) delay(ctx context.Context) bool {
	w.mutex.Lock()
	d := time.Duration(w.random.Int64N(int64(w.maxDelay) + 1))
	w.mutex.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *simulation) chance(p float64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.Float64() < p
}

func (w *simulation) Lease(ctx context.Context, _ string) (Lease, error) {
	if !w.delay(ctx) {
		return Lease{}, errLost
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.storeDown {
		return Lease{}, errLost
	}
	if w.lease.Revision == 0 {
		return Lease{}, nil
	}
	return Lease{Revision: position.Of(w.era, w.lease.Revision), Holder: w.lease.Holder}, nil
}

// restoreCopy takes the store down and brings it back with the contents of an older copy.
func (w *simulation) restoreCopy(away, noticed time.Duration) {
	w.mutex.Lock()
	revision, lease := w.revision, w.lease
	w.mutex.Unlock()
	// What is written in this time is lost.
	time.Sleep(lostTime)
	w.mutex.Lock()
	w.storeDown = true
	w.mutex.Unlock()
	time.Sleep(away)
	w.mutex.Lock()
	w.storeDown = false
	w.era++
	w.revision, w.lease = revision, lease
	w.mutex.Unlock()
	time.Sleep(noticed)
	w.mutex.Lock()
	w.returned = time.Now()
	w.mutex.Unlock()
}

// lostTime is the age of the copy.
const lostTime = 4 * time.Second

// latestRestore returns what all boxes know of the store's last return from an older copy.
func (w *simulation) latestRestore() (era uint64, at time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.returned.IsZero() {
		return 0, time.Time{}
	}
	return w.era, w.returned
}

// WriteLease may take effect long after its caller has given up.
func (w *simulation) WriteLease(ctx context.Context, _, holder string, _, revision uint64) (uint64, error) {
	done := w.delay(ctx)
	if !done && w.chance(0.5) {
		return 0, errLost
	}
	w.mutex.Lock()
	if w.storeDown {
		w.mutex.Unlock()
		return 0, errLost
	}
	if w.lease.Revision != position.Revision(revision) || revision > 0 && position.Era(revision) != w.era {
		w.mutex.Unlock()
		return 0, adapter.ErrConflict
	}
	w.revision++
	written := position.Of(w.era, w.revision)
	w.lease = Lease{Revision: w.revision, Holder: holder}
	w.mutex.Unlock()
	if !done || w.chance(w.storeLoss) {
		return 0, errLost
	}
	return written, nil
}

func (w *simulation) EndLease(context.Context, string, uint64) error { return nil }

func (w *simulation) Report(ctx context.Context, _ Engine) (Report, error) {
	if !w.delay(ctx) {
		return Report{}, errLost
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return Report{Prefill: w.prefill, Orders: w.orders, Changing: w.busy}, nil
}

// Order delivers an order, which may be carried out only seconds later.
func (w *simulation) Order(ctx context.Context, _ Engine, o Order) error {
	if !w.delay(ctx) {
		return errLost
	}
	w.mutex.Lock()
	w.arrived = append(w.arrived, arrivedOrder{time.Now(), o.Holder, o.Fence})
	w.mutex.Unlock()
	if w.chance(w.engineLoss) {
		w.mutex.Lock()
		late := time.Duration(w.random.Int64N(int64(12 * time.Second)))
		w.mutex.Unlock()
		time.AfterFunc(late, func() { _ = w.carryOut(o) })
		return errLost
	}
	return w.carryOut(o)
}

func (w *simulation) carryOut(o Order) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if o.Orders != w.orders {
		return ErrRefused
	}
	w.orders++
	w.prefill = o.Prefill
	w.runs++
	return nil
}

func (w *simulation) Offer(c home.Command) ring.Outcome {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.received = append(w.received, c.Body)
	return ring.Accepted
}

func (w *simulation) keeper(name string) *Keeper {
	return New(Config{
		Self: name, Leases: w, Engines: w, Homes: w, Rules: rules, Log: log.Discard(),
		Find:  func(id string) (Engine, bool) { return Engine{ID: id}, true },
		Known: func(string) bool { return true },

		LatestRestore: w.latestRestore,
	})
}

// check reports a violation of the rules by the orders that arrived: fences never decrease,
// each belongs to one holder, and no two holders give orders within one lease time.
func (w *simulation) check() string {
	holders := make(map[uint64]string)
	for i, a := range w.arrived {
		if h, known := holders[a.fence]; known && h != a.holder {
			return fmt.Sprintf("fence %d is of %s and %s", a.fence, h, a.holder)
		}
		holders[a.fence] = a.holder
		if i == 0 {
			continue
		}
		before := w.arrived[i-1]
		if a.fence < before.fence {
			return fmt.Sprintf("fence %d of %s followed %d of %s", a.fence, a.holder, before.fence, before.holder)
		}
		if a.holder != before.holder && a.at.Sub(before.at) < rules.Lease {
			return fmt.Sprintf("%s and %s both gave orders within %v", before.holder, a.holder, a.at.Sub(before.at))
		}
	}
	return ""
}

// TestOracleHolders lets three boxes order one engine back and forth, over a store and
// links that are slow, lose answers and apply writes late. The store may also come back
// from an older copy.
func TestOracleHolders(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type want struct {
			at      time.Duration
			box     int
			prefill bool
		}
		wants := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) want {
			return want{
				at:      time.Duration(rapid.IntRange(0, 20_000).Draw(r, "at ms")) * time.Millisecond,
				box:     rapid.IntRange(0, 2).Draw(r, "box"),
				prefill: rapid.Bool().Draw(r, "prefill"),
			}
		}), 1, 12).Draw(r, "wants")
		luck := rapid.Uint64().Draw(r, "luck")
		storeLoses := rapid.SampledFrom([]float64{0, 0.3}).Draw(r, "store loses")
		engineLoses := rapid.SampledFrom([]float64{0, 0.3}).Draw(r, "engine loses")
		slow := time.Duration(rapid.SampledFrom([]int{5, 600, 2500}).Draw(r, "slow ms")) * time.Millisecond
		copied := time.Duration(rapid.SampledFrom([]int{-1, 0, 3000, 6000, 11_000}).Draw(r, "copied ms")) * time.Millisecond
		away := time.Duration(rapid.SampledFrom([]int{500, 2500}).Draw(r, "away ms")) * time.Millisecond
		noticed := time.Duration(rapid.SampledFrom([]int{10, 2000}).Draw(r, "noticed ms")) * time.Millisecond
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			w := &simulation{random: rand.New(rand.NewPCG(luck, 1)), storeLoss: storeLoses, engineLoss: engineLoses, maxDelay: slow, prefill: true}
			var keepers []*Keeper
			for i := range 3 {
				k := w.keeper(fmt.Sprint("box-", i))
				keepers = append(keepers, k)
				go func() { _ = k.Run(ctx) }()
			}
			for _, x := range wants {
				time.AfterFunc(x.at, func() {
					c := home.StageChanges{Prefills: []string{"e"}, ToDecode: []string{"e"}}
					if x.prefill {
						c = home.StageChanges{ToPrefill: []string{"e"}}
					}
					_ = keepers[x.box].Offer(c)
				})
			}
			if copied >= 0 {
				time.AfterFunc(copied, func() { w.restoreCopy(away, noticed) })
			}
			time.Sleep(2 * time.Minute)
			cancel()
			time.Sleep(time.Minute)
			w.mutex.Lock()
			defer w.mutex.Unlock()
			failure = w.check()
		})
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

// withoutFaults runs a test on a simulation without faults.
func withoutFaults(t *testing.T, body func(ctx context.Context, w *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		body(t.Context(), &simulation{random: rand.New(rand.NewPCG(1, 1)), prefill: true})
	})
}

// TestLeaseThatTheStoreHasLost guards against two holders within one lease time: one box
// orders an engine under a lease that the store then loses, and another box orders it at
// once.
func TestLeaseThatTheStoreHasLost(t *testing.T) {
	cases := map[string]struct {
		// known means that the second box has learned of the return from other calls, and
		// held that it had a lease of its own before.
		known, held bool
	}{
		"nothing is known of the return": {},
		"the return is known":            {known: true},
		"the second held it before":      {held: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withoutFaults(t, func(ctx context.Context, w *simulation) {
				first, second := w.keeper("a"), w.keeper("b")
				if c.held {
					if _, err := second.acquire(ctx, "e"); err != nil {
						t.Fatal(err)
					}
				}
				copied, lease := w.revision, w.lease
				first.orderOne(ctx, change{engine: "e"})
				w.revision, w.lease, w.era = copied, lease, 1
				if c.known {
					w.returned = time.Now()
				}
				second.orderOne(ctx, change{engine: "e", prefill: true})
				if len(w.arrived) != 2 {
					t.Fatalf("%d orders arrived, want that of each", len(w.arrived))
				}
				if failure := w.check(); failure != "" {
					t.Error(failure)
				}
			})
		})
	}
}

// TestEngineThatLeavesBeforeItsOrder checks that no order is sent if the engine's zone is
// drained while its lease is being written.
func TestEngineThatLeavesBeforeItsOrder(t *testing.T) {
	withoutFaults(t, func(ctx context.Context, w *simulation) {
		k := w.keeper("a")
		looks := 0
		k.cfg.Find = func(id string) (Engine, bool) {
			looks++
			return Engine{ID: id}, looks == 1
		}
		if err := k.change(ctx, change{group: "g", engine: "e"}); !errors.Is(err, errLeft) || len(w.arrived) != 0 {
			t.Errorf("%d orders arrived, error %v", len(w.arrived), err)
		}
	})
}

// TestEnginesOfAnEarlierHome checks that engines which an earlier home has ordered count as
// changed. A home that did not know of those orders once left a group without any engine
// that prefills.
func TestEnginesOfAnEarlierHome(t *testing.T) {
	cases := map[string]struct {
		busy, prefill bool
		wanted        int
		orders        int
		received      home.Body
	}{
		"one is spare":           {prefill: true, wanted: 0, orders: 1},
		"none is spare":          {prefill: true, wanted: 1, received: home.StageRefused{Engine: "e"}},
		"it is changing":         {prefill: true, busy: true, received: home.StageChanging{Engine: "e"}},
		"it has changed already": {received: home.StageChanging{Engine: "e"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withoutFaults(t, func(ctx context.Context, w *simulation) {
				w.prefill, w.busy = c.prefill, c.busy
				w.keeper("a").carryOut(ctx, home.StageChanges{Group: "g", Prefills: []string{"e"}, Wanted: c.wanted, ToDecode: []string{"e"}})
				if len(w.arrived) != c.orders {
					t.Errorf("%d orders, want %d", len(w.arrived), c.orders)
				}
				if c.received != nil && (len(w.received) == 0 || w.received[0] != c.received) {
					t.Errorf("the home received %v, want %v", w.received, c.received)
				}
			})
		})
	}
}

func TestOrders(t *testing.T) {
	toDecode := change{engine: "e"}
	t.Run("an engine that nobody ordered changes at once", func(t *testing.T) {
		withoutFaults(t, func(ctx context.Context, w *simulation) {
			begin := time.Now()
			if err := w.keeper("a").change(ctx, toDecode); err != nil || w.prefill {
				t.Errorf("prefill %v, error %v", w.prefill, err)
			}
			if took := time.Since(begin); took > time.Second {
				t.Errorf("took %v", took)
			}
		})
	})
	t.Run("an engine that another box ordered changes after a wait", func(t *testing.T) {
		withoutFaults(t, func(ctx context.Context, w *simulation) {
			if err := w.keeper("a").change(ctx, toDecode); err != nil {
				t.Error(err)
			}
			begin := time.Now()
			if err := w.keeper("b").change(ctx, change{engine: "e", prefill: true}); err != nil || !w.prefill {
				t.Errorf("prefill %v, error %v", w.prefill, err)
			}
			if took := time.Since(begin); took < 2*rules.Lease+rules.Thaw {
				t.Errorf("waited only %v", took)
			}
		})
	})
	t.Run("an engine that has the stage gets no order", func(t *testing.T) {
		withoutFaults(t, func(ctx context.Context, w *simulation) {
			if err := w.keeper("a").change(ctx, change{engine: "e", prefill: true}); err != nil || len(w.arrived) > 0 {
				t.Errorf("orders %d, error %v", len(w.arrived), err)
			}
		})
	})
	t.Run("after a lost answer nothing more is ordered for a while", func(t *testing.T) {
		withoutFaults(t, func(ctx context.Context, w *simulation) {
			w.engineLoss = 1
			k := w.keeper("a")
			if err := k.change(ctx, toDecode); !errors.Is(err, errUnanswered) {
				t.Errorf("error %v", err)
			}
			if err := k.change(ctx, toDecode); !errors.Is(err, errBusy) {
				t.Errorf("second order: %v", err)
			}
			time.Sleep(unansweredFor)
			if err := k.change(ctx, toDecode); err != nil || w.runs != 1 {
				t.Errorf("after the order was carried out late: %v, %d carried out", err, w.runs)
			}
		})
	})
	t.Run("a box that was paused between its lease and its order gives none", func(t *testing.T) {
		withoutFaults(t, func(ctx context.Context, w *simulation) {
			k := w.keeper("a")
			h, err := k.acquire(ctx, "e")
			if err != nil {
				t.Error(err)
			}
			time.Sleep(rules.Lease)
			if err := k.order(ctx, Engine{ID: "e"}, h, Order{Holder: "a", Fence: h.revision}); !errors.Is(err, errTooLate) || len(w.arrived) > 0 {
				t.Errorf("error %v, %d orders", err, len(w.arrived))
			}
		})
	})
	t.Run("a lease whose write got no answer does not shorten the wait", func(t *testing.T) {
		withoutFaults(t, func(ctx context.Context, w *simulation) {
			if err := w.keeper("a").change(ctx, toDecode); err != nil {
				t.Error(err)
			}
			b, back := w.keeper("b"), change{engine: "e", prefill: true}
			w.storeLoss = 1
			if err := b.change(ctx, back); !errors.Is(err, errLost) {
				t.Errorf("error %v", err)
			}
			w.storeLoss = 0
			if err := b.change(ctx, back); err != nil {
				t.Error(err)
			}
			if took := w.arrived[1].at.Sub(w.arrived[0].at); took < 2*rules.Lease {
				t.Errorf("ordered %v after the other box", took)
			}
		})
	})
	t.Run("a box that restarts waits for its own earlier lease to expire", func(t *testing.T) {
		withoutFaults(t, func(ctx context.Context, w *simulation) {
			if err := w.keeper("a").change(ctx, toDecode); err != nil {
				t.Error(err)
			}
			begin := time.Now()
			if err := w.keeper("a").change(ctx, change{engine: "e", prefill: true}); err != nil {
				t.Error(err)
			}
			if took := time.Since(begin); took < 2*rules.Lease || w.arrived[1].fence <= w.arrived[0].fence {
				t.Errorf("fences %d, %d after %v", w.arrived[0].fence, w.arrived[1].fence, took)
			}
		})
	})
}
