// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/poison"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/state/spread"
)

// fleet is a set of boxes whose messages are delivered at once, and the endpoints that they
// see.
type fleet struct {
	names []string
	boxes map[string]*Keeper
	// sent counts the updates that each box received, and pulls the pulls.
	sent, pulls map[string]int
	cut         map[string]bool
	// zones are the boxes' zones where these matter, and crossed counts the updates between
	// zones.
	zones   map[string]string
	crossed int

	mutex     sync.Mutex
	directory directory.Directory
	// answers are the results of connecting to each address; a missing one means that
	// nothing answers.
	answers map[string]error
	probes  int
}

var (
	errRefused = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	errSilent  = context.DeadlineExceeded
)

func newFleet(n int) *fleet {
	f := &fleet{
		boxes: make(map[string]*Keeper), sent: make(map[string]int), pulls: make(map[string]int),
		cut: make(map[string]bool), zones: make(map[string]string), answers: make(map[string]error),
	}
	var entries []directory.Entry
	for i := range 8 {
		e := directory.Entry{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("a", i), Born: 1}
		entries = append(entries, e)
		f.answers[e.Address] = errRefused
	}
	f.directory = directory.Directory{}.WithList(time.Now(), 1, entries)
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("b%03d", i))
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

// start starts a box with an empty ledger.
func (f *fleet) start(name string) {
	f.boxes[name] = New(Config{
		Self: name, Prober: f, Peers: link{f, name}, Log: log.Discard(),
		Find: func(id string) (directory.Status, bool) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			return f.directory.Status(id)
		},
		Ranked: func(key string) []string { return rank.Of(f.names).Order(key) },
	})
}

