// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quarantine keeps a box's ledger of poison requests: requests that end every
// endpoint that runs them. It finds out whether an endpoint ended where an exchange broke
// off, tells the other boxes, and says which requests must reach no endpoint any more. A
// box that missed something notices from the digest on each membership message, and asks.
package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/poison"
)

// Peers takes suspects between boxes. Calls must not block.
type Peers interface {
	SendSuspects(to string, u poison.Update)
	// SendSuspectsPull asks a box for those that it knows.
	SendSuspectsPull(to string)
}

// Prober looks for an endpoint.
type Prober interface {
	// Listens connects to an address and says nothing. An error tells why that failed.
	Listens(ctx context.Context, address string) error
}

// Metrics counts what is found.
type Metrics interface {
	// EndpointEnded counts an endpoint that ended in the middle of requests.
	EndpointEnded(service string)
	// PoisonRefused counts a request that was kept from the endpoints.
	PoisonRefused(service string)
}

// Config configures a Keeper.
type Config struct {
	Self   string
	Prober Prober
	// Find tells what this box knows of an endpoint.
	Find  func(id string) (directory.Status, bool)
	Peers Peers
	// Ranked lists the boxes with duties of this box's region in an order that all
	// of them agree on for a key.
	Ranked func(key string) []string
	// Tree orders them for the tree in which what an origin tells goes round; nil is by
	// Ranked.
	Tree func(key, origin string) []string
	// Heads names the box of each other region that takes updates in for it, in the
	// same order for a key; nil is none.
	Heads func(key string) []string
	// Metrics may be nil.
	Metrics Metrics
	Log     log.Logger
	// Now is the clock; nil is that of the machine.
	Now func() time.Time
}

// loss is an exchange that broke off while its endpoint may have run the request.
type loss struct {
	// request is the caller's id, for the log.
	request     string
	fingerprint poison.Fingerprint
	endpoint    string
	// at is when the exchange broke off, ran how long after its send that was, and status
	// what was known of the endpoint then.
	at     time.Time
	ran    time.Duration
	status directory.Status
}

// sent is when the exchange began.
func (l loss) sent() time.Time { return l.at.Add(-l.ran) }

const (
	// lossQueue bounds the losses that wait for the duty: all that a box may have under
	// way at some endpoints that end at once.
	lossQueue = 1024
	// look is how often the duty looks whether an endpoint in doubt has been replaced, and
	// forget how often it forgets old suspects: with all that a ledger may hold 0.9 ms.
	look   = 200 * time.Millisecond
	forget = time.Second
)

// Keeper is the duty.
type Keeper struct {
	cfg    Config
	losses *ring.Ring[loss]
	probed chan probe
	// checks are the endpoints in doubt by what stands for their start; only the duty
	// reads and writes it.
	checks map[uint64]*check

	mutex  sync.Mutex
	ledger poison.Ledger
	digest uint64
	// pulled is when another box was last asked.
	pulled time.Time
}

// New makes the duty; Run starts it.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Keeper{
		cfg:    cfg,
		losses: ring.New[loss](lossQueue),
		probed: make(chan probe, mostProbes),
		checks: make(map[uint64]*check),
	}
}

// any says whether anything is suspected: without it no request needs a fingerprint.
func (k *Keeper) any() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.ledger.Len() > 0
}

// blocked says whether a request must reach no endpoint any more. One that comes again is
// remembered for longer, on all boxes.
func (k *Keeper) blocked(f poison.Fingerprint) bool {
	k.mutex.Lock()
	if !k.ledger.Blocked(f) {
		k.mutex.Unlock()
		return false
	}
	next, told := k.ledger.WithSeen(k.cfg.Now(), f)
	k.ledger = next
	k.mutex.Unlock()
	k.publish(told)
	return true
}

// answered takes in that an endpoint has answered a request whole.
func (k *Keeper) answered(f poison.Fingerprint) {
	k.publish(k.learn("answer", func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect) {
		return l.WithAnswered(now, f)
	}))
}

// broke takes in a loss. That of an endpoint that was about to end anyway says nothing of
// the request.
func (k *Keeper) broke(l loss) {
	status, known := k.cfg.Find(l.endpoint)
	if !known || !status.Usable() && !status.Left {
		return
	}
	l.status, l.at = status, k.cfg.Now()
	if k.losses.Offer(l) == ring.Full {
		k.cfg.Log.WithFields(log.Fields{log.FieldRequest: l.request, log.FieldEngine: l.endpoint}).Warn("endpoint_loss_dropped")
	}
}

// Run finds out which endpoints have ended until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	ages := time.NewTicker(forget)
	defer ages.Stop()
	// Without an endpoint in doubt there is nothing to look at.
	var looks <-chan time.Time
	for {
		if looks == nil && len(k.checks) > 0 {
			looks = time.After(look)
		}
		select {
		case <-ctx.Done():
			return nil
		case l := <-k.losses.C():
			k.doubt(ctx, l)
		case p := <-k.probed:
			k.takeProbe(p)
		case <-looks:
			looks = nil
			k.settle()
		case <-ages.C:
			if !k.any() {
				continue
			}
			k.learn("age", func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect) {
				return l.Without(now), nil
			})
		}
	}
}

// learn puts what was learnt into force, and returns the suspects that tell others more.
func (k *Keeper) learn(from string, change func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect)) []poison.Suspect {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now, old := k.cfg.Now(), k.ledger
	next, told := change(now, old)
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
	return told
}
