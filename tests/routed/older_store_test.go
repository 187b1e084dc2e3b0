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
	// lostWrites is how many writes the store loses, whose revisions it assigns again: more than
	// boxes themselves write in these tests.
	lostWrites = 200
	// observeTime is how long boxes are observed that must not fall back to the older state.
	observeTime = 2 * time.Second
)

// restoreCopy takes the store out of service for 300 ms and restores it from a copy, so that it
// loses everything written since.
func (s *site) restoreCopy(c standin.Copy) {
	s.store.SetFault(standin.Reset)
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(c)
	s.store.SetFault(standin.Healthy)
}

// writeAfterCopy makes writes that an earlier copy lacks and waits until all boxes have seen them.
func (s *site) writeAfterCopy() {
	at := uint64(0)
	for i := range lostWrites {
		at = s.store.Put("notes", "note", i)
	}
	for _, b := range s.boxes {
		s.eventually("the box stands at the last write", func() bool { return b.Directory().At() >= at })
	}
}

// servesVersion reports whether a box serves the route that a version of the configuration added.
func (s *site) servesVersion(b *runningBox, version int) bool {
	a := s.send(b, http.MethodPost, fmt.Sprintf("/added-%d/x", version), "", nil)
	return a.status == http.StatusOK
}

func TestChangesAfterAnOlderStoreReturned(t *testing.T) {
	cases := map[string]struct {
		// change is made after the store has returned, and holds reports whether a box has applied it.
		change func(s *site)
		holds  func(s *site, b *runningBox) bool
	}{
		"a configuration": {
			change: func(s *site) { s.store.Put("config", "main", configuration(3)) },
			holds:  func(s *site, b *runningBox) bool { return s.servesVersion(b, 3) },
		},
		"an endpoint that leaves": {
			change: func(s *site) { s.store.Put("servers", "p1", s.endpoints["p1"].Spec(true)) },
			holds:  func(_ *site, b *runningBox) bool { return b.knowsUnusable("p1") },
		},
		"an endpoint that is gone": {
			change: func(s *site) { s.store.Delete("servers", "p1") },
			holds:  func(_ *site, b *runningBox) bool { return b.knowsUnusable("p1") },
		},
		"an endpoint that starts": {
			change: func(s *site) { s.add(standin.EndpointConfig{ID: "p4", Service: plainService, Zone: "zone-a"}) },
			holds: func(_ *site, b *runningBox) bool {
				status, known := b.Directory().Status("p4")
				return known && status.Usable()
			},
		},
		"a drained zone": {
			change: func(s *site) { s.drain("zone-b") },
			holds:  func(_ *site, b *runningBox) bool { return b.knowsDrained("zone-b") },
		},
		"a zone that was taken back": {
			change: func(s *site) { s.drain("zone-b"); s.undrain("zone-b"); s.drain("zone-c") },
			holds:  func(_ *site, b *runningBox) bool { return b.knowsDrained("zone-c") && !b.knowsDrained("zone-b") },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			convey.Convey("Writes after the restore of an older copy of the store reach all boxes in time", t, func() {
				s := newSite(t, 3, plainEndpoints()...)
				copied := s.store.Copy()
				s.writeAfterCopy()
				s.store.Put("config", "main", configuration(2))
				for _, b := range s.boxes {
					s.eventually("the box has the configuration", func() bool { return s.servesVersion(b, 2) })
				}
				s.restoreCopy(copied)
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
		// lost makes a write that the copy lacks, and known reports whether a box has applied it.
		lost  func(s *site)
		known func(s *site, b *runningBox) bool
	}{
		"a configuration": {
			lost:  func(s *site) { s.store.Put("config", "main", configuration(2)) },
			known: func(s *site, b *runningBox) bool { return s.servesVersion(b, 2) },
		},
		"an endpoint that leaves": {
			lost:  func(s *site) { s.store.Put("servers", "p1", s.endpoints["p1"].Spec(true)) },
			known: func(_ *site, b *runningBox) bool { return b.knowsUnusable("p1") },
		},
		"an endpoint that is gone": {
			lost:  func(s *site) { s.store.Delete("servers", "p1") },
			known: func(_ *site, b *runningBox) bool { return b.knowsUnusable("p1") },
		},
		"a drained zone": {
			lost:  func(s *site) { s.drain("zone-b") },
			known: func(_ *site, b *runningBox) bool { return b.knowsDrained("zone-b") },
		},
		"a zone that was taken back": {
			lost:  func(s *site) { s.undrain("zone-c") },
			known: func(_ *site, b *runningBox) bool { return !b.knowsDrained("zone-c") },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			convey.Convey("Boxes keep what the store has lost until it is written again", t, func() {
				s := newSite(t, 3, plainEndpoints()...)
				s.drain("zone-c")
				s.waitDrained("zone-c", true)
				copied := s.store.Copy()
				s.writeAfterCopy()
				c.lost(s)
				for _, b := range s.boxes {
					s.eventually("the box knows it", func() bool { return c.known(s, b) })
				}
				s.restoreCopy(copied)
				for until := time.Now().Add(observeTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
					for i, b := range s.boxes {
						if !c.known(s, b) {
							s.t.Fatalf("box %d no longer knows it", i+1)
						}
					}
				}
			})
		})
	}
}

func TestBoxesRegisterWithAnOlderStore(t *testing.T) {
	t.Parallel()
	convey.Convey("Boxes whose entries the store has lost register again", t, func() {
		s := newSite(t, 1, plainEndpoints()...)
		s.eventually("the first box is listed", func() bool { return len(s.store.Names("boxes")) == 1 })
		copied := s.store.Copy()
		s.writeAfterCopy()
		s.start("box-2")
		s.eventually("the second box is listed", func() bool { return len(s.store.Names("boxes")) == 2 })
		s.restoreCopy(copied)
		s.eventually("the second box is listed again", func() bool { return len(s.store.Names("boxes")) == 2 })
	})
}