// Listens returns the configured result of connecting to an address.
func (f *fleet) Listens(ctx context.Context, _, address string) error {
	f.mutex.Lock()
	f.probes++
	err, known := f.answers[address]
	f.mutex.Unlock()
	if !known {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// list changes the listed endpoints.
func (f *fleet) list(change func(d directory.Directory) directory.Directory) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.directory = change(f.directory)
}

type link struct {
	f    *fleet
	from string
}

func (l link) SendSuspects(to string, u poison.Update) {
	if l.f.cut[to] || l.f.cut[l.from] {
		return
	}
	l.f.sent[to]++
	if l.f.zones[l.from] != l.f.zones[to] {
		l.f.crossed++
	}
	l.f.boxes[to].Receive(l.from, u)
}

func (l link) SendSuspectsPull(to string) {
	if !l.f.cut[to] && !l.f.cut[l.from] {
		l.f.pulls[to]++
		l.f.boxes[to].Pull(l.from)
	}
}

// exchangeDigests sends the digest of each box to every other one, after pullInterval.
func (f *fleet) exchangeDigests() {
	time.Sleep(pullInterval)
	for _, from := range f.names {
		for _, to := range f.names {
			if from != to && !f.cut[from] && !f.cut[to] {
				f.boxes[to].ReceiveDigest(from, f.boxes[from].Digest())
			}
		}
	}
}

var (
	poisoned = poison.FingerprintOf(poison.Request{Target: "/poison"})
	other    = poison.FingerprintOf(poison.Request{Target: "/other"})
)

// recordEnds records at one box that endpoints ended under a request.
func (f *fleet) recordEnds(box string, fingerprint poison.Fingerprint, endpoints ...int) {
	k := f.boxes[box]
	for _, i := range endpoints {
		status, _ := f.directory.Status(fmt.Sprint("e", i))
		k.record(&check{status: status, ended: time.Now()}, loss{fingerprint: fingerprint, ran: 50 * time.Millisecond})
	}
}

// blocking returns the boxes that block a request.
func (f *fleet) blocking(fingerprint poison.Fingerprint) map[string]bool {
	out := make(map[string]bool)
	for _, name := range f.names {
		if len(f.boxes[name].ledger.BlockedBy(time.Now(), retryParts, fingerprint, nil)) > 0 {
			out[name] = true
		}
	}
	return out
}

func TestEndsAtDifferentBoxesBlockOnAll(t *testing.T) {
	f := newFleet(150)
	f.recordEnds("b003", poisoned, 1)
	f.recordEnds("b077", poisoned, 2)
	if n := len(f.blocking(poisoned)); n != 0 {
		t.Fatalf("blocked on %d boxes after two ends", n)
	}
	f.recordEnds("b120", poisoned, 3)
	if n := len(f.blocking(poisoned)); n != 150 {
		t.Errorf("blocked on %d of 150 boxes", n)
	}
	own := map[string]int{"b003": 1, "b077": 1, "b120": 1}
	for _, name := range f.names {
		if n := f.sent[name] + own[name]; n != 3 {
			t.Errorf("%s got %d updates of three", name, n)
		}
	}
}

// TestUpdatesCrossOnce checks that an update goes from one region to another in a single
// message.
func TestUpdatesCrossOnce(t *testing.T) {
	f := newFleet(150)
	regions := locality.New(map[string]string{"n": "north", "s": "south"})
	var boxes []member.Box
	for i, name := range f.names {
		boxes = append(boxes, member.Box{Name: name, Zone: []string{"n", "s"}[i%2]})
	}
	for _, b := range boxes {
		f.zones[b.Name] = b.Zone
		way := spread.New(b, boxes, regions)
		f.boxes[b.Name].cfg.Ranked, f.boxes[b.Name].cfg.RegionEntries = way.Near, way.RegionEntries
	}
	f.recordEnds("b003", poisoned, 1, 2, 3)
	if n := len(f.blocking(poisoned)); n != 150 {
		t.Errorf("blocked on %d of 150 boxes", n)
	}
	if f.crossed != 3 {
		t.Errorf("%d messages went to the other region for three ends", f.crossed)
	}
}

func TestMissedEndsAreAskedFor(t *testing.T) {
	const last = "b005"
	cases := map[string]struct {
		// missed happens while the last box receives nothing.
		missed func(f *fleet)
		want   map[poison.Fingerprint]int
	}{
		"a box that was cut off": {func(f *fleet) { f.recordEnds("b000", poisoned, 1, 2, 3) }, map[poison.Fingerprint]int{poisoned: 6}},
		"a box that starts":      {func(f *fleet) { f.recordEnds("b000", poisoned, 1, 2, 3); f.start(last) }, map[poison.Fingerprint]int{poisoned: 6}},
		"a box that was paused, and its clock with it": {
			func(f *fleet) {
				f.recordEnds("b000", poisoned, 1, 2, 3)
				f.boxes[last].cfg.Now = func() time.Time { return time.Now().Add(-20 * time.Second) }
			},
			map[poison.Fingerprint]int{poisoned: 6},
		},
		"a box that recorded ends of its own": {
			func(f *fleet) {
				f.recordEnds(last, poisoned, 1)
				f.recordEnds("b000", poisoned, 2, 3)
			},
			map[poison.Fingerprint]int{poisoned: 6},
		},
		"an answer": {
			func(f *fleet) {
				f.recordEnds(last, poisoned, 1, 2, 3)
				f.recordEnds("b000", poisoned, 1)
				f.boxes["b000"].answered(poisoned)
				f.recordEnds("b000", poisoned, 4)
			},
			map[poison.Fingerprint]int{poisoned: 6},
		},
		"all others restarted": {
			func(f *fleet) {
				f.recordEnds(last, poisoned, 1, 2, 3)
				for _, name := range f.names[:5] {
					f.start(name)
				}
			},
			map[poison.Fingerprint]int{poisoned: 6},
		},
		"nothing": {func(*fleet) {}, map[poison.Fingerprint]int{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(6)
				f.recordEnds("b001", other, 1, 2)
				f.cut[last] = true
				c.missed(f)
				f.cut[last] = false
				for range 4 {
					f.exchangeDigests()
				}
				for _, fingerprint := range []poison.Fingerprint{poisoned, other} {
					if got := len(f.blocking(fingerprint)); got != c.want[fingerprint] {
						t.Errorf("%s is blocked on %d boxes, want %d", fingerprint, got, c.want[fingerprint])
					}
				}
				digest := f.boxes["b000"].Digest()
				for _, name := range f.names {
					if f.boxes[name].Digest() != digest {
						t.Errorf("%s knows other suspects", name)
					}
				}
				asked := maps.Clone(f.pulls)
				f.exchangeDigests()
				if !maps.Equal(asked, f.pulls) {
					t.Errorf("boxes that agree go on pulling: %v, then %v", asked, f.pulls)
				}
			})
		})
	}
}

func TestAnswerElsewhereClearsOnAll(t *testing.T) {
	f := newFleet(20)
	f.recordEnds("b000", other, 1, 2, 3)
	f.boxes["b007"].answered(other)
	if n := len(f.blocking(other)); n != 0 {
		t.Errorf("blocked on %d boxes although it was answered", n)
	}
}

