// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package streams

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/streams"
)

const (
	service = "reader"
	horizon = 30 * time.Second
)

// fleet connects the keepers of several boxes.
type fleet struct {
	keepers map[string]*Keeper
	// mutex guards what follows, and the store.
	mutex sync.Mutex
	// silent are boxes that neither send nor receive.
	silent map[string]bool
	views  map[string]streams.View
	// order is the rank of the boxes for all keys.
	order []string
	// current reports whether the boxes hear from the platform.
	current bool
	store   memoryStore
}

// forget makes a box forget all streams.
func (f *fleet) forget(box string) {
	k := f.keepers[box]
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ledger = streams.Ledger{}
}

// change changes the fleet while the keepers run.
func (f *fleet) change(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// errAway is what a Store returns that is away.
var errAway = errors.New("store is away")

// lockedStore is the Store of a fleet.
type lockedStore struct{ f *fleet }

func (s lockedStore) SoftwareVersions(ctx context.Context, service string) ([]string, uint64, error) {
	s.f.mutex.Lock()
	defer s.f.mutex.Unlock()
	return s.f.store.SoftwareVersions(ctx, service)
}

func (s lockedStore) WriteSoftwareVersions(ctx context.Context, service string, versions []string, revision uint64) error {
	s.f.mutex.Lock()
	defer s.f.mutex.Unlock()
	return s.f.store.WriteSoftwareVersions(ctx, service, versions, revision)
}

func (s lockedStore) StreamOrigins(ctx context.Context) ([]Batch, error) {
	s.f.mutex.Lock()
	defer s.f.mutex.Unlock()
	return s.f.store.StreamOrigins(ctx)
}

func (s lockedStore) WriteStreamOrigins(ctx context.Context, name string, origins []streams.Origin, revision uint64) (uint64, error) {
	s.f.mutex.Lock()
	defer s.f.mutex.Unlock()
	return s.f.store.WriteStreamOrigins(ctx, name, origins, revision)
}

// memoryStore is a Store in memory.
type memoryStore struct {
	versions []string
	revision uint64
	writes   int
	away     bool
	// unreadable is set if another writer has written something else in their place.
	unreadable bool
	// batches are the batches of origins, and last is the revision of the latest one. lists and batchWrites count
	// the calls, and loses makes writes take effect without an answer.
	batches            map[string]Batch
	last               uint64
	lists, batchWrites int
	loses              bool
}

func (s *memoryStore) StreamOrigins(context.Context) ([]Batch, error) {
	s.lists++
	if s.away {
		return nil, errAway
	}
	return slices.Collect(maps.Values(s.batches)), nil
}

func (s *memoryStore) WriteStreamOrigins(_ context.Context, name string, origins []streams.Origin, revision uint64) (uint64, error) {
	s.batchWrites++
	if s.away {
		return 0, errAway
	}
	if s.batches[name].Revision != revision {
		return 0, adapter.ErrConflict
	}
	if s.batches == nil {
		s.batches = make(map[string]Batch)
	}
	s.last++
	s.batches[name] = Batch{Name: name, Revision: s.last, Origins: origins}
	if s.loses {
		return 0, errAway
	}
	return s.last, nil
}

func (s *memoryStore) SoftwareVersions(context.Context, string) ([]string, uint64, error) {
	switch {
	case s.away:
		return nil, 0, errAway
	case s.revision == 0:
		return nil, 0, adapter.ErrNotFound
	case s.unreadable:
		return nil, s.revision, &adapter.UnreadableError{Kind: "versions", Err: errAway}
	default:
		return s.versions, s.revision, nil
	}
}

func (s *memoryStore) WriteSoftwareVersions(_ context.Context, _ string, versions []string, revision uint64) error {
	if s.away {
		return errAway
	}
	if revision != s.revision {
		return adapter.ErrConflict
	}
	s.versions, s.revision, s.unreadable = versions, revision+1, false
	s.writes++
	return nil
}

// link is the Peers of one box of a fleet.
type link struct {
	f    *fleet
	self string
}

// deliver calls a function with another box's keeper, a millisecond later.
func (l link) deliver(to string, message func(k *Keeper)) {
	if k := l.f.keepers[to]; k != nil && !l.f.silent[to] && !l.f.silent[l.self] {
		time.AfterFunc(time.Millisecond, func() { message(k) })
	}
}

func (l link) SendOrigin(to string, o streams.Origin) {
	l.deliver(to, func(k *Keeper) { k.Receive(o) })
}

func (l link) SendOriginQuestion(to string, q Question) {
	l.deliver(to, func(k *Keeper) { k.Answer(l.self, q) })
}

func (l link) SendOriginAnswer(to string, a Answer) {
	l.deliver(to, func(k *Keeper) { k.Answered(a) })
}

func newFleet(view streams.View, boxes ...string) *fleet {
	f := &fleet{keepers: make(map[string]*Keeper), silent: make(map[string]bool), views: make(map[string]streams.View), order: boxes, current: true}
	for _, box := range boxes {
		f.views[box] = view
		f.keepers[box] = New(Config{
			Self: box, Peers: link{f, box}, Store: lockedStore{f}, Log: log.Discard(),
			Ranked: func(_ string, limit int) []string {
				f.mutex.Lock()
				defer f.mutex.Unlock()
				return f.order[:min(limit, len(f.order))]
			},
			Remote: func(string) []string { return nil },
			View: func(string, time.Duration) streams.View {
				f.mutex.Lock()
				defer f.mutex.Unlock()
				return f.views[box]
			},
			Joined:   func() bool { return true },
			Current:  func() bool { return f.current },
			Horizons: func() map[string]time.Duration { return map[string]time.Duration{service: horizon} },
		})
	}
	return f
}

var (
	mixed = streams.View{Versions: []string{"v1", "v2"}, Complete: true}
	sole  = streams.View{Versions: []string{"v1"}, Complete: true}
	fresh = streams.View{Versions: []string{"v1"}}
)

func TestFind(t *testing.T) {
	cases := map[string]struct {
		view streams.View
		// prepare changes the fleet after the stream has begun at box a; box b is asked.
		prepare func(f *fleet)
		attempt string
		source  Source
	}{
		"the box that served it has ended":              {view: mixed, prepare: func(f *fleet) { f.silent["a"] = true }, source: Recorded},
		"and one of its copies":                         {view: mixed, prepare: func(f *fleet) { f.silent["a"], f.silent["c"] = true, true; f.forget("b") }, source: Unknown},
		"other boxes have joined":                       {view: mixed, prepare: func(f *fleet) { f.order = []string{"x", "y", "c", "b", "a"}; f.forget("b") }, source: Recorded},
		"another attempt, two versions":                 {view: mixed, attempt: "other", source: Unknown},
		"another attempt, one version":                  {view: sole, attempt: "other", source: Sole},
		"one version, nobody has followed the list":     {view: fresh, attempt: "other", source: Unknown},
		"one version, one box has":                      {view: fresh, attempt: "other", prepare: func(f *fleet) { f.views["c"] = sole }, source: Sole},
		"one version, as the platform says":             {view: fresh, attempt: "other", prepare: func(f *fleet) { f.store = memoryStore{versions: []string{"v1"}, revision: 1} }, source: Sole},
		"the platform tells of another one":             {view: fresh, attempt: "other", prepare: func(f *fleet) { f.store = memoryStore{versions: []string{"v0", "v1"}, revision: 1} }, source: Unknown},
		"another box knows of another one":              {view: sole, attempt: "other", prepare: func(f *fleet) { f.views["c"] = mixed }, source: Unknown},
		"nobody answers, but the platform does":         {view: sole, attempt: "other", prepare: func(f *fleet) { f.silent["b"] = true }, source: Sole},
		"cut off from all":                              {view: sole, attempt: "other", prepare: func(f *fleet) { f.silent["b"], f.current = true, false }, source: Unknown},
		"no attempt named, two versions":                {view: mixed, attempt: "-", source: Unknown},
		"no attempt named, one version":                 {view: sole, attempt: "-", source: Sole},
		"versions are not known":                        {view: streams.View{Complete: true}, attempt: "other", source: Sole},
		"its record is older than it is remembered for": {view: mixed, prepare: func(*fleet) { time.Sleep(streams.Keep + time.Second) }, source: Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(c.view, "a", "b", "c", "d", "e")
				f.keepers["a"].Begin(service, "first", "v1")
				time.Sleep(10 * time.Millisecond)
				if c.prepare != nil {
					c.prepare(f)
				}
				attempt := "first"
				switch c.attempt {
				case "":
				case "-":
					attempt = ""
				default:
					attempt = c.attempt
				}
				begin := time.Now()
				found := f.keepers["b"].Find(t.Context(), service, attempt, horizon)
				if found.Source != c.source || found.Source == Recorded && found.Software != "v1" {
					t.Fatalf("found %+v, want %s", found, c.source)
				}
				if took := time.Since(begin); took > answerTimeout+readTimeout {
					t.Fatalf("took %v", took)
				}
				synctest.Wait()
			})
		})
	}
}

func TestLaterAttemptReplacesTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(mixed, "a", "b", "c", "d")
		f.keepers["a"].Begin(service, "first", "v1")
		time.Sleep(10 * time.Millisecond)
		f.keepers["a"].Begin(service, "first", "v2")
		time.Sleep(10 * time.Millisecond)
		if found := f.keepers["d"].Find(t.Context(), service, "first", horizon); found.Software != "v2" {
			t.Fatalf("found %+v", found)
		}
	})
}

func TestAnswerForAnEarlierProcessIsIgnored(t *testing.T) {
	convey.Convey("An answer to a question of an earlier process of a box answers none of the present one", t, func() {
		before, now := New(Config{Incarnation: 1}), New(Config{Incarnation: 2})
		answers := make(chan Answer, 1)
		asked := before.register(1, answers)[0]
		now.register(1, answers)
		now.Answered(Answer{Sequence: asked, Known: true})
		convey.So(answers, convey.ShouldBeEmpty)
	})
}

func TestSoftwareVersionsAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(fresh, "a", "b")
		for _, k := range f.keepers {
			go func() { _ = k.Run(ctx) }()
		}
		expect := func(when string, writes int, versions ...string) {
			t.Helper()
			time.Sleep(3 * recordInterval)
			synctest.Wait()
			f.mutex.Lock()
			defer f.mutex.Unlock()
			if f.store.writes != writes || !slices.Equal(f.store.versions, versions) {
				t.Fatalf("%s: %d writes, %v", when, f.store.writes, f.store.versions)
			}
		}
		expect("at the start", 1, "v1")
		f.change(func() { f.views["a"] = mixed })
		expect("a version comes", 2, "v1", "v2")
		f.change(func() { f.views["a"] = streams.View{Versions: []string{"v2"}} })
		expect("the box has not followed the list", 2, "v1", "v2")
		f.change(func() {
			f.order, f.views["b"] = []string{"b", "a"}, streams.View{Versions: []string{"v2"}, Complete: true}
		})
		expect("another box is first, and has seen the end of a version", 3, "v2")
		f.change(func() { f.store.away, f.views["b"] = true, mixed })
		expect("the platform is away", 3, "v2")
		f.change(func() { f.store.away = false })
		expect("the platform is back", 4, "v1", "v2")
		f.change(func() {
			f.store.unreadable, f.views["b"] = true, streams.View{Versions: []string{"v3"}}
		})
		expect("they cannot be read, and the box may not know all", 4, "v1", "v2")
		f.change(func() { f.views["b"] = streams.View{Versions: []string{"v3"}, Complete: true} })
		expect("they cannot be read, and the box knows all", 5, "v3")
	})
}
