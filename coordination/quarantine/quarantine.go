// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quarantine keeps a box's ledger of poison requests: requests that end every
// endpoint that runs them. It finds out whether an endpoint ended when an exchange broke
// off, broadcasts suspects to the other boxes, and reports which requests must not reach an
// endpoint any more. A box that missed an update notices from the digest on each membership
// message, and pulls.
package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/poison"
)

// Peers sends suspects to other boxes. Calls must not block.
type Peers interface {
	SendSuspects(to string, u poison.Update)
	// SendSuspectsPull asks a box for the suspects that it knows.
	SendSuspectsPull(to string)
}

// Prober probes an endpoint.
type Prober interface {
	// Listens connects to the address of an endpoint and sends nothing. The error tells why
	// connecting failed.
	Listens(ctx context.Context, id, address string) error
}

// Metrics counts ended endpoints and refused requests.
type Metrics interface {
	// EndpointEnded counts an endpoint that ended while processing requests.
	EndpointEnded(service string)
	// PoisonRefused counts a request that was kept from all endpoints.
	PoisonRefused(service string)
}

// Config configures a Keeper.
type Config struct {
	Self   string
	Prober Prober
	// Find returns what this box knows of an endpoint.
	Find  func(id string) (directory.Status, bool)
	Peers Peers
	// Ranked returns the active boxes of this box's region, in an order for a key that all
	// of them agree on.
	Ranked func(key string) []string
	// Tree returns the same boxes in the order of the tree by which an origin's updates are
	// forwarded; nil means the order of Ranked.
	Tree func(key, origin string) []string
	// RegionEntries returns, for each other region, the box that receives updates for it, in the
	// same order for a key; nil means none.
	RegionEntries func(key string) []string
	// Metrics may be nil.
	Metrics Metrics
	Log     log.Logger
	// Now is the clock; nil means the system clock.
	Now func() time.Time
}

// loss is an exchange that broke off while its endpoint may have been running the request.
type loss struct {
	// request is the caller's ID, for the log.
	request     string
	fingerprint poison.Fingerprint
	parts       []poison.Fingerprint
	endpoint    string
	// at is when the exchange broke off, ran how long after its send that was, and status
	// what was known of the endpoint then.
	at     time.Time
	ran    time.Duration
	status directory.Status
	// checked is closed once the first check of the endpoint has a result; nil if nobody waits for it.
	checked chan struct{}
}

// announceChecked tells whoever waits that the check of the endpoint has a result.
func (l loss) announceChecked() {
	if l.checked != nil {
		close(l.checked)
	}
}

// sent returns when the exchange began.
func (l loss) sent() time.Time { return l.at.Add(-l.ran) }

const (
	// lossQueue bounds the queue of losses; it holds all that a box may have in flight at
	// some endpoints that end at once.
	lossQueue = 1024
	// resolveInterval is how often the list is searched for endpoints under check, and
	// expiryInterval how often old suspects are expired: with a full ledger that takes 0.9
	// ms.
	resolveInterval = 200 * time.Millisecond
	expiryInterval  = time.Second
	// maxSoundParts bounds the parts of prompts that are known to be sound, to 0.3 MB.
	maxSoundParts = 4096
	// retryParts is how long after the last end requests are kept from the endpoints because of parts of
	// their prompts: a part that was blamed wrongly is free again then. Boxes differ by up to
	// retryPartsJitter, so that few of them try at once.
	retryParts       = time.Minute
	retryPartsJitter = 10 * time.Second
)

// Keeper keeps a box's ledger of poison requests and checks endpoints after losses.
type Keeper struct {
	cfg    Config
	losses *ring.Ring[loss]
	probed chan probeResult
	// checks are the endpoints under check by start ID; only Run accesses it.
	checks map[uint64]*check

	// sound has when endpoints last lived through a request with a part of prompts, and retryParts is
	// how long after the last end requests are kept from the endpoints because of their parts.
	sound      *lru.Cache[poison.Fingerprint, time.Time]
	retryParts time.Duration

	mutex  sync.Mutex
	ledger poison.Ledger
	digest uint64
	// pulled is when another box was last asked for its suspects.
	pulled time.Time
}

