// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/state/poison"
)

// Request is one request as the quarantine sees it: the code that drives it checks
// Poisonous before each send, and reports the result. A nil Request is never suspected. It
// is used by one goroutine.
type Request struct {
	k           *Keeper
	id, service string
	asks        poison.Request
	made        *poison.Fingerprint
	parts       []poison.Fingerprint
}

// Request returns the Request for a caller's ID and a service. It returns nil without a
// keeper, or if the target is unknown, so that equal requests could not be recognized.
func (k *Keeper) Request(id, service string, asks poison.Request) *Request {
	if k == nil || asks.Target == "" {
		return nil
	}
	asks.Service = service
	return &Request{k: k, id: id, service: service, asks: asks}
}

// Parts returns the fingerprints of the parts of the prompt that other requests may share.
func (r *Request) Parts() []poison.Fingerprint {
	if r == nil || len(r.asks.Parts) == 0 {
		return nil
	}
	if r.parts == nil {
		r.parts = poison.PartsOf(r.asks)
	}
	return r.parts
}

// Fingerprint returns the fingerprint of the request; equal requests share it.
func (r *Request) Fingerprint() poison.Fingerprint {
	if r == nil {
		return poison.Fingerprint{}
	}
	if r.made == nil {
		made := poison.FingerprintOf(r.asks)
		r.made = &made
	}
	return *r.made
}

// Poisonous reports whether the request must not reach an endpoint any more, and counts the
// refusal.
func (r *Request) Poisonous() bool {
	if r == nil || !r.k.anySuspects() || !r.k.blocked(r.Fingerprint(), r.Parts()) {
		return false
	}
	if r.k.cfg.Metrics != nil {
		r.k.cfg.Metrics.PoisonRefused(r.service)
	}
	return true
}

// checkTime is how long another send waits for the check of an endpoint that broke off: an endpoint that
// has ended refuses a connection at once.
const checkTime = 50 * time.Millisecond

// AwaitCheck waits until checked, as returned by BrokeOff, or done is closed, checkTime at most. Another
// send would otherwise end another endpoint before the request is suspected.
func AwaitCheck(checked, done <-chan struct{}) {
	timer := time.NewTimer(checkTime)
	defer timer.Stop()
	select {
	case <-checked:
	case <-timer.C:
	case <-done:
	}
}

// BrokeOff reports that an exchange with an endpoint broke off, the given time after its
// send. The channel is closed once it is known whether the endpoint has ended, so that another send
// can take that into account; nil if there is nothing to wait for.
func (r *Request) BrokeOff(endpoint string, how adapter.Break, ran time.Duration) (checked <-chan struct{}) {
	if r == nil || !how.Cut() {
		return nil
	}
	return r.k.reportLoss(loss{request: r.id, fingerprint: r.Fingerprint(), parts: r.Parts(), endpoint: endpoint, ran: ran})
}

// Answered reports that an endpoint has answered the request in full.
func (r *Request) Answered() {
	if r == nil {
		return
	}
	r.k.noteSound(r.Parts())
	if r.k.anySuspects() {
		r.k.answered(append([]poison.Fingerprint{r.Fingerprint()}, r.Parts()...)...)
	}
}

// Lives reports that an endpoint goes on with its answer a while after it began: a part of a prompt
// that ends endpoints does so as they begin to answer.
func (r *Request) Lives() {
	if r == nil || len(r.Parts()) == 0 {
		return
	}
	r.k.noteSound(r.Parts())
	if r.k.anySuspects() {
		r.k.answered(r.Parts()...)
	}
}
