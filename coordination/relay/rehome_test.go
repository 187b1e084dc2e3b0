// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"sync"
	"testing"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
)

// movingHomes are the homes of two groups; every lookup returns another home.
type movingHomes struct {
	mutex sync.Mutex
	turn  int
	// withdrawnFrom lists the group of each withdrawal.
	withdrawnFrom []string
}

func (*movingHomes) PlacesOf(string) []group.Place { return []group.Place{{Key: "a"}, {Key: "b"}} }

func (m *movingHomes) HomesOf(group string) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.turn++
	return []string{group + string(rune('0'+m.turn%10))}
}

func (m *movingHomes) Send(_, group string, body home.Body) ring.Outcome {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, ok := body.(home.Withdrawn); ok {
		m.withdrawnFrom = append(m.withdrawnFrom, group)
	}
	return ring.Accepted
}

// TestRehomeWhileTheGroupChanges guards against rehome reading the group while another
// goroutine writes it; this part needs the race detector. It also checks that a withdrawal
// names the group of the request.
func TestRehomeWhileTheGroupChanges(t *testing.T) {
	homes := &movingHomes{}
	r := New(Config{Endpoints: &failingEndpoints{}, Homes: homes, Log: log.Discard(), NextID: func() lifecycle.RequestID { return lifecycle.RequestID{} }})
	h := newHandler(r, Request{}, nil)
	h.running = true
	const rounds = 1000
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := range rounds {
			h.setGroup([]string{"a", "b"}[i%2])
		}
	})
	wg.Go(func() {
		for range rounds {
			h.rehome()
		}
	})
	wg.Wait()
	h.setGroup("a")
	homes.withdrawnFrom = nil
	h.rehome()
	if len(homes.withdrawnFrom) != 1 || homes.withdrawnFrom[0] != "a" {
		t.Errorf("withdrawn at %v, want only the group of the request", homes.withdrawnFrom)
	}
}
