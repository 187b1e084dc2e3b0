// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
)

const (
	// lostWrites is how many revisions the store gives out again: more than boxes cause by
	// themselves in these tests.
	lostWrites = 200
	// holdTime is for how long boxes are watched that must not go back.
	holdTime = 2 * time.Second
)

// returnOlder takes the store away for a moment and has it come back from a copy, with
// none of what was written since.
func (s *site) returnOlder(c standin.Copy) {
	s.store.SetFault(standin.Reset)
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(c)
	s.store.SetFault(standin.Healthy)
}

// loseWrites writes what a copy that was taken before lacks, and has all boxes see it.
func (s *site) loseWrites() {
	at := uint64(0)
	for i := range lostWrites {
		at = s.store.Put("notes", "note", i)
	}
	for _, b := range s.boxes {
		s.eventually("the box stands at the last write", func() bool { return b.Directory().At() >= at })
	}
}

// routes says whether a box has a route of a version of the configuration.
func (s *site) routes(b *running, version int) bool {
	a := s.send(b, http.MethodPost, fmt.Sprintf("/added-%d/x", version), "", nil)
	return a.status == http.StatusOK
}

func TestChangesAfterAnOlderStoreReturned(t *testing.T) {
	cases := map[string]struct {
		// change is made after the return, and holds says whether a box has taken it in.
		change func(s *site)
		holds  func(s *site, b *running) bool
	}{
		"a configuration": {
			change: func(s *site) { s.store.Put("config", "main", configuration(3)) },
			holds:  func(s *site, b *running) bool { return s.routes(b, 3) },
		},
		"an endpoint that leaves": {
			change: func(s *site) { s.store.Put("servers", "p1", s.ends["p1"].Spec(true)) },
			holds:  func(_ *site, b *running) bool { return b.left("p1") },
		},
		"an endpoint that is gone": {
			change: func(s *site) { s.store.Delete("servers", "p1") },
			holds:  func(_ *site, b *running) bool { return b.left("p1") },
		},
		"an endpoint that starts": {
			change: func(s *site) { s.add(standin.EndpointConfig{ID: "p4", Service: plainService, Zone: "zone-a"}) },
			holds: func(_ *site, b *running) bool {
				status, known := b.Directory().Status("p4")
				return known && status.Usable()
			},
		},
		"a drained zone": {
			change: func(s *site) { s.drain("zone-b") },
			holds:  func(_ *site, b *running) bool { return b.knows("zone-b") },
		},
		"a zone that was taken back": {
			change: func(s *site) { s.drain("zone-b"); s.takeBack("zone-b"); s.drain("zone-c") },
			holds:  func(_ *site, b *running) bool { return b.knows("zone-c") && !b.knows("zone-b") },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			convey.Convey("What is written after the store came back older reaches all boxes in time", t, func() {
				s := newSite(t, 3, plainEnds()...)
				copied := s.store.Copy()
				s.loseWrites()
				s.store.Put("config", "main", configuration(2))
				for _, b := range s.boxes {
					s.eventually("the box has the configuration", func() bool { return s.routes(b, 2) })
				}
				s.returnOlder(copied)
				s.store.Put("config", "main", configuration(2))
				time.Sleep(time.Second)
				c.change(s)
				for _, b := range s.boxes {
					s.eventually("the box has it", func() bool { return c.holds(s, b) })
				}
			})
		})
	}
}

func TestBoxesFollowAnOlderStoreBack(t *testing.T) {
	cases := map[string]struct {
		// lost is what was written after the copy, and known says whether a box knows it.
		lost  func(s *site)
		known func(s *site, b *running) bool
	}{
		"a configuration": {
			lost:  func(s *site) { s.store.Put("config", "main", configuration(2)) },
			known: func(s *site, b *running) bool { return s.routes(b, 2) },
		},
		"an endpoint that leaves": {
			lost:  func(s *site) { s.store.Put("servers", "p1", s.ends["p1"].Spec(true)) },
			known: func(_ *site, b *running) bool { return b.left("p1") },
		},
		"an endpoint that is gone": {
			lost:  func(s *site) { s.store.Delete("servers", "p1") },
			known: func(_ *site, b *running) bool { return b.left("p1") },
		},
		"a drained zone": {
			lost:  func(s *site) { s.drain("zone-b") },
			known: func(_ *site, b *running) bool { return b.knows("zone-b") },
		},
		"a zone that was taken back": {
			lost:  func(s *site) { s.takeBack("zone-c") },
			known: func(_ *site, b *running) bool { return !b.knows("zone-c") },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			convey.Convey("What boxes know and the store has lost holds until it is written again", t, func() {
				s := newSite(t, 3, plainEnds()...)
				s.drain("zone-c")
				s.allKnow("zone-c", true)
				copied := s.store.Copy()
				s.loseWrites()
				c.lost(s)
				for _, b := range s.boxes {
					s.eventually("the box knows it", func() bool { return c.known(s, b) })
				}
				s.returnOlder(copied)
				for until := time.Now().Add(holdTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
					for i, b := range s.boxes {
						if !c.known(s, b) {
							s.t.Fatalf("box %d has forgotten it", i+1)
						}
					}
				}
			})
		})
	}
}

func TestBoxesRegisterWithAnOlderStore(t *testing.T) {
	t.Parallel()
	convey.Convey("Boxes whose entries the store has lost are on its list again", t, func() {
		s := newSite(t, 1, plainEnds()...)
		s.eventually("the first box is listed", func() bool { return len(s.store.Names("boxes")) == 1 })
		copied := s.store.Copy()
		s.loseWrites()
		s.start("box-2")
		s.eventually("the second box is listed", func() bool { return len(s.store.Names("boxes")) == 2 })
		s.returnOlder(copied)
		s.eventually("the second box is listed again", func() bool { return len(s.store.Names("boxes")) == 2 })
	})
}
