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

// groupRefusal is a group's refusal for lack of capacity in time.
type groupRefusal struct {
	group      string
	retryAfter time.Duration
	// remote reports whether the group is in another region.
	remote bool
}

const (
	// maxSpills is how many other groups of the region are asked after the first one has no
	// capacity.
	maxSpills = 2
	// maxRemoteSpills is how many groups of other regions are asked after those of the region.
	// It is one because an ask to another region takes long and that region's own callers have
	// precedence.
	maxRemoteSpills = 1
)

// spillAfter records a refusal and reports whether another ask follows: to another group or, if
// none has capacity in time, to the first group for capacity that others leave unused. A group
// without an engine for the request, for instance because its zone is drained, does not count
// toward the limits on spills.
func (h *handler) spillAfter(res result) bool {
	switch {
	case h.lastAsk:
		return false
	case res.noEngine:
		h.groupsWithoutEngine = append(h.groupsWithoutEngine, h.group)
	case res.noCapacity:
		h.refusals = append(h.refusals, groupRefusal{group: h.group, retryAfter: res.retryAfter, remote: h.roundTrip(h.group) > 0})
	default:
		return false
	}
	if h.chooseGroup() != "" {
		return true
	}
	if len(h.refusals) == 0 || h.late || !h.mayBeLate() {
		return false
	}
	h.late, h.lastAsk = true, true
	return true
}

// place returns the place of a group of the request's service.
func (h *handler) place(key string) (group.Place, bool) {
	places := h.relay.cfg.Homes.PlacesOf(h.service.Name)
	i := slices.IndexFunc(places, func(p group.Place) bool { return p.Key == key })
	if i < 0 {
		return group.Place{}, false
	}
	return places[i], true
}

// spillCandidates returns the groups that may be asked after the given refusals. If the region
// has no groups, groups of other regions are treated as its own.
func spillCandidates(places []group.Place, region string, refusals []groupRefusal) []group.Place {
	near, remote := 0, 0
	for _, f := range refusals {
		if f.remote {
			remote++
		} else {
			near++
		}
	}
	isRemote := func(p group.Place) bool { return p.Region != region }
	if !slices.ContainsFunc(places, func(p group.Place) bool { return !isRemote(p) }) {
		near, remote, isRemote = remote, near, func(group.Place) bool { return false }
	}
	return slices.DeleteFunc(slices.Clone(places), func(p group.Place) bool {
		if isRemote(p) {
			return remote >= maxRemoteSpills
		}
		return near > maxSpills
	})
}

// mayBeLate reports whether the request may be served after its target: the route has a target,
// the time that the caller waits is known, and the caller has received nothing of the answer.
func (h *handler) mayBeLate() bool {
	if h.route.TargetMS <= 0 || h.request.LastEvent != "" || h.reply != nil {
		return false
	}
	return !h.route.Stream() || h.route.GiveUpMS > 0
}

// callerPatience returns how much longer the caller waits for the answer or the next event.
func (h *handler) callerPatience() time.Duration {
	now := h.relay.cfg.Now()
	left := h.deadline.Sub(now)
	if h.route.Stream() {
		waitingSince := h.request.Arrived
		if !h.lastPiece.IsZero() {
			waitingSince = h.lastPiece
		}
		left = min(left, h.route.GiveUp()-now.Sub(waitingSince))
	}
	return left
}

// chooseGroup returns the group to ask next; empty if none is left. Groups are left out that
// have no capacity or no engine for the request, or that it may not use. The last ask goes to
// the first group again.
func (h *handler) chooseGroup() string {
	if h.lastAsk {
		return h.refusals[0].group
	}
	known := h.relay.cfg.Directory.Directory()
	closed := h.anyClosed(known)
	places := slices.DeleteFunc(slices.Clone(h.relay.cfg.Homes.PlacesOf(h.service.Name)), func(p group.Place) bool {
		return slices.Contains(h.groupsWithoutEngine, p.Key) || !h.groupEligible(known, p, closed) || !h.groupHasSoftware(known, p)
	})
	refused := make([]string, 0, len(h.refusals))
	for _, f := range h.refusals {
		refused = append(refused, f.group)
	}
	at := h.relay.origin()
	return home.ChooseGroup(spillCandidates(places, at.Region, h.refusals), at, h.id.Sequence, h.attempt, refused)
}

// finish sends the caller the final answer after the last attempt.
func (h *handler) finish(ctx context.Context, res result) {
	switch {
	case h.reply != nil:
		h.recordEnd("broken", res.reason)
		h.abort()
	case errors.Is(context.Cause(ctx), context.Canceled):
		h.recordEnd("caller_gone", res.reason)
		h.abort()
	case h.fallback != nil:
		h.sendBuffered(h.fallback)
	case h.runs > 0 && ctx.Err() != nil:
		h.refuse(http.StatusGatewayTimeout, "timeout", 0)
	case h.runs > 0:
		h.refuse(http.StatusBadGateway, res.reason, 0)
	case res.reason == reasonKeyWithdrawn:
		h.challenge(reasonKeyWithdrawn)
	case res.reason == reasonPoison:
		h.refusePoison()
	case res.reason == reasonSoftwareGone:
		h.refuse(http.StatusServiceUnavailable, reasonSoftwareGone, h.clampRetryAfter(softwareGoneRetry))
	case len(h.refusals) > 0:
		// The request's own group has reserved capacity for the retry.
		h.refuse(http.StatusServiceUnavailable, res.reason, h.clampRetryAfter(h.refusals[0].retryAfter))
	default:
		h.refuse(http.StatusServiceUnavailable, res.reason, h.clampRetryAfter(h.retryAfterRest(res)))
	}
}

// retryAfterRest returns the retry delay for a request that no endpoint could take: the
// remaining rest of an endpoint, if that is what it waits for.
func (h *handler) retryAfterRest(res result) time.Duration {
	if rest := h.remainingRest(); rest > 0 && (res.noEngine || isWithheld(res.reason)) {
		return rest
	}
	return res.retryAfter
}

// maxRetryShare is the part of the remaining time that a refused caller may be asked to wait;
// callers give up on longer delays.
const maxRetryShare = 0.32

// clampRetryAfter limits a retry delay to what the caller accepts.
func (h *handler) clampRetryAfter(after time.Duration) time.Duration {
	return max(min(after, h.maxRetryAfter()), minRetryAfter)
}

// maxRetryAfter returns the longest retry delay that the caller accepts.
func (h *handler) maxRetryAfter() time.Duration {
	return time.Duration(maxRetryShare * float64(h.deadline.Sub(h.relay.cfg.Now())))
}

// refuse records the refusal and sends it to the caller.
func (h *handler) refuse(status int, reason string, after time.Duration) {
	h.recordEnd("refused", reason)
	h.caller.Refuse(Refusal{Status: status, Reason: reason, RetryAfter: after})
}
