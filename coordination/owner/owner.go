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
	// There means that the owner can be asked.
	There Verdict = iota
	// Silent means that the owner does not answer, which proves nothing.
	Silent
	// Gone means that the owner is proved to have ended.
	Gone
)

// Prober proves that no process listens at an address any more: the machine answered, and
// refused the connection. A missing answer proves nothing.
type Prober interface {
	Refused(ctx context.Context, address string) bool
}

// Config configures a Judge.
type Config struct {
	Members func() members.Snapshot
	Prober  Prober
}

// Judge decides whether the owner of a request still runs, and caches proofs that it does
// not.
type Judge struct {
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

// New returns a Judge without cached proofs.
func New(cfg Config) *Judge {
	return &Judge{cfg: cfg, proofs: make(map[process]bool)}
}

// Of returns what is known of the owner of a request. A newer process under the owner's
// name, a refused connection, and a platform list without the box prove that the owner has
// ended.
func (j *Judge) Of(ctx context.Context, id lifecycle.RequestID) Verdict {
	view := j.cfg.Members()
	b, known := view.Box(id.Box)
	_, listed := view.Listed[id.Box]
	unlisted := len(view.Listed) > 0 && !listed
	switch {
	case !known && unlisted:
		return Gone
	case !known:
		return Silent
	case b.Start > id.Incarnation:
		return Gone
	case b.State != member.Dead:
		return There
	case unlisted || j.connectionRefused(ctx, b):
		return Gone
	default:
		return Silent
	}
}

// connectionRefused reports whether the box refuses connections, and caches a positive
// answer.
func (j *Judge) connectionRefused(ctx context.Context, b member.Box) bool {
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