// TestRepeatedRequestsAreRemembered sends a poison request to one box only: the others must
// remember it too, and few messages per box must suffice for that.
func TestRepeatedRequestsAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(10)
		f.recordEnds("b000", poisoned, 1, 2, 3)
		clear(f.sent)
		const tries = 200
		for range tries {
			time.Sleep(2 * poison.Keep / tries)
			if !f.boxes["b004"].blocked(poisoned, nil) {
				t.Fatal("the poison request was not blocked")
			}
		}
		for _, k := range f.boxes {
			k.update("age", func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect) { return l.Without(now), nil })
		}
		if n := len(f.blocking(poisoned)); n != 10 {
			t.Errorf("blocked on %d of 10 boxes after two minutes", n)
		}
		if f.sent["b009"] > 40 {
			t.Errorf("a box received %d updates in two minutes", f.sent["b009"])
		}
		time.Sleep(poison.Keep)
		for _, k := range f.boxes {
			k.update("age", func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect) { return l.Without(now), nil })
			if k.anySuspects() || k.Digest() != 0 {
				t.Fatal("still kept although the request has stopped coming")
			}
		}
	})
}

// TestWhatEndsAnEndpoint lets an exchange break off and varies what becomes known of its
// endpoint: the request is suspected only if the endpoint ended.
func TestWhatEndsAnEndpoint(t *testing.T) {
	entry := func(change func(e *directory.Entry)) func(d directory.Directory) directory.Directory {
		return func(d directory.Directory) directory.Directory {
			s, _ := d.Status("e1")
			e := s.Entry
			change(&e)
			return d.WithChanges(time.Now(), d.At()+1, []directory.Change{{Entry: e}})
		}
	}
	gone := func(d directory.Directory) directory.Directory {
		return d.WithChanges(time.Now(), d.At()+1, []directory.Change{{Entry: directory.Entry{ID: "e1"}, Gone: true}})
	}
	draining := entry(func(e *directory.Entry) { e.Draining = true })
	bornAgain := entry(func(e *directory.Entry) { e.Born = 2 })
	listening := error(nil)
	cases := map[string]struct {
		// before and after change the list before the loss and 4 s after it.
		before, after func(d directory.Directory) directory.Directory
		answer        error
		silent        bool
		want          bool
	}{
		"nothing listens there": {answer: errRefused, want: true},
		"it listens":            {answer: listening},
		"it listens, and starts again under its id": {answer: listening, after: bornAgain, want: true},
		"it listens, and another has its address": {answer: listening, after: func(d directory.Directory) directory.Directory {
			w, _ := d.Status("e1")
			return d.WithReplaced("e1", w.Address)
		}, want: true},
		"it listens, and leaves unannounced":    {answer: listening, after: gone},
		"it is silent":                          {silent: true},
		"it is silent, and its entry goes":      {silent: true, after: gone, want: true},
		"it is silent, and says that it drains": {silent: true, after: draining},
		"it was draining":                       {answer: errRefused, before: draining},
		"it was not listed any more":            {answer: errRefused, before: gone},
		"the connection times out":              {answer: errSilent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1)
				k := f.boxes["b000"]
				f.answers["a1"] = c.answer
				if c.silent {
					delete(f.answers, "a1")
				}
				if c.before != nil {
					f.list(c.before)
				}
				ctx, end := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = k.Run(ctx) })
				k.reportLoss(loss{fingerprint: poisoned, endpoint: "e1", ran: time.Second})
				time.Sleep(4 * time.Second)
				if c.after != nil {
					f.list(c.after)
				}
				time.Sleep(checkTTL)
				if k.anySuspects() != c.want {
					t.Errorf("suspected: %v, want %v", k.anySuspects(), c.want)
				}
				end()
				running.Wait()
				if len(k.checks) != 0 {
					t.Errorf("%d endpoints are still under check", len(k.checks))
				}
			})
		})
	}
}

