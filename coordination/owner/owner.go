// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package owner says what is known of the process that owns a request. Only a
// proof counts as its end, since a box that others cannot reach may well be
// serving.
package owner

import (
	"context"
	"sync"

	members "runridge.example/runridge/coordination/member"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/member"
)

// Verdict is what is known of an owner.
type Verdict uint8

const (
	// There means that the owner can be asked.
	There Verdict = iota
	// Silent means that it does not answer, which proves nothing.
	Silent
	// Gone means that it is proved to have ended.
	Gone
)

// Prober proves that no process listens at an address any more: the machine
// answered, and refused the connection. Silence proves nothing.
type Prober interface {
	Refused(ctx context.Context, address string) bool
}

// Config configures a Judge.
type Config struct {
	Members func() members.Snapshot
	Prober  Prober
}

// Judge gives verdicts and remembers proofs.
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

// maxProofs bounds the proofs remembered.
const maxProofs = 256

// New makes a judge.
func New(cfg Config) *Judge {
	return &Judge{cfg: cfg, proofs: make(map[process]bool)}
}

// Of says what is known of a request's owner. The proofs are a newer process
// under its name, a refused connection, and the platform's word that the box
// is no more.
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
	case unlisted || j.refused(ctx, b):
		return Gone
	default:
		return Silent
	}
}

// refused asks for a proof; one that was had is remembered.
func (j *Judge) refused(ctx context.Context, b member.Box) bool {
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
