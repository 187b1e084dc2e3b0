// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package owner reports what is known of the process that owns a request. Only a proof
// counts as the end of the process, since a box that others cannot reach may well be
// serving.
package owner

import (
	"context"
	"sync"

	members "runridge.example/runridge/coordination/member"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/member"
)

// Verdict is what is known of the process that owns a request.
type Verdict uint8

const (
	// Reachable means that the owner can be asked.
	Reachable Verdict = iota
	// Unreachable means that the owner does not answer, which proves nothing.
	Unreachable
	// Ended means that the owner is proved to have ended.
	Ended
)

// Prober proves that no process listens at an address any more: the machine answered, and
// refused the connection. A missing answer proves nothing.
type Prober interface {
	Refused(ctx context.Context, address string) bool
}

// Config configures a Checker.
type Config struct {
	Members func() members.Snapshot
	Prober  Prober
}

// Checker decides whether the owner of a request still runs, and caches proofs that it does
// not.
type Checker struct {
	cfg    Config
	mutex  sync.Mutex
	proofs map[process]bool
}

// process is one start of a box.
type process struct {
	box   string
	start uint64
}

// maxProofs bounds the cached proofs.
const maxProofs = 256

// New returns a Checker without cached proofs.
func New(cfg Config) *Checker {
	return &Checker{cfg: cfg, proofs: make(map[process]bool)}
}

// Check returns what is known of the owner of a request. A newer process under the owner's
// name, a refused connection, and a platform list without the box prove that the owner has
// ended.
func (j *Checker) Check(ctx context.Context, id lifecycle.RequestID) Verdict {
	view := j.cfg.Members()
	b, known := view.Box(id.Box)
	_, listed := view.Listed[id.Box]
	unlisted := len(view.Listed) > 0 && !listed
	switch {
	case !known && unlisted:
		return Ended
	case !known:
		return Unreachable
	case b.Start > id.Incarnation:
		return Ended
	case b.State != member.Dead:
		return Reachable
	case unlisted || j.connectionRefused(ctx, b):
		return Ended
	default:
		return Unreachable
	}
}

// connectionRefused reports whether the box refuses connections, and caches a positive
// answer.
func (j *Checker) connectionRefused(ctx context.Context, b member.Box) bool {
	p := process{box: b.Name, start: b.Start}
	j.mutex.Lock()
	proved := j.proofs[p]
	j.mutex.Unlock()
	if proved {
		return true
	}
	if !j.cfg.Prober.Refused(ctx, b.Address) {
		return false
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if len(j.proofs) >= maxProofs {
		clear(j.proofs)
	}
	j.proofs[p] = true
	return true
}
