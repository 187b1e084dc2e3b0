// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"net/http"
	"time"

	"runridge.example/runridge/coordination/quota"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/state/table"
)

// Reasons for refusals that concern the client account.
const (
	reasonNoKey           = "no_valid_key"
	reasonUnknownKey      = "key_not_known"
	reasonKeyUnconfirmed  = "key_not_known_here_yet"
	reasonKeyWithdrawn    = "key_withdrawn"
	reasonOverQuota       = "over_quota"
	reasonQuotaHomeSilent = "quota_home_silent"
)

const (
	// unconfirmedRetry is the retry delay while a newer table may know the key: changes are in
	// force on all of 300 boxes within 0.2 s.
	unconfirmedRetry = 300 * time.Millisecond
	// quotaRetry is the retry delay while no box decides on an account's quota: a failed home
	// is detected and replaced within two seconds.
	quotaRetry = 500 * time.Millisecond
	// maxQuotaWaitShare is the part of its target that a request may wait for its quota. A
	// request that would have to wait longer is refused with a retry delay instead.
	maxQuotaWaitShare = 0.125
	// quotaAskShare is the part of its target that a request may wait for the decision on its
	// quota.
	quotaAskShare = 0.5
)

// findAccount returns the account that holds the request's key by the table in force, and
// reports whether the request may run without an account.
func (h *handler) findAccount() (a *table.Account, anonymous bool) {
	h.relay.mutex.Lock()
	accounts := h.relay.accounts
	h.relay.mutex.Unlock()
	if h.request.Credential.Valid {
		a, _ = accounts.Find(h.request.Credential.Key)
	}
	return a, h.route.Public || !accounts.Any()
}

// identify sets the request's account, or refuses the request and returns false. An unknown key
// is refused with 401 only if no newer table can know it.
func (h *handler) identify() bool {
	a, anonymous := h.findAccount()
	h.account = a
	if a != nil || anonymous {
		h.resolveRegions()
		return true
	}
	reason := reasonUnknownKey
	if !h.request.Credential.Valid {
		reason = reasonNoKey
	}
	if h.request.Credential.Valid && h.relay.cfg.Tables != nil && !h.relay.cfg.Tables.Current() {
		h.refuse(http.StatusServiceUnavailable, reasonKeyUnconfirmed, unconfirmedRetry)
		return false
	}
	h.challenge(reason)
	return false
}

// challenge refuses a request that has no known key.
func (h *handler) challenge(reason string) {
	h.recordEnd("refused", reason)
	h.caller.Refuse(Refusal{Status: http.StatusUnauthorized, Reason: reason, Challenge: true})
}

// keyWithdrawn reports whether the request's key was removed after it had been identified.
// Otherwise the request belongs to the account that holds the key now, and the regions that
// this account and the route permit now apply.
func (h *handler) keyWithdrawn() bool {
	a, anonymous := h.findAccount()
	if a == nil && !anonymous {
		return true
	}
	h.account, h.quarantined = a, nil
	h.resolveRegions()
	return false
}

// accountName returns the name of the request's account; empty if none.
func (h *handler) accountName() string {
	if h.account == nil {
		return ""
	}
	return h.account.Name
}

// priority returns the priority of the account, or else of the route; 0 is the most urgent.
func (h *handler) priority() int {
	if h.account != nil && h.account.Priority != nil {
		return *h.account.Priority
	}
	return h.route.Priority
}

// admitQuota takes the cost of the request from its account's quota, waiting if the quota has
// to refill, or refuses the request and returns false.
func (h *handler) admitQuota(ctx context.Context) bool {
	if h.account == nil || h.account.Quota == nil || h.relay.cfg.Quotas == nil {
		return true
	}
	cost := h.account.Quota.Cost(h.request.Prompt.Tokens, h.request.Prompt.Output)
	decision := h.relay.cfg.Quotas.Admit(ctx, quota.Use{
		ID:       h.id,
		Account:  h.account.Name,
		Cost:     cost,
		Wait:     time.Duration(maxQuotaWaitShare * float64(h.route.Target())),
		Patience: h.maxRetryAfter(),
		AskTime:  time.Duration(quotaAskShare * float64(h.route.Target())),
	})
	h.logQuota(cost, decision)
	switch decision.Outcome {
	case quota.Admitted:
		h.charged, h.chargedTo = cost, h.account.Name
		sleep.For(ctx, decision.Wait)
		return true
	case quota.Over:
		h.refuse(http.StatusTooManyRequests, reasonOverQuota, h.clampRetryAfter(decision.RetryAfter))
	default:
		h.finish(ctx, result{kind: refused, reason: reasonQuotaHomeSilent, retryAfter: quotaRetry})
	}
	return false
}

// refund returns the cost of a request that reached no endpoint.
func (h *handler) refund() {
	if h.charged > 0 && h.sends+h.prefills == 0 {
		h.relay.cfg.Quotas.Refund(h.chargedTo, h.charged)
	}
}

// quotaOutcomes maps outcomes to their names in logs and metrics.
var quotaOutcomes = map[quota.Outcome]string{quota.Admitted: "admitted", quota.Over: "over"}

// logQuota logs and counts a decision on the account's quota. Decisions that the box made from
// its own share of the quota are not logged here; the request_ended event covers them.
func (h *handler) logQuota(cost float64, decision quota.Verdict) {
	outcome, named := quotaOutcomes[decision.Outcome]
	if !named {
		outcome = "unanswered"
	}
	if h.relay.cfg.Metrics != nil {
		h.relay.cfg.Metrics.QuotaDecided(h.account.Name, outcome)
	}
	if decision.From == "" {
		return
	}
	h.relay.cfg.Log.WithFields(log.Fields{
		log.FieldRequest:    h.request.ID,
		log.FieldAsk:        decision.Ask.String(),
		log.FieldGeneration: h.generation,
		"account":           h.account.Name,
		"outcome":           outcome,
		"home":              decision.From,
		"cost":              cost,
		"lent_ahead":        decision.More,
		"wait_ms":           decision.Wait.Milliseconds(),
		"retry_ms":          decision.RetryAfter.Milliseconds(),
		"ms":                h.relay.cfg.Now().Sub(h.request.Arrived).Milliseconds(),
	}).Info("quota_decided")
}
