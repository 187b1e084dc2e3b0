// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package table holds the operators' table: services, pools, endpoints and
// the rows that say which pool serves which service, with weights and limits.
// A Table is an immutable value; changes go through the With methods.
package table

import "slices"

// Kind of a service.
const (
	KindModel = "model"
	KindPlain = "plain"
	// KindRouted services are reached through the table's routes; their
	// endpoints announce themselves and stand in the directory, not in the table.
	KindRouted = "routed"
)

// Role of a pool.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RolePlain   = "plain"
)

// Table is one accepted configuration.
type Table struct {
	// Generation grows with each accepted change, unless the platform's store comes back from
	// an older copy.
	Generation uint64 `json:"generation"`
	// Version is the operator's own number of the table, which never falls; 0 is none.
	Version   uint64     `json:"version,omitempty"`
	Zones     []Zone     `json:"zones"`
	Services  []Service  `json:"services"`
	Pools     []Pool     `json:"pools"`
	Endpoints []Endpoint `json:"endpoints"`
	Rows      []Row      `json:"rows"`
	Links     []Link     `json:"links,omitempty"`
	Accounts  []Account  `json:"accounts,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	Limits    Limits     `json:"limits,omitzero"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Service is what callers address: a model or a route prefix.
type Service struct {
	Name string `json:"name"`
	// Kind is KindModel or KindPlain.
	Kind string `json:"kind"`
	// Route is the path prefix of a plain service, such as "/portal".
	Route string `json:"route,omitempty"`
	// FirstTokenMS is the target for the first token, in milliseconds.
	FirstTokenMS int `json:"first_token_ms,omitempty"`
	// FirstTokenMSPer1K is added to the target for each 1,000 prompt tokens.
	FirstTokenMSPer1K int `json:"first_token_ms_per_1k,omitempty"`
	// PerTokenMS is the target between two tokens, in milliseconds.
	PerTokenMS int `json:"per_token_ms,omitempty"`
	// WasteWeight says how much wasted prefill counts against goodput, 0 to 1.
	WasteWeight float64 `json:"waste_weight,omitempty"`
	// MaxPromptTokens bounds a prompt.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// MaxOutputTokens bounds an answer.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// MaxConnections bounds the connections to one endpoint of a routed
	// service from all boxes together; 0 is no known bound.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdMS is how long an endpoint of a routed service is slow after a start, in
	// milliseconds, and ColdPace how many requests a second it bears meanwhile;
	// 0 is no known bound.
	ColdMS   int     `json:"cold_ms,omitempty"`
	ColdPace float64 `json:"cold_pace,omitempty"`
	// Engine describes the engines of a routed model service; nil is a routed
	// plain service.
	Engine *EngineLimits `json:"engine,omitempty"`
}

// Pool is a set of endpoints with one role.
type Pool struct {
	Name string `json:"name"`
	Role string `json:"role"`
}

// Endpoint is a back end; one of a prefill or decode pool is an engine. The
// rates are starting values: what the boxes learn from answers replaces them.
type Endpoint struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Slots is how many requests the engine may hold at once.
	Slots int `json:"slots"`
	// KVTokens is the engine's memory for KV cache, in tokens.
	KVTokens int `json:"kv_tokens,omitempty"`
	// PrefillTokensPerSecond is the rate of prefill at the start.
	PrefillTokensPerSecond int `json:"prefill_tokens_per_second,omitempty"`
	// StepBaseUS and StepPerRequestUS give the time of one decode step, in
	// microseconds: base + per request in the batch.
	StepBaseUS       int `json:"step_base_us,omitempty"`
	StepPerRequestUS int `json:"step_per_request_us,omitempty"`
	// KVBytesPerToken is the size of one token's KV cache when moved.
	KVBytesPerToken int `json:"kv_bytes_per_token,omitempty"`
	// Leaving endpoints get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFence says whether the endpoint refuses orders with an old fence.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// Row says that a pool serves a service, and with what weight in each zone.
type Row struct {
	Service string `json:"service"`
	Pool    string `json:"pool"`
	// Weights gives each availability zone's share; a zone not named has 0.
	Weights map[string]int `json:"weights"`
	// HoldsPerEngine bounds the requests on each engine; 0 means its slots.
	HoldsPerEngine int `json:"holds_per_engine,omitempty"`
}

// Link is the rate between two zones, or inside one when both are the same.
type Link struct {
	From           string `json:"from"`
	To             string `json:"to"`
	BytesPerSecond int64  `json:"bytes_per_second"`
}

// Service finds a service by name.
func (t Table) Service(name string) (Service, bool) {
	i := slices.IndexFunc(t.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return t.Services[i], true
}

// Pool finds a pool by name.
func (t Table) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(t.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return t.Pools[i], true
}

// Endpoint finds an endpoint by name.
func (t Table) Endpoint(name string) (Endpoint, bool) {
	i := slices.IndexFunc(t.Endpoints, func(e Endpoint) bool { return e.Name == name })
	if i < 0 {
		return Endpoint{}, false
	}
	return t.Endpoints[i], true
}

// LinkRate is the rate from one zone to another in bytes per second; 0 means
// that the table names no limit.
func (t Table) LinkRate(from, to string) int64 {
	for _, l := range t.Links {
		if l.From == from && l.To == to || l.From == to && l.To == from {
			return l.BytesPerSecond
		}
	}
	return 0
}

// WithGeneration returns the table under another generation.
func (t Table) WithGeneration(generation uint64) Table {
	t.Generation = generation
	return t
}

// WithEndpoint returns the table with the endpoint of that name replaced, or
// added if there is none.
func (t Table) WithEndpoint(e Endpoint) Table {
	t.Endpoints = slices.Clone(t.Endpoints)
	i := slices.IndexFunc(t.Endpoints, func(o Endpoint) bool { return o.Name == e.Name })
	if i < 0 {
		t.Endpoints = append(t.Endpoints, e)
		return t
	}
	t.Endpoints[i] = e
	return t
}

// WithLeaving returns the table with the endpoint's mark changed. A name that
// is not in the table changes nothing.
func (t Table) WithLeaving(endpoint string, leaving bool) Table {
	e, ok := t.Endpoint(endpoint)
	if !ok {
		return t
	}
	e.Leaving = leaving
	return t.WithEndpoint(e)
}
