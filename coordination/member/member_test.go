// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/member"
)

// noNetwork drops messages and returns an empty list.
type noNetwork struct{}

func (noNetwork) SendMember(string, member.Message) ring.Outcome { return ring.Accepted }

func (noNetwork) Boxes(context.Context) ([]adapter.Box, error) { return nil, nil }

// TestManyChangesArePublishedTogether starts a fleet of 300 boxes whose starts are
// received one by one, where handling a publication takes 5 ms.
func TestManyChangesArePublishedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes, cost = 300, 5 * time.Millisecond
		published, known := 0, 0
		m := New(Config{
			View:   member.Config{Self: member.Box{Name: "self", Start: 1, Incarnation: 1}},
			Sender: noNetwork{}, Platform: noNetwork{}, Log: log.Discard(), OnPause: func() {},
			OnChange: func(s Snapshot) {
				time.Sleep(cost)
				published++
				known = len(s.Duty)
			},
		})
		ctx, end := context.WithCancel(t.Context())
		defer end()
		go func() { _ = m.Run(ctx) }()
		begin := time.Now()
		for i := range boxes {
			b := member.Box{Name: fmt.Sprintf("box-%03d", i), Address: "127.0.0.1:1", Start: 1, Incarnation: 1}
			m.Receive(b.Name, member.Message{Kind: member.Ack, Updates: []member.Box{b}})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(maxPublishDelay + time.Second)
		synctest.Wait()
		if known != boxes+1 {
			t.Errorf("the last published view has %d boxes, want %d", known, boxes+1)
		}
		// A tenth of the time, plus the first change and those that expire later.
		if spent := time.Duration(published) * cost; spent > time.Since(begin)/5 {
			t.Errorf("%d changes were published, %v of %v", published, spent, time.Since(begin))
		}
	})
}

// growingList is a platform whose list is empty at the first read.
type growingList struct {
	noNetwork
	reads atomic.Int64
	later []adapter.Box
}

func (g *growingList) Boxes(context.Context) ([]adapter.Box, error) {
	if g.reads.Add(1) == 1 {
		return nil, nil
	}
	return g.later, nil
}

// TestFirstStart starts a box on an empty list, which other boxes join at the same time,
// and a box that never finds itself on the list.
func TestFirstStart(t *testing.T) {
	box := func(name string) adapter.Box { return adapter.Box{Name: name, Address: "127.0.0.1:1"} }
	cases := map[string]struct {
		later []adapter.Box
		known int
		// reads is the maximum number of reads in ten seconds.
		reads int64
	}{
		"all join":        {later: []adapter.Box{box("a"), box("b"), box("self")}, known: 3, reads: 7},
		"it stays absent": {later: []adapter.Box{box("a"), box("b")}, known: 3, reads: 11},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := &growingList{later: c.later}
				m := New(Config{
					View:   member.Config{Self: member.Box{Name: "self", Start: 1, Incarnation: 1}},
					Sender: noNetwork{}, Platform: list, Log: log.Discard(), OnPause: func() {}, OnChange: func(Snapshot) {},
				})
				ctx, end := context.WithCancel(t.Context())
				defer end()
				go func() { _ = m.Run(ctx) }()
				time.Sleep(500 * time.Millisecond)
				synctest.Wait()
				if known := len(m.Snapshot().All); known != c.known {
					t.Errorf("half a second after its start the box knows %d boxes, want %d", known, c.known)
				}
				time.Sleep(9500 * time.Millisecond)
				synctest.Wait()
				if reads := list.reads.Load(); reads > c.reads {
					t.Errorf("the list was read %d times in ten seconds, want %d at most", reads, c.reads)
				}
			})
		})
	}
}
