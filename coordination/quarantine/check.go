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

// That an exchange broke off does not show that its endpoint ended: connections are reset
// under way, answers get lost, and links are cut. The endpoint is looked for, and where
// nothing listens at its address any more it has ended. Where something does, or nothing
// answers, it has if the platform says so within the time in which it notices.

const (
	// probeTimeout bounds the look for one endpoint, and mostProbes the looks at once.
	probeTimeout = time.Second
	mostProbes   = 64
	// settleFor is how long an endpoint stays in doubt, and how long its end is
	// remembered for exchanges that break off later: longer than its entry stays after
	// its end, and than one waits whose machine says nothing.
	settleFor = 6 * time.Second
	// mostLosses bounds the losses that wait for one endpoint's check: more than a box
	// has under way there.
	mostLosses = 256
)

// doubt is what is known of an endpoint in doubt.
type doubt uint8

const (
	// looking: the endpoint is being looked for.
	looking doubt = iota
	// unreached: it could not be reached, which may be for the link's sake.
	unreached
	// listening: something listens at its address.
	listening
	// over: it has ended.
	over
)

// check is one start of an endpoint in doubt.
type check struct {
	status directory.Status
	// since is when the first exchange with it broke off.
	since  time.Time
	doubt  doubt
	losses []loss
	// ended is when it was found to have ended, if it has.
	ended time.Time
}

// probe is what came of looking for an endpoint.
type probe struct {
	start uint64
	err   error
}

// startOf stands for the start of an endpoint.
func startOf(s directory.Status) uint64 { return poison.EndpointOf(s.ID, s.Born) }

// doubt takes a loss, and looks for its endpoint if that is its first.
func (k *Keeper) doubt(ctx context.Context, l loss) {
	start := startOf(l.status)
	c := k.checks[start]
	switch c.about(l.sent()) {
	case afterEnd:
		return
	case another:
		c = &check{status: l.status, since: l.at, doubt: looking}
		k.checks[start] = c
		k.look(ctx, start, l.status.Address)
	}
	switch {
	case c.doubt == over:
		k.record(c, l)
	case len(c.losses) < mostLosses:
		c.losses = append(c.losses, l)
	}
}

// concern is how a loss stands to an endpoint in doubt.
type concern uint8

const (
	// samePart: it was under way when the first sign of the endpoint's end came.
	samePart concern = iota
	// afterEnd: it was sent later, and has no part in that.
	afterEnd
	// another: it is of something else, that has to be looked into.
	another
)

// about says how a request that was sent at a time stands to the check, which may be none.
func (c *check) about(sent time.Time) concern {
	switch {
	case c == nil:
		return another
	case !sent.After(c.since):
		return samePart
	case c.doubt == listening:
		return another
	case c.doubt == over && c.status.Born == 0 && sent.After(c.ended):
		// It does not say when it started, and may have again.
		return another
	default:
		return afterEnd
	}
}

// look looks for an endpoint in the background.
func (k *Keeper) look(ctx context.Context, start uint64, address string) {
	if len(k.checks) > mostProbes {
		// The platform's list will tell.
		k.checks[start].doubt = unreached
		return
	}
	go func() {
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		err := k.cfg.Prober.Listens(call, address)
		select {
		case k.probed <- probe{start: start, err: err}:
		case <-ctx.Done():
		}
	}()
}

// takeProbe takes what came of looking for an endpoint.
func (k *Keeper) takeProbe(p probe) {
	c := k.checks[p.start]
	if c == nil || c.doubt == over {
		return
	}
	switch adapter.BreakOf(p.err) {
	case adapter.BreakNone:
		c.doubt = listening
	case adapter.BreakRefused:
		k.end(c, "refused")
		return
	default:
		c.doubt = unreached
	}
	k.settle()
}

// settle looks in the list for what became of the endpoints in doubt, and forgets those
// that were in doubt, or over, for long enough.
func (k *Keeper) settle() {
	if len(k.checks) == 0 {
		return
	}
	now := k.cfg.Now()
	for start, c := range k.checks {
		if c.doubt != over {
			if why, ended := c.endedBy(k.cfg.Find(c.status.ID)); ended {
				k.end(c, why)
			}
		}
		if now.Sub(c.since) >= settleFor {
			delete(k.checks, start)
		}
	}
}

// endedBy says whether the list shows that the endpoint ended. That its entry is gone
// shows it only where it can't be reached: some that end as planned say no more than that.
func (c *check) endedBy(now directory.Status, listed bool) (why string, ended bool) {
	switch {
	case listed && now.Born != c.status.Born:
		return "started_again", true
	case listed && now.Left:
		return "replaced", true
	case c.doubt == unreached && (!listed || now.Gone && !now.Draining):
		return "not_listed", true
	default:
		return "", false
	}
}

// end takes in that an endpoint has ended, and records it against all that it was in
// the middle of.
func (k *Keeper) end(c *check, why string) {
	c.doubt, c.ended = over, k.cfg.Now()
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

// record records the end of an endpoint against requests that it was in the middle of.
func (k *Keeper) record(c *check, losses ...loss) {
	now := k.cfg.Now()
	suspects := make([]poison.Suspect, 0, len(losses))
	for _, l := range losses {
		k.cfg.Log.WithFields(log.Fields{
			log.FieldRequest: l.request,
			log.FieldEngine:  c.status.ID,
			"fingerprint":    l.fingerprint.String(),
			"ran_ms":         l.ran.Milliseconds(),
		}).Info("poison_suspected")
		suspects = append(suspects, poison.Suspect{
			Fingerprint: l.fingerprint,
			Ends:        []poison.End{{Endpoint: startOf(c.status), At: c.ended, Ran: l.ran}},
			Seen:        now,
		})
	}
	k.publish(k.learn("here", func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect) {
		return l.With(now, suspects...)
	}))
}
