// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/cleanup"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// changingTable is a table with one engine, which leaves at a time that the test chooses.
type changingTable struct {
	mutex   sync.Mutex
	leaving bool
}

func (c *changingTable) leave() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaving = true
}

func (c *changingTable) Table() table.Table {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return table.Table{Generation: 1, Endpoints: []table.Endpoint{{Name: "engine", Leaving: c.leaving}}}
}

// grantingHomes is a home that grants every ask once granted was called.
type grantingHomes struct {
	dispatcher *Dispatcher
	plan       lifecycle.Plan
	granted    func()
}

func (*grantingHomes) PlacesOf(string) []group.Place  { return []group.Place{{Key: "group"}} }
func (*grantingHomes) LeastRest(string) time.Duration { return 0 }
func (*grantingHomes) HomesOf(string) []string        { return []string{"home"} }
func (h *grantingHomes) Send(box, g string, body home.Body) ring.Outcome {
	if ask, ok := body.(schedule.Ask); ok && ask.ID.Number == 1 {
		h.granted()
		go h.dispatcher.HandleDecision(box, g, schedule.Grant{Ask: ask, Plan: h.plan})
	}
	return ring.Accepted
}

// noHolds releases nothing.
type noHolds struct{}

func (noHolds) Release(cleanup.Hold) ring.Outcome { return ring.Accepted }

// connectingEngine calls connect, as a client does while it connects, and counts the orders that it then sends.
type connectingEngine struct {
	adapter.Engine
	connect func()
	mutex   sync.Mutex
	orders  int
}

func (e *connectingEngine) order(ctx context.Context) error {
	e.connect()
	if err := adapter.CheckSend(ctx); err != nil {
		return adapter.ErrNotRun.Wrap(err, "engine")
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.orders++
	return adapter.ErrDidRun.New("engine failed")
}

func (e *connectingEngine) Prefill(ctx context.Context, _ table.Endpoint, _ lifecycle.AttemptID, _ adapter.Prompt, _ bool) (adapter.Prefilled, error) {
	return adapter.Prefilled{}, e.order(ctx)
}

func (e *connectingEngine) Decode(ctx context.Context, _ table.Endpoint, _ lifecycle.AttemptID, _ adapter.Decode, _ bool, _ func(adapter.Token) bool) error {
	return e.order(ctx)
}

// Guards against orders to an engine that left after the grant, or while the box connected to it.
func TestOrderIsSentToAnEngineThatLeftAfterItsGrant(t *testing.T) {
	plans := map[string]lifecycle.Plan{
		"prefill": {Prefill: "engine", Decode: "engine"},
		"decode":  {Mode: lifecycle.Recompute, Decode: "engine"},
	}
	leaves := map[string]struct {
		atGrant, whileConnecting bool
		orders                   int
	}{
		"never":                   {orders: 1},
		"before the order":        {atGrant: true},
		"while the box connected": {whileConnecting: true},
	}
	for order, plan := range plans {
		for when, c := range leaves {
			t.Run(order+", "+when, func(t *testing.T) {
				tables := &changingTable{}
				homes := &grantingHomes{plan: plan, granted: func() {
					if c.atGrant {
						tables.leave()
					}
				}}
				engine := &connectingEngine{connect: func() {
					if c.whileConnecting {
						tables.leave()
					}
				}}
				homes.dispatcher = New(Config{
					Box: "box", Engine: engine, Homes: homes, Tables: tables, Releaser: noHolds{}, MaxAttempts: 1, AskTimeout: time.Second, Log: log.Discard(),
				})
				call := homes.dispatcher.Submit(t.Context(), Request{Service: "s", Prompt: "p", OutputTokens: 1})
				if _, err := call.Answer(t.Context()); err != nil {
					t.Fatal(err)
				}
				if engine.orders != c.orders {
					t.Errorf("%d orders were sent, want %d", engine.orders, c.orders)
				}
			})
		}
	}
}
