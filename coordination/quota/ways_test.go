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

// scheme is a way to enforce a quota across all boxes.
type scheme interface {
	// admit decides on a request of a box.
	admit(ctx context.Context, b *simBox, cost float64) bool
}

// fixedShares gives each box a fixed share of the quota and of the slack.
type fixedShares struct {
	mutex   sync.Mutex
	began   time.Time
	terms   quota.Terms
	buckets map[string]quota.Bucket
}

func newFixedShares(limit table.Quota, bound quota.Bound, boxes int) *fixedShares {
	n := float64(boxes)
	return &fixedShares{
		began:   time.Now(),
		terms:   quota.Terms{Rate: limit.Rate / n, Burst: (limit.Burst + bound.Slack) / n},
		buckets: make(map[string]quota.Bucket),
	}
}

func (s *fixedShares) admit(_ context.Context, b *simBox, cost float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	bucket, d := s.buckets[b.name].WithTime(time.Since(s.began), s.terms).WithNeed(quota.Need{Cost: cost, Wait: maxWait}, s.terms)
	s.buckets[b.name] = bucket
	return d.Admitted
}

// maxWait is how long a request may wait for its quota.
const maxWait = 100 * time.Millisecond

// groupShares accounts at the homes of the requests' groups: six of them here, one per
// service and zone. Each has a share of the quota in proportion to what it was asked for in
// the second before.
type groupShares struct {
	mutex      sync.Mutex
	began      time.Time
	limit      table.Quota
	buckets    [groupHomes]quota.Bucket
	asked      [groupHomes]float64
	parts      [groupHomes]float64
	rebalanced time.Duration
}

const groupHomes = 6

func newGroupShares(limit table.Quota) *groupShares {
	g := &groupShares{began: time.Now(), limit: limit}
	for i := range g.parts {
		g.parts[i] = 1.0 / groupHomes
	}
	return g
}

func (g *groupShares) admit(_ context.Context, b *simBox, cost float64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Since(g.began)
	if now-g.rebalanced >= time.Second {
		g.rebalance(now)
	}
	// The zone is the box's, and streams have another service than plain requests.
	i := int(b.name[len(b.name)-1]-'0') % (groupHomes / 2)
	if cost > 200 {
		i += groupHomes / 2
	}
	g.asked[i] += cost
	t := quota.Terms{Rate: g.limit.Rate * g.parts[i], Burst: g.limit.Burst * g.parts[i]}
	bucket, d := g.buckets[i].WithTime(now, t).WithNeed(quota.Need{Cost: cost, Wait: maxWait}, t)
	g.buckets[i] = bucket
	return d.Admitted
}

// rebalance divides the quota anew in proportion to what was asked for.
func (g *groupShares) rebalance(now time.Duration) {
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
	g.rebalanced = now
}

// accountHome is the scheme of this package: one home per account.
type accountHome struct{}

func (accountHome) admit(ctx context.Context, b *simBox, cost float64) bool {
	b.w.mutex.Lock()
	b.sequence++
	id := probeID(b.name)
	id.Request.Sequence = b.sequence
	b.w.mutex.Unlock()
	return b.keeper.Admit(ctx, Use{ID: id.Request, Account: account, Cost: cost, Wait: maxWait, Patience: time.Second}).Outcome == Admitted
}

// TestSchemes compares the schemes under the same load: an account with requests at five of 60
// boxes, first at its usual 0.55 of the quota and then at three times the quota. Results
// are relative to what one counter for all boxes would admit.
// Fixed shares admit 0.16 at the usual load and 0.08 at three times the quota, since the
// shares of the other boxes are lost. Shares by group admit 0.77 (small account) and 0.98
// (large account) at the usual load, and 0.94 and 1.00 at three times the quota, since a
// share follows the load a second late. A home per account admits 1.00 in all four cases.
func TestSchemes(t *testing.T) {
	const boxes, lasts = 60, 20 * time.Second
	for name, limit := range accountQuotas {
		for _, times := range []float64{0.55, 3} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				w := newWorld(boxes, limit, toleratedBound, time.Second)
				ways := map[string]scheme{
					"shares": newFixedShares(limit, toleratedBound, boxes),
					"groups": newGroupShares(limit),
					"home":   accountHome{},
				}
				got, asked := make(map[string]float64), 0.0
				var mutex sync.Mutex
				w.loadFive(lasts, times, rand.New(rand.NewPCG(3, 4)), func(b *simBox, cost float64) {
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
					t.Errorf("one home per account admits %.3f of what it should", got["home"]/owed)
				}
			})
		}
	}
}
