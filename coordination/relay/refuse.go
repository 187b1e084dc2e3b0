// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/state/group"
)

// refusal is a group's answer that it has no room in time.
type refusal struct {
	group      string
	retryAfter time.Duration
	// far says that the group is in another region.
	far bool
}

const (
	// maxSpills is how many other groups of the region are asked when one has no
	// room.
	maxSpills = 2
	// maxFarSpills is how many groups of other regions are asked after them. One: a
	// question there takes long, and the other region's own callers come first.
	maxFarSpills = 1
)

// spills notes a refusal and says whether another question follows: to another
// group or, where none has room in time, to the first one for what is left by
// others. A group that has no engine for the request, as its zone is drained, costs
// none of the questions to others.
func (v *run) spills(res result) bool {
	switch {
	case v.last:
		return false
	case res.noEngine:
		v.without = append(v.without, v.group)
	case res.noRoom:
		v.refusals = append(v.refusals, refusal{group: v.group, retryAfter: res.retryAfter, far: v.travel(v.group) > 0})
	default:
		return false
	}
	if v.chooseGroup() != "" {
		return true
	}
	if len(v.refusals) == 0 || v.late || !v.mayBeLate() {
		return false
	}
	v.late, v.last = true, true
	return true
}

// place is where a group of the request's service is.
func (v *run) place(key string) (group.Place, bool) {
	places := v.r.cfg.Homes.PlacesOf(v.service.Name)
	i := slices.IndexFunc(places, func(p group.Place) bool { return p.Key == key })
	if i < 0 {
		return group.Place{}, false
	}
	return places[i], true
}

// spillPlaces are the groups that may be asked after some refusals. Where the
// region has none, those of the others stand in for them.
func spillPlaces(places []group.Place, region string, refusals []refusal) []group.Place {
	near, far := 0, 0
	for _, f := range refusals {
		if f.far {
			far++
		} else {
			near++
		}
	}
	isFar := func(p group.Place) bool { return p.Region != region }
	if !slices.ContainsFunc(places, func(p group.Place) bool { return !isFar(p) }) {
		near, far, isFar = far, near, func(group.Place) bool { return false }
	}
	return slices.DeleteFunc(slices.Clone(places), func(p group.Place) bool {
		if isFar(p) {
			return far >= maxFarSpills
		}
		return near > maxSpills
	})
}

// mayBeLate says whether the request may be served late: the route has a target,
// it is known how long the caller waits, and it has nothing of the answer yet.
func (v *run) mayBeLate() bool {
	if v.route.TargetMS <= 0 || v.q.LastEvent != "" || v.begun {
		return false
	}
	return !v.route.Stream() || v.route.GiveUpMS > 0
}

// giveUp is how much longer the caller waits for the answer or its first event.
func (v *run) giveUp() time.Duration {
	now := v.r.cfg.Now()
	left := v.deadline.Sub(now)
	if v.route.Stream() {
		left = min(left, v.route.GiveUp()-now.Sub(v.q.Arrived))
	}
	return left
}

// chooseGroup is the group that is asked next: none of those that have no room or no
// engine, or that it may not go to, but the first one again for the last question.
func (v *run) chooseGroup() string {
	if v.last {
		return v.refusals[0].group
	}
	known := v.r.cfg.Directory.Directory()
	closed := v.anyClosed(known)
	places := slices.DeleteFunc(slices.Clone(v.r.cfg.Homes.PlacesOf(v.service.Name)), func(p group.Place) bool {
		return slices.Contains(v.without, p.Key) || !v.mayAsk(known, p, closed)
	})
	full := make([]string, 0, len(v.refusals))
	for _, f := range v.refusals {
		full = append(full, f.group)
	}
	at := v.r.origin()
	return home.ChooseGroup(spillPlaces(places, at.Region, v.refusals), at, v.id.Sequence, v.attempt, full)
}

// conclude gives the caller the final word after the last attempt.
func (v *run) conclude(ctx context.Context, res result) {
	switch {
	case v.begun:
		v.ended("broken", res.reason)
		v.c.Break()
	case errors.Is(context.Cause(ctx), context.Canceled):
		v.ended("caller_gone", res.reason)
		v.c.Break()
	case v.fallback != nil:
		v.pass(v.fallback)
	case v.runs > 0 && ctx.Err() != nil:
		v.refuse(http.StatusGatewayTimeout, "timeout", 0)
	case v.runs > 0:
		v.refuse(http.StatusBadGateway, res.reason, 0)
	case res.reason == reasonKeyWithdrawn:
		v.challenge(reasonKeyWithdrawn)
	case res.reason == reasonPoison:
		v.refusePoison()
	case len(v.refusals) > 0:
		// The request's own group has booked the time to come back.
		v.refuse(http.StatusServiceUnavailable, res.reason, v.retryTime(v.refusals[0].retryAfter))
	default:
		v.refuse(http.StatusServiceUnavailable, res.reason, v.retryTime(v.comeBack(res)))
	}
}

// comeBack is after how long the request may be served that had no endpoint to go to.
func (v *run) comeBack(res result) time.Duration {
	if rest := v.restLeft(); rest > 0 && (res.noEngine || isWithheld(res.reason)) {
		return rest
	}
	return res.retryAfter
}

// patienceShare is the part of the time left that a refused caller may be told
// to wait; callers give up on more.
const patienceShare = 0.32

// retryTime is when the caller is told to come again.
func (v *run) retryTime(after time.Duration) time.Duration {
	return max(min(after, v.patience()), leastRetry)
}

// patience is the longest wait that a refused caller accepts.
func (v *run) patience() time.Duration {
	return time.Duration(patienceShare * float64(v.deadline.Sub(v.r.cfg.Now())))
}

func (v *run) refuse(status int, reason string, after time.Duration) {
	v.ended("refused", reason)
	v.c.Refuse(Refusal{Status: status, Reason: reason, RetryAfter: after})
}
