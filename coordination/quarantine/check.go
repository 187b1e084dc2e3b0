// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"context"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/poison"
)

// An exchange that breaks off does not prove that its endpoint ended: connections are reset
// on the way, answers get lost, and links fail. So the endpoint is probed. If nothing
// listens at its address any more, it has ended. If something listens, or nothing answers,
// it counts as ended only if the platform reports so within the time that the platform
// takes to notice.

const (
	// probeTimeout bounds the probe of one endpoint, and maxProbes the probes in flight.
	probeTimeout = time.Second
	maxProbes    = 64
	// checkTTL is how long a check is kept, so that later losses of the same start are
	// matched to it: longer than an endpoint's entry stays listed after its end, and longer
	// than a request waits for a machine that does not answer.
	checkTTL = 6 * time.Second
	// maxLosses bounds the losses that wait for one endpoint's check; it is more than a box
	// has in flight there.
	maxLosses = 256
)

// checkState is what is known of an endpoint under check.
type checkState uint8

const (
	// stateProbing: the endpoint is being probed.
	stateProbing checkState = iota
	// stateUnreached: the endpoint could not be reached, perhaps because of the link.
	stateUnreached
	// stateListening: something listens at the endpoint's address.
	stateListening
	// stateEnded: the endpoint has ended.
	stateEnded
)

// check is the check of one start of an endpoint.
type check struct {
	status directory.Status
	// since is when the first exchange with the endpoint broke off.
	since  time.Time
	state  checkState
	losses []loss
	// ended is when the endpoint was found to have ended, if it was.
	ended time.Time
	// waiting are told once the probe has a result.
	waiting []loss
}

// announce tells those who wait that the check has a result.
func (c *check) announce() {
	for _, l := range c.waiting {
		l.announceChecked()
	}
	c.waiting = nil
}

// probeResult is the result of a probe.
type probeResult struct {
	start uint64
	err   error
}

// startID returns the ID of one start of an endpoint.
func startID(s directory.Status) uint64 { return poison.EndpointOf(s.ID, s.Born) }

// handleLoss adds a loss to the check of its endpoint, and starts the check if there is
// none.
func (k *Keeper) handleLoss(ctx context.Context, l loss) {
	start := startID(l.status)
	c := k.checks[start]
	switch c.relationOf(l.sent()) {
	case lossAfterEnd:
		l.announceChecked()
		return
	case lossUnrelated:
		c = &check{status: l.status, since: l.at, state: stateProbing}
		k.checks[start] = c
		k.startProbe(ctx, start, l.status)
	}
	switch {
	case c.state == stateEnded:
		k.record(c, l)
	case len(c.losses) < maxLosses:
		c.losses = append(c.losses, l)
	}
	if c.state != stateProbing || len(c.losses) == maxLosses {
		l.announceChecked()
		return
	}
	c.waiting = append(c.waiting, l)
}

// lossRelation is the relation of a loss to a check of its endpoint.
type lossRelation uint8

const (
	// lossCounts: the request was in flight when the first sign of the endpoint's end came.
	lossCounts lossRelation = iota
	// lossAfterEnd: the request was sent later, so it has no part in that end.
	lossAfterEnd
	// lossUnrelated: the loss belongs to another event, which needs its own check.
	lossUnrelated
)

// relationOf returns the relation of a request that was sent at the given time to the
// check, which may be nil.
func (c *check) relationOf(sent time.Time) lossRelation {
	switch {
	case c == nil:
		return lossUnrelated
	case !sent.After(c.since):
		return lossCounts
	case c.state == stateListening:
		return lossUnrelated
	case c.state == stateEnded && c.status.Born == 0 && sent.After(c.ended):
		// Its start time is unknown, and it may have restarted.
		return lossUnrelated
	default:
		return lossAfterEnd
	}
}

