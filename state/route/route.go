// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package route finds the route of an opaque request by its host and path, and
// chooses the service that receives it.
package route

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"runridge.example/runridge/state/table"
)

// Index finds routes by host and path. It is an immutable value built from one table.
type Index struct {
	// generation is the generation of the table.
	generation uint64
	// hosts maps hosts in lower case to their routes by prefix.
	hosts map[string]map[string]table.Route
}

// NewIndex returns the index of a table's routes.
func NewIndex(t table.Table) Index {
	x := Index{generation: t.Generation, hosts: make(map[string]map[string]table.Route)}
	for _, r := range t.Routes {
		host := strings.ToLower(r.Host)
		if x.hosts[host] == nil {
			x.hosts[host] = make(map[string]table.Route)
		}
		x.hosts[host][r.Prefix] = r
	}
	return x
}

// Generation returns the generation of the table that the index was built from; 0 is
// none.
func (x Index) Generation() uint64 { return x.generation }

// Match returns the route of a host with the longest prefix of the path, and false
// if there is none. A port in host is ignored.
func (x Index) Match(host, path string) (table.Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	prefixes := x.hosts[strings.ToLower(host)]
	// Each prefix ends with a slash, so only parts that end at a slash are looked up.
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if path[end-1] != '/' {
			continue
		}
		if r, ok := prefixes[path[:end]]; ok {
			return r, true
		}
	}
	return table.Route{}, false
}

// Pick chooses the service for a request by the route's weights. Every box chooses
// the same service for the same key as long as the weights stay. It returns "" if
// all weights are 0.
func Pick(r table.Route, key string) string {
	sum := uint64(0)
	for _, t := range r.Targets {
		sum += uint64(t.Weight)
	}
	if sum == 0 {
		return ""
	}
	remaining := xxhash.Sum64String(key) % sum
	for _, t := range r.Targets {
		if remaining < uint64(t.Weight) {
			return t.Service
		}
		remaining -= uint64(t.Weight)
	}
	return ""
}
