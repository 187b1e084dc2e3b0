// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package table defines the operators' table: services, pools, endpoints and the
// rows that assign pools to services, with weights and limits. A Table is an
// immutable value; the With methods return changed copies.
package table

import "slices"

// The kinds of services.
const (
	KindModel = "model"
	KindPlain = "plain"
	// KindRouted services are reached through the table's routes. Their endpoints
	// register themselves and are listed in the directory, not in the table.
	KindRouted = "routed"
)

// The roles of pools.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RolePlain   = "plain"
)

// Table is one accepted configuration.
type Table struct {
	// Generation rises with each accepted change. It falls only if the platform's store is
	// restored from an older copy.
	Generation uint64 `json:"generation"`
	// Version is the operator's own version number of the table, which never falls; 0 is none.
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
	// Kind is one of the Kind constants.
	Kind string `json:"kind"`
	// Route is the path prefix of a plain service, such as "/portal".
	Route string `json:"route,omitempty"`
	// FirstTokenMS is the target for the first token, in milliseconds.
	FirstTokenMS int `json:"first_token_ms,omitempty"`
	// FirstTokenMSPer1K is added to FirstTokenMS for each 1,000 prompt tokens.
	FirstTokenMSPer1K int `json:"first_token_ms_per_1k,omitempty"`
	// PerTokenMS is the target between two tokens, in milliseconds.
	PerTokenMS int `json:"per_token_ms,omitempty"`
	// WasteWeight is the weight of wasted prefill against goodput, 0 to 1.
	WasteWeight float64 `json:"waste_weight,omitempty"`
	// MaxPromptTokens is the maximum length of a prompt.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// MaxOutputTokens is the maximum length of an answer.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// MaxConnections is the maximum number of connections to one endpoint of a routed
	// service from all boxes together; 0 means no known limit.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdMS is how long an endpoint of a routed service is cold after a start, in
	// milliseconds, and ColdPace the number of requests per second that it can take
	// meanwhile; 0 means no known limit.
	ColdMS   int     `json:"cold_ms,omitempty"`
	ColdPace float64 `json:"cold_pace,omitempty"`
	// Engine describes the engines of a routed model service; nil means that the routed
	// service is a plain one.
	Engine *EngineLimits `json:"engine,omitempty"`
}

// Pool is a set of endpoints with one role.
type Pool struct {
	Name string `json:"name"`
	Role string `json:"role"`
}

// Endpoint is a back end; an endpoint of a prefill or decode pool is an engine. Its
// rates are initial estimates, which the boxes replace by what they measure.
type Endpoint struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Slots is the number of requests that the endpoint may hold at once.
	Slots int `json:"slots"`
	// KVTokens is the engine's memory for KV cache, in tokens.
	KVTokens int `json:"kv_tokens,omitempty"`
	// PrefillTokensPerSecond is the initial estimate of the prefill rate.
	PrefillTokensPerSecond int `json:"prefill_tokens_per_second,omitempty"`
	// StepBaseUS and StepPerRequestUS are the initial estimates of the time of one
	// decode step, in microseconds: StepBaseUS plus StepPerRequestUS for each request
	// in the batch.
	StepBaseUS       int `json:"step_base_us,omitempty"`
	StepPerRequestUS int `json:"step_per_request_us,omitempty"`
	// KVBytesPerToken is the size of one token's KV cache in a transfer.
	KVBytesPerToken int `json:"kv_bytes_per_token,omitempty"`
	// Leaving endpoints get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFence means that the endpoint refuses orders with an outdated fencing token.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Software is the version of the endpoint's software; empty means unknown.
	Software string `json:"software,omitempty"`
}

// Row assigns a pool to a service, with a weight for each zone.
type Row struct {
	Service string `json:"service"`
	Pool    string `json:"pool"`
	// Weights maps availability zones to their shares; a zone that is missing has 0.
	Weights map[string]int `json:"weights"`
	// HoldsPerEngine is the maximum number of requests on each engine; 0 means its slots.
	HoldsPerEngine int `json:"holds_per_engine,omitempty"`
}

// Link is the transfer rate between two zones, or within one zone if both are the same.
type Link struct {
	From           string `json:"from"`
	To             string `json:"to"`
	BytesPerSecond int64  `json:"bytes_per_second"`
}

// Service returns the service of a name, and false if there is none.
func (t Table) Service(name string) (Service, bool) {
	i := slices.IndexFunc(t.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return t.Services[i], true
}

// Pool returns the pool of a name, and false if there is none.
func (t Table) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(t.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return t.Pools[i], true
}

// Endpoint returns the endpoint of a name, and false if there is none.
func (t Table) Endpoint(name string) (Endpoint, bool) {
	i := slices.IndexFunc(t.Endpoints, func(e Endpoint) bool { return e.Name == name })
	if i < 0 {
		return Endpoint{}, false
	}
	return t.Endpoints[i], true
}

// LinkRate returns the rate between two zones, in either direction, in bytes per
// second; 0 means that the table has no limit for it.
func (t Table) LinkRate(from, to string) int64 {
	for _, l := range t.Links {
		if l.From == from && l.To == to || l.From == to && l.To == from {
			return l.BytesPerSecond
		}
	}
	return 0
}

// WithGeneration returns the table with another generation.
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

// WithLeaving returns the table with the endpoint's Leaving field changed. A name that
// is not in the table changes nothing.
func (t Table) WithLeaving(endpoint string, leaving bool) Table {
	e, ok := t.Endpoint(endpoint)
	if !ok {
		return t
	}
	e.Leaving = leaving
	return t.WithEndpoint(e)
}