// startProbe probes an endpoint in the background.
func (k *Keeper) startProbe(ctx context.Context, start uint64, s directory.Status) {
	if len(k.checks) > maxProbes {
		// Leave it to the platform's list.
		k.checks[start].state = stateUnreached
		return
	}
	go func() {
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		err := k.cfg.Prober.Listens(call, s.ID, s.Address)
		select {
		case k.probed <- probeResult{start: start, err: err}:
		case <-ctx.Done():
		}
	}()
}

// handleProbe applies the result of a probe.
func (k *Keeper) handleProbe(p probeResult) {
	c := k.checks[p.start]
	if c == nil {
		return
	}
	defer c.announce()
	if c.state == stateEnded {
		return
	}
	switch adapter.BreakOf(p.err) {
	case adapter.BreakNone:
		c.state = stateListening
	case adapter.BreakRefused:
		k.markEnded(c, "refused")
		return
	default:
		c.state = stateUnreached
	}
	k.resolve()
}

// resolve looks up in the platform's list what became of the endpoints under check, and
// drops the checks that are older than checkTTL.
func (k *Keeper) resolve() {
	if len(k.checks) == 0 {
		return
	}
	now := k.cfg.Now()
	for start, c := range k.checks {
		if c.state != stateEnded {
			if why, ended := c.endedBy(k.cfg.Find(c.status.ID)); ended {
				k.markEnded(c, why)
			}
		}
		if now.Sub(c.since) >= checkTTL {
			c.announce()
			delete(k.checks, start)
		}
	}
}

// endedBy reports whether the list shows that the endpoint ended, and by what. A missing
// entry shows it only if the endpoint cannot be reached: some endpoints that end as planned
// disappear from the list without any other notice.
func (c *check) endedBy(now directory.Status, listed bool) (why string, ended bool) {
	switch {
	case listed && now.Born != c.status.Born:
		return "started_again", true
	case listed && now.Replaced:
		return "replaced", true
	case c.state == stateUnreached && (!listed || now.Gone && !now.Draining):
		return "not_listed", true
	default:
		return "", false
	}
}

// markEnded marks an endpoint as ended, and records its end against all requests that it
// was processing.
func (k *Keeper) markEnded(c *check, why string) {
	c.state, c.ended = stateEnded, k.cfg.Now()
	k.cfg.Log.WithFields(log.Fields{
		log.FieldEngine: c.status.ID,
		"service":       c.status.Service,
		"found":         why,
		"after_ms":      k.cfg.Now().Sub(c.since).Milliseconds(),
		"requests":      len(c.losses),
	}).Warn("endpoint_ended")
	if k.cfg.Metrics != nil {
		k.cfg.Metrics.EndpointEnded(c.status.Service)
	}
	k.record(c, c.losses...)
	c.losses = nil
}

// record records the end of an endpoint against requests that it was processing, and
// publishes the suspects.
func (k *Keeper) record(c *check, losses ...loss) {
	now := k.cfg.Now()
	suspects := make([]poison.Suspect, 0, len(losses))
	for _, l := range losses {
		k.cfg.Log.WithFields(log.Fields{
			log.FieldRequest: l.request,
			log.FieldEngine:  c.status.ID,
			"fingerprint":    l.fingerprint.String(),
			"parts":          l.parts,
			"ran_ms":         l.ran.Milliseconds(),
		}).Info("poison_suspected")
		end := poison.End{Endpoint: startID(c.status), At: c.ended, Ran: l.ran, Of: poison.OfRequest(l.fingerprint)}
		suspects = append(suspects, poison.Suspect{Fingerprint: l.fingerprint, Ends: []poison.End{end}, Seen: now})
		for _, part := range l.parts {
			end.Cleared = k.isSound(part)
			suspects = append(suspects, poison.Suspect{Fingerprint: part, Ends: []poison.End{end}, Seen: now})
		}
	}
	k.publish(k.update("here", func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect) {
		return l.With(now, suspects...)
	}))
}
