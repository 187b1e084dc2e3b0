// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"time"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
)

// Grant admits an ask and names the engines to use. MoveMS is the estimated time of the
// transfer of the KV cache alone; 0 means unknown.
type Grant struct {
	About
	Mode    uint8
	Prefill Ref
	Decode  Ref
	Reuse   bool
	MoveMS  int64
	// PacedPrefill and PacedDecode report whether the request was counted against the pace of
	// an engine that is cold or names a limit. HeldMS is how long the home kept the ask before
	// it granted it.
	PacedPrefill bool
	PacedDecode  bool
	HeldMS       int64
	Limits       []Limit
}

// Kind returns KindGrant.
func (*Grant) Kind() Kind { return KindGrant }

// fromGrant converts a grant to its message.
func fromGrant(group string, d schedule.Grant) *Grant {
	return &Grant{
		About:   NewAbout(group, d.Ask.ID),
		Mode:    uint8(d.Plan.Mode),
		Prefill: RefOf(d.Plan.Prefill),
		Decode:  RefOf(d.Plan.Decode),
		Reuse:   d.Plan.Reuse,
		MoveMS:  d.Move.Milliseconds(),

		PacedPrefill: d.PacedPrefill,
		PacedDecode:  d.PacedDecode,
		HeldMS:       d.QueueTime.Milliseconds(),
		Limits:       fromLimits(d.Limits),
	}
}

// Decision converts the message back; the owner is this box. Of the ask, only the
// id is set. It reports false if the names of the engines are not all known.
func (g *Grant) Decision(n *Names, o Owner) (schedule.Decision, bool) {
	prefill, prefillKnown := n.Name(g.Prefill)
	decode, decodeKnown := n.Name(g.Decode)
	return schedule.Grant{
		Ask:  schedule.Ask{ID: g.ID(o)},
		Plan: lifecycle.Plan{Mode: lifecycle.Mode(g.Mode), Prefill: prefill, Decode: decode, Reuse: g.Reuse},
		Move: time.Duration(g.MoveMS) * time.Millisecond,

		PacedPrefill: g.PacedPrefill,
		PacedDecode:  g.PacedDecode,
		QueueTime:    time.Duration(g.HeldMS) * time.Millisecond,
		Limits:       limitsOf(n, g.Limits),
	}, prefillKnown && decodeKnown
}

// GroupOf returns the group that the decision is about.
func (g *Grant) GroupOf() Ref { return g.Group }
