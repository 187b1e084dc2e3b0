// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/member"
)

type nowhere struct{}

func (nowhere) SendMember(string, member.Message) ring.Outcome { return ring.Accepted }

func (nowhere) Boxes(context.Context) ([]adapter.Box, error) { return nil, nil }

// TestManyChangesArePublishedTogether starts a fleet of 300 boxes whose starts are
// heard one by one, where taking a change over costs 5 ms.
func TestManyChangesArePublishedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes, cost = 300, 5 * time.Millisecond
		published, known := 0, 0
		m := New(Config{
			View:   member.Config{Self: member.Box{Name: "self", Start: 1, Incarnation: 1}},
			Sender: nowhere{}, Platform: nowhere{}, Log: log.Discard(), OnPause: func() {},
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
		time.Sleep(longestPublishPause + time.Second)
		synctest.Wait()
		if known != boxes+1 {
			t.Errorf("the last that was published has %d boxes, want %d", known, boxes+1)
		}
		// A tenth of the time, beside the first change and those that expire later.
		if spent := time.Duration(published) * cost; spent > time.Since(begin)/5 {
			t.Errorf("%d changes were published, %v of %v", published, spent, time.Since(begin))
		}
	})
}