// TestLossesAfterAnEnd breaks off a request that was sent to an endpoint after another
// request had broken off there.
func TestLossesAfterAnEnd(t *testing.T) {
	cases := map[string]struct {
		answer error
		// endsBetween ends the endpoint before the second request is sent.
		endsBetween bool
		born        int64
		probes      int
		want        bool
	}{
		"it had ended":                           {answer: errRefused, born: 1, probes: 1},
		"it had ended, and its start is unknown": {answer: errRefused, probes: 2, want: true},
		"it listened, and ends":                  {endsBetween: true, born: 1, probes: 2, want: true},
		"it listened, and still listens":         {born: 1, probes: 2},
		"it could not be reached":                {answer: errSilent, born: 1, probes: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1)
				k := f.boxes["b000"]
				f.answers["a1"] = c.answer
				f.list(func(d directory.Directory) directory.Directory {
					return d.WithChanges(time.Now(), 2, []directory.Change{{Entry: directory.Entry{ID: "e1", Service: "s", Address: "a1", Born: c.born}}})
				})
				ctx, end := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = k.Run(ctx) })
				k.reportLoss(loss{fingerprint: other, endpoint: "e1", ran: time.Second})
				time.Sleep(time.Second)
				if c.endsBetween {
					f.mutex.Lock()
					f.answers["a1"] = errRefused
					f.mutex.Unlock()
				}
				k.reportLoss(loss{fingerprint: poisoned, endpoint: "e1", ran: time.Millisecond})
				time.Sleep(time.Second)
				end()
				running.Wait()
				if _, suspected := k.ledger.Suspect(poisoned); suspected != c.want || f.probes != c.probes {
					t.Errorf("suspected: %v, want %v; %d probes, want %d", suspected, c.want, f.probes, c.probes)
				}
			})
		})
	}
}

// TestLossesHandledLate lets two requests break off at the same time, and a busy box
// handle them one by one: each was sent before the end, however late it is handled.
func TestLossesHandledLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		k := f.boxes["b000"]
		status, _ := f.directory.Status("e1")
		ctx, end := context.WithCancel(t.Context())
		broke := time.Now()
		for _, fingerprint := range []poison.Fingerprint{other, poisoned} {
			k.handleLoss(ctx, loss{fingerprint: fingerprint, endpoint: "e1", at: broke, ran: 10 * time.Millisecond, status: status})
			time.Sleep(50 * time.Millisecond)
		}
		k.handleProbe(<-k.probed)
		if _, suspected := k.ledger.Suspect(poisoned); !suspected {
			t.Error("the request that was handled last is not suspected")
		}
		end()
	})
}

// TestManyLossesOneProbe breaks off all requests of an endpoint: the endpoint is probed
// once, and exchanges that break off later count too.
func TestManyLossesOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		k := f.boxes["b000"]
		ctx, end := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = k.Run(ctx) })
		lose := func(i int) {
			k.reportLoss(loss{fingerprint: poison.FingerprintOf(poison.Request{Target: fmt.Sprint(i)}), endpoint: "e1", ran: checkTTL})
		}
		const losses = 64
		for i := range losses {
			lose(i)
		}
		time.Sleep(checkTTL / 2)
		lose(losses)
		synctest.Wait()
		if f.probes != 1 || k.Status().Suspects != losses+1 {
			t.Errorf("%d probes, %d suspects", f.probes, k.Status().Suspects)
		}
		end()
		running.Wait()
	})
}

// slowProber finds that nothing listens, after a time.
type slowProber time.Duration

func (p slowProber) Listens(context.Context, string, string) error {
	time.Sleep(time.Duration(p))
	return errRefused
}

func TestRequestIsSentAgainBeforeTheEndOfItsEndpointIsKnown(t *testing.T) {
	cases := map[string]struct {
		takes time.Duration
		known bool
	}{
		"the check is quick": {takes: checkTime / 2, known: true},
		"the check is slow":  {takes: 2 * checkTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1)
				k := f.boxes[f.names[0]]
				k.cfg.Prober = slowProber(c.takes)
				ctx, end := context.WithCancel(t.Context())
				defer end()
				go func() { _ = k.Run(ctx) }()
				r := k.Request("1", "s", poison.Request{Target: "/x"})
				f.recordEnds(f.names[0], r.Fingerprint(), 1, 2)
				checked := r.BrokeOff("e3", adapter.BreakReset, time.Millisecond)
				select {
				case <-checked:
				case <-time.After(checkTime):
				}
				if r.Poisonous() != c.known {
					t.Errorf("blocked: %v", !c.known)
				}
				<-checked
				if !r.Poisonous() {
					t.Error("not blocked after the check")
				}
				end()
				synctest.Wait()
			})
		})
	}
}
