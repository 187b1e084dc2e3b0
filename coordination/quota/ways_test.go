// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/state/quota"
	"runridge.example/runridge/state/table"
)

// way is one of the ways weighed to hold a quota over all boxes.
type way interface {
	// admit decides on a request of a box.
	admit(ctx context.Context, b *simBox, cost float64) bool
}

// sharesWay gives each box a fixed part of the quota and of the slack.
type sharesWay struct {
	mutex   sync.Mutex
	began   time.Time
	terms   quota.Terms
	buckets map[string]quota.Bucket
}

func newSharesWay(limit table.Quota, bound quota.Bound, boxes int) *sharesWay {
	n := float64(boxes)
	return &sharesWay{
		began:   time.Now(),
		terms:   quota.Terms{Rate: limit.Rate / n, Burst: (limit.Burst + bound.Slack) / n},
		buckets: make(map[string]quota.Bucket),
	}
}

func (s *sharesWay) admit(_ context.Context, b *simBox, cost float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	bucket, d := s.buckets[b.name].WithTime(time.Since(s.began), s.terms).WithNeed(quota.Need{Cost: cost, Wait: holdFor}, s.terms)
	s.buckets[b.name] = bucket
	return d.Admitted
}

// holdFor is how long a request may wait for its quota.
const holdFor = 100 * time.Millisecond

// groupsWay counts where the requests' groups have their homes: six of them here,
// one a service and zone. Each has a part of the quota by what it was asked for in
// the second before.
type groupsWay struct {
	mutex   sync.Mutex
	began   time.Time
	limit   table.Quota
	buckets [groupHomes]quota.Bucket
	asked   [groupHomes]float64
	parts   [groupHomes]float64
	shared  time.Duration
}

const groupHomes = 6

func newGroupsWay(limit table.Quota) *groupsWay {
	g := &groupsWay{began: time.Now(), limit: limit}
	for i := range g.parts {
		g.parts[i] = 1.0 / groupHomes
	}
	return g
}

func (g *groupsWay) admit(_ context.Context, b *simBox, cost float64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Since(g.began)
	if now-g.shared >= time.Second {
		g.share(now)
	}
	// The zone is the box's, and streams have another service than plain requests.
	i := int(b.name[len(b.name)-1]-'0') % (groupHomes / 2)
	if cost > 200 {
		i += groupHomes / 2
	}
	g.asked[i] += cost
	t := quota.Terms{Rate: g.limit.Rate * g.parts[i], Burst: g.limit.Burst * g.parts[i]}
	bucket, d := g.buckets[i].WithTime(now, t).WithNeed(quota.Need{Cost: cost, Wait: holdFor}, t)
	g.buckets[i] = bucket
	return d.Admitted
}

// share divides the quota anew by what was asked for.
func (g *groupsWay) share(now time.Duration) {
	sum := 0.0
	for _, a := range g.asked {
		sum += a
	}
	for i := range g.parts {
		if sum > 0 {
			g.parts[i] = g.asked[i] / sum
		}
		g.asked[i] = 0
	}
	g.shared = now
}

// homeWay is the one that is built.
type homeWay struct{}

func (homeWay) admit(ctx context.Context, b *simBox, cost float64) bool {
	b.w.mutex.Lock()
	b.sequence++
	id := probeID(b.name)
	id.Request.Sequence = b.sequence
	b.w.mutex.Unlock()
	return b.keeper.Admit(ctx, Use{ID: id.Request, Account: account, Cost: cost, Wait: holdFor, Patience: time.Second}).Outcome == Admitted
}

// TestWays compares the ways on the same load: an account of which five of 60
// boxes get requests, first at its usual 0.55 of the quota and then at three times
// it. What one counter for all would admit is 1.
//
// Of what is owed, fixed shares admit 0.16 at the usual load and 0.08 at three times
// the quota, since the other boxes' parts are lost; parts by group 0.77 (small
// account) and 0.98, and 0.94 and 1.00, since a part follows the load a second
// late; a home 1.00 in all four.
func TestWays(t *testing.T) {
	const boxes, lasts = 60, 20 * time.Second
	for name, limit := range quotasOf {
		for _, times := range []float64{0.55, 3} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				w := newWorld(boxes, limit, shiftedBound, time.Second)
				ways := map[string]way{
					"shares": newSharesWay(limit, shiftedBound, boxes),
					"groups": newGroupsWay(limit),
					"home":   homeWay{},
				}
				got, asked := make(map[string]float64), 0.0
				var mutex sync.Mutex
				w.each(lasts, times, rand.New(rand.NewPCG(3, 4)), func(b *simBox, cost float64) {
					asked += cost
					for name, way := range ways {
						go func() {
							if way.admit(ctx, b, cost) {
								mutex.Lock()
								got[name] += cost
								mutex.Unlock()
							}
						}()
					}
				})
				time.Sleep(time.Second)
				cancel()
				mutex.Lock()
				defer mutex.Unlock()
				owed := min(asked, limit.Rate*lasts.Seconds())
				t.Logf("%s at %.2f of its quota: shares %.3f, groups %.3f, home %.3f", name, times, got["shares"]/owed, got["groups"]/owed, got["home"]/owed)
				if got["home"] < 0.97*owed || got["home"] < got["groups"] || got["home"] < got["shares"] {
					t.Errorf("a home admits %.3f of what is owed", got["home"]/owed)
				}
			})
		}
	}
}
