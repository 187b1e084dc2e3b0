// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import "time"

// Whether a route's requests may be repeated.
const (
	// RepeatSafe requests may run more than once.
	RepeatSafe = "safe"
	// RepeatUnsafe requests run at most once for each attempt of the caller.
	RepeatUnsafe = "unsafe"
	// RepeatStream requests are answered by a stream of events. They run at
	// most once, unless the route is resumable.
	RepeatStream = "stream"
)

// Route assigns the requests for a host and a path prefix to services.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Targets are the services with their weights; at least one.
	Targets []RouteTarget `json:"targets"`
	// Repeat is one of the Repeat constants.
	Repeat string `json:"repeat"`
	// TimeoutMS is the time limit for the whole answer, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
	// TargetMS is the target for the answer, or for a stream's first event, in
	// milliseconds.
	TargetMS int `json:"target_ms,omitempty"`
	// GapMS is the target between two events of a stream, in milliseconds.
	GapMS int `json:"gap_ms,omitempty"`
	// GiveUpMS is how long callers wait for a stream's first event before they
	// cancel, in milliseconds; 0 means not known.
	GiveUpMS int `json:"give_up_ms,omitempty"`
	// MaxAttempts is the maximum number of endpoints that may run one request.
	MaxAttempts int `json:"max_attempts"`
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Resumable streams may continue on another endpoint after an event.
	Resumable bool `json:"resumable,omitempty"`
	// Public routes accept requests without a key.
	Public bool `json:"public,omitempty"`
	// AllowedRegions lists the only regions in which the route's requests may be
	// served and stored; empty means all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
}

// RouteTarget is a service's share of a route.
type RouteTarget struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// EngineLimits describes the engines of a routed service.
type EngineLimits struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int `json:"slots"`
	// KVTokens is an engine's memory for KV cache, in tokens.
	KVTokens int `json:"kv_tokens"`
	// KVBytesPerToken is the size of one token's KV cache in a transfer.
	KVBytesPerToken int `json:"kv_bytes_per_token"`
	// TokensPerEvent is the number of tokens in one event of a stream; 0 means 1.
	TokensPerEvent int `json:"tokens_per_event,omitempty"`
	// KeptMS is how long an engine keeps a prefill result that is not fetched, in
	// milliseconds.
	KeptMS int `json:"kept_ms,omitempty"`
	// SwitchMS is how long an engine is unavailable when it changes its stage, in
	// milliseconds; 0 means that engines cannot be ordered to change it.
	SwitchMS int `json:"switch_ms,omitempty"`
}

// Limits bounds the requests of the routes' callers. 0 means the default.
type Limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes,omitempty"`
	MaxBodyBytes    int `json:"max_body_bytes,omitempty"`
	HeaderTimeoutMS int `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int `json:"idle_timeout_ms,omitempty"`
}

// key returns the route's key: a prefix of a host has one route.
func (r Route) key() string { return r.Host + r.Prefix }

// Timeout returns the time limit for the whole answer.
func (r Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMS) * time.Millisecond
}

// Target returns the target for the answer or a stream's first event.
func (r Route) Target() time.Duration {
	return time.Duration(r.TargetMS) * time.Millisecond
}

// GiveUp returns how long callers wait for a stream's first event; 0 means not known.
func (r Route) GiveUp() time.Duration {
	return time.Duration(r.GiveUpMS) * time.Millisecond
}

// Idempotent reports whether the route's requests may run more than once.
func (r Route) Idempotent() bool {
	return r.Repeat == RepeatSafe || r.Repeat == RepeatStream && r.Resumable
}

// Stream reports whether the route's answers are streams of events.
func (r Route) Stream() bool { return r.Repeat == RepeatStream }
