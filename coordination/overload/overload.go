// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package overload measures how much longer this box's messages to other boxes take than at rest,
// and limits the rate of requests by that (state/overload). One goroutine asks the other
// boxes and looks at their answers.
package overload

import (
	"context"
	"sync"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/overload"
)

// Peers exchanges echoes with other boxes. It must not block.
type Peers interface {
	// EchoPeers returns the boxes to ask.
	EchoPeers() []string
	SendEcho(to string, sequence uint64) ring.Outcome
}

// Config configures a Keeper.
type Config struct {
	// Bound is the delay that callers' requests may cause.
	Bound time.Duration
	Peers Peers
	Log   log.Logger
	// Now is the clock; nil is time.Now.
	Now func() time.Time
}

const (
	// restInterval is the time between two questions to a box while few requests come.
	restInterval = 500 * time.Millisecond
	// busyRate is from how many requests per second on the box asks in each interval.
	busyRate = 10.0
	// pauseTime is by how much a look at the delay may be late before the process counts as paused.
	pauseTime = 500 * time.Millisecond
	// peersInterval is the time between two choices of the boxes to ask.
	peersInterval = time.Second
	// logInterval is the time between two log lines while there is a limit.
	logInterval = time.Second
	queueSize   = 64
)

// answer is another box's answer to a question.
type answer struct {
	from     string
	sequence uint64
	at       time.Time
}

// Keeper limits the requests of one box.
type Keeper struct {
	cfg     Config
	answers *ring.Ring[answer]

	mutex     sync.Mutex
	admission overload.Admission
	// delay is by how much answered messages took longer than at rest.
	delay time.Duration

	// Only Run uses what follows.
	echoes   overload.Echoes
	sequence uint64
	// asked has the sequence number of the question under way to each box.
	asked                      map[string]uint64
	askedAt, loggedAt, choseAt time.Time
}

// New returns a Keeper that accepts everything until Run has measured a delay.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Keeper{
		cfg: cfg, answers: ring.New[answer](queueSize), admission: overload.NewAdmission(cfg.Bound), asked: make(map[string]uint64),
	}
}

// Accepted counts a request, or a new connection as its first one.
func (k *Keeper) Accepted() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.admission = k.admission.WithRequest()
}

// ClosedFor returns for how long nothing is accepted before it has to be asked again; 0 if a request
// is.
func (k *Keeper) ClosedFor() (closedFor time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.admission, closedFor = k.admission.ClosedFor(k.cfg.Now())
	return closedFor
}

// Limited reports whether there is a limit. While there is one, connections are not kept, so that their
// next requests meet the limit as well.
func (k *Keeper) Limited() bool {
	_, limited := k.Limit()
	return limited
}

// Delay returns by how much this box's messages take longer than at rest, by the latest answers. Without
// answers it is 0: then nothing shows that messages are slow and not lost.
func (k *Keeper) Delay() time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.delay
}

const (
	// slackFactor allows for delays that grow while an answer is awaited.
	slackFactor = 2
	maxSlack    = 500 * time.Millisecond
)

// Slack returns how much longer than usual an answer of others may take before it says anything of them,
// because this box itself is slow.
func (k *Keeper) Slack() time.Duration { return min(slackFactor*k.Delay(), maxSlack) }

// Limit returns the limit on requests per second, and whether there is one.
func (k *Keeper) Limit() (perSecond float64, limited bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.admission.Limit()
}

// Answered receives another box's answer to a question. An answer that does not fit into the queue is
// dropped like one that the network loses.
func (k *Keeper) Answered(from string, sequence uint64) {
	_ = k.answers.Offer(answer{from: from, sequence: sequence, at: k.cfg.Now()})
}

// Run measures until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(overload.Interval)
	defer tick.Stop()
	last := k.cfg.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-k.answers.C():
			k.receive(a)
		case <-tick.C:
			now := k.cfg.Now()
			k.look(now, now.Sub(last))
			last = now
		}
	}
}

func (k *Keeper) receive(a answer) {
	if k.asked[a.from] == a.sequence {
		k.echoes = k.echoes.WithAnswer(a.from, a.at)
	}
}

// look applies the delay to the limit and asks the other boxes, given the time since the last look.
func (k *Keeper) look(now time.Time, since time.Duration) {
	if since >= pauseTime {
		k.echoes = k.echoes.WithoutQuestions()
	}
	delay, _ := k.echoes.Delay(now)
	answered, _ := k.echoes.Answered(now)
	k.mutex.Lock()
	_, was := k.admission.Limit()
	k.admission = k.admission.WithDelay(now, delay)
	k.delay = answered
	rate, limited := k.admission.Limit()
	accepted := k.admission.Accepted()
	k.mutex.Unlock()
	if was != limited || limited && now.Sub(k.loggedAt) >= logInterval {
		k.loggedAt = now
		k.cfg.Log.WithFields(log.Fields{
			"limited": limited, "delay_ms": delay.Milliseconds(), "limit_per_second": int(rate), "accepted_per_second": int(accepted),
		}).Info("overload_limit")
	}
	if limited || accepted >= busyRate || now.Sub(k.askedAt) >= restInterval {
		k.ask(now)
	}
}

// ask sends a question to each box that has none under way.
func (k *Keeper) ask(now time.Time) {
	k.askedAt = now
	if now.Sub(k.choseAt) >= peersInterval {
		k.choseAt = now
		k.echoes = k.echoes.WithPeers(k.cfg.Peers.EchoPeers())
	}
	for _, name := range k.echoes.Due(now) {
		k.sequence++
		if k.cfg.Peers.SendEcho(name, k.sequence) == ring.Full {
			continue
		}
		k.asked[name] = k.sequence
		k.echoes = k.echoes.WithSent(name, now)
	}
}