// New returns a Keeper with an empty ledger; Run starts it.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	sound, err := lru.New[poison.Fingerprint, time.Time](maxSoundParts)
	if err != nil {
		// The library only rejects sizes below one.
		panic(err)
	}
	jitter := time.Duration(xxhash.Sum64String(cfg.Self) % uint64(retryPartsJitter))
	return &Keeper{
		cfg:   cfg,
		sound: sound, retryParts: retryParts + jitter,
		losses: ring.New[loss](lossQueue),
		probed: make(chan probeResult, maxProbes),
		checks: make(map[uint64]*check),
	}
}

// anySuspects reports whether there is any suspect: without one, no request needs a
// fingerprint.
func (k *Keeper) anySuspects() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.ledger.Len() > 0
}

// blocked reports whether a request must not reach an endpoint any more. What is blocked and comes again
// is remembered for longer, on all boxes.
func (k *Keeper) blocked(request poison.Fingerprint, parts []poison.Fingerprint) bool {
	k.mutex.Lock()
	now := k.cfg.Now()
	by := k.ledger.BlockedBy(now, k.retryParts, request, parts)
	var news []poison.Suspect
	for _, f := range by {
		next, more := k.ledger.WithSeen(now, f)
		k.ledger, news = next, append(news, more...)
	}
	k.mutex.Unlock()
	k.publish(news)
	return len(by) > 0
}

// answered records that an endpoint answers requests with these fingerprints: a whole one, or parts of
// prompts.
func (k *Keeper) answered(fingerprints ...poison.Fingerprint) {
	k.publish(k.update("answer", func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect) {
		var news []poison.Suspect
		for _, f := range fingerprints {
			var more []poison.Suspect
			l, more = l.WithAnswered(now, f)
			news = append(news, more...)
		}
		return l, news
	}))
}

// noteSound records that endpoints live through requests with these parts.
func (k *Keeper) noteSound(parts []poison.Fingerprint) {
	now := k.cfg.Now()
	for _, f := range parts {
		k.sound.Add(f, now)
	}
}

// isSound reports whether endpoints lived through a request with a part lately.
func (k *Keeper) isSound(part poison.Fingerprint) bool {
	at, known := k.sound.Get(part)
	return known && k.cfg.Now().Sub(at) <= poison.Keep
}

// reportLoss queues a loss, unless the endpoint was about to end anyway: then its end says
// nothing about the request. The channel is closed once the first check of the endpoint has a result;
// nil if there is none to wait for.
func (k *Keeper) reportLoss(l loss) (checked <-chan struct{}) {
	status, known := k.cfg.Find(l.endpoint)
	if !known || !status.Usable() && !status.Replaced {
		return nil
	}
	l.status, l.at, l.checked = status, k.cfg.Now(), make(chan struct{})
	if k.losses.Offer(l) == ring.Full {
		k.cfg.Log.WithFields(log.Fields{log.FieldRequest: l.request, log.FieldEngine: l.endpoint}).Warn("endpoint_loss_dropped")
		return nil
	}
	return l.checked
}

// Run checks endpoints after losses and expires old suspects until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	ages := time.NewTicker(expiryInterval)
	defer ages.Stop()
	// Without an endpoint under check there is nothing to look up.
	var looks <-chan time.Time
	for {
		if looks == nil && len(k.checks) > 0 {
			looks = time.After(resolveInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case l := <-k.losses.C():
			k.handleLoss(ctx, l)
		case p := <-k.probed:
			k.handleProbe(p)
		case <-looks:
			looks = nil
			k.resolve()
		case <-ages.C:
			if !k.anySuspects() {
				continue
			}
			k.update("age", func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect) {
				return l.Without(now), nil
			})
		}
	}
}

// update applies a change to the ledger, logs changes of the blocked requests, and returns
// the suspects that are news to other boxes.
func (k *Keeper) update(from string, change func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect)) []poison.Suspect {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now, old := k.cfg.Now(), k.ledger
	next, news := change(now, old)
	k.ledger, k.digest = next, next.Digest(now)
	if before, after := old.AllBlocked(), next.AllBlocked(); !slices.Equal(before, after) {
		k.cfg.Log.WithFields(log.Fields{
			"blocked":      len(after),
			"before":       len(before),
			"fingerprints": after,
			"suspects":     next.Len(),
			"from":         from,
		}).Warn("poison_changed")
	}
	return news
}
