// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package operatorhttp is the side of a box that operators see. It has a
// listener of its own, apart from the callers'.
package operatorhttp

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"runridge.example/runridge/coordination/drain"
	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/coordination/quota"
)

// Paths: the box's Status as JSON, and its metrics.
const (
	PathStatus  = "/status"
	PathMetrics = "/metrics"
)

// ClosedEndpoint is an endpoint that leaves, or wants rest from this box for some
// milliseconds yet.
type ClosedEndpoint struct {
	Endpoint string `json:"endpoint"`
	Leaving  bool   `json:"leaving,omitempty"`
	RestMS   int64  `json:"rest_ms,omitempty"`
}

// Status is what a box says of itself.
type Status struct {
	Box string `json:"box"`
	// Build is the release that runs, and Wire the version of the messages that it reads.
	Build string `json:"build"`
	Wire  uint16 `json:"wire"`
	// Peers count the boxes that have greeted this one by the version that they read, and
	// Unknown the messages that this build did not know or could not read, by kind.
	Peers       map[uint16]int    `json:"peers,omitempty"`
	Unknown     map[string]uint64 `json:"unknown,omitempty"`
	Zone        string            `json:"zone"`
	Incarnation uint64            `json:"incarnation"`
	Ready       bool              `json:"ready"`
	// Generation is the table in force, since when, and how long ago the
	// platform was last heard by this box; -1 is never.
	Generation uint64 `json:"generation"`
	// TableVersion is the operator's own number of the table; 0 is none.
	TableVersion    uint64    `json:"table_version,omitempty"`
	InForceSince    time.Time `json:"in_force_since"`
	PlatformHeardMS int64     `json:"platform_heard_ms"`
	Watching        bool      `json:"watching"`
	// Rejected is a table version that did not pass the check; 0 is none.
	Rejected uint64 `json:"rejected,omitempty"`
	Active   int    `json:"active"`
	// Releasing is the holds not yet acknowledged as free.
	Releasing int      `json:"releasing"`
	Members   []Member `json:"members"`
	// Closed are the endpoints that this box sends nothing, by what they told it.
	Closed        []ClosedEndpoint `json:"closed,omitempty"`
	BytesSent     uint64           `json:"bytes_sent"`
	BytesReceived uint64           `json:"bytes_received"`
	Messages      uint64           `json:"messages"`
	// PlatformBytesSent and PlatformBytesReceived are the bytes of calls to the
	// platform.
	PlatformBytesSent     uint64 `json:"platform_bytes_sent,omitempty"`
	PlatformBytesReceived uint64 `json:"platform_bytes_received,omitempty"`
	// Flows are the bytes and messages sent by kind and distance.
	Flows []Flow `json:"flows,omitempty"`
	// TableAgeMS is how long ago the platform confirmed the table in force, by this
	// box's or another's word; -1 is never.
	TableAgeMS int64 `json:"table_age_ms"`
	// Quotas is the box's part in the quotas of accounts; nil without routed
	// services.
	Quotas *quota.Status `json:"quotas,omitempty"`
	// Zones are the drained availability zones; nil without routed services.
	Zones *drain.Status `json:"zones,omitempty"`
	// Bound are the routes and accounts that may be served in some regions only.
	Bound []Bound `json:"bound,omitempty"`
	// Stages are the plans of the groups that this box is home of.
	Stages []home.StagePlan `json:"stages,omitempty"`
	// Region is that of the box's zone; empty is not known.
	Region string `json:"region,omitempty"`
	// RoundTripsUS are the least round trips of the box's probes to other zones lately,
	// in microseconds.
	RoundTripsUS map[string]int64 `json:"round_trips_us,omitempty"`
	// Homes are the groups with their homes, as this box sees them.
	Homes []GroupHome `json:"homes,omitempty"`
	// Poison are the requests that end the endpoints which run them.
	Poison quarantine.Status `json:"poison"`
	// Held is what the box holds in memory for callers.
	Held held.Status `json:"held"`
	// Cold are the cold endpoints of those groups, and Limited those that name a limit.
	Cold    []home.ColdEndpoint    `json:"cold,omitempty"`
	Limited []home.LimitedEndpoint `json:"limited,omitempty"`
}

// GroupHome is a group, where its endpoints are, and the box that is its home.
type GroupHome struct {
	Group string `json:"group"`
	// Zone and Region are those of its endpoints; empty is several or not known.
	Zone   string `json:"zone,omitempty"`
	Region string `json:"region,omitempty"`
	Home   string `json:"home"`
	// HomeZone and HomeRegion are those of the home.
	HomeZone   string `json:"home_zone,omitempty"`
	HomeRegion string `json:"home_region,omitempty"`
}

// Flow is what the box has sent in messages of one kind to boxes at one distance.
type Flow struct {
	Kind     string `json:"kind"`
	Distance string `json:"distance"`
	Bytes    uint64 `json:"bytes"`
	Messages uint64 `json:"messages"`
}

// Bound is a route or an account with its allowed regions, by the table in force.
type Bound struct {
	// Of is one of the BoundOf constants, and Name that of the route or account.
	Of      string   `json:"of"`
	Name    string   `json:"name"`
	Regions []string `json:"regions"`
}

// What regions are allowed for.
const (
	BoundOfRoute   = "route"
	BoundOfAccount = "account"
)

// Member is another box as this one sees it.
type Member struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

const (
	headerTimeout = 2 * time.Second
	writeTimeout  = 5 * time.Second
	maxHeader     = 8 << 10
)

// Serve answers until the context ends.
func Serve(ctx context.Context, l net.Listener, status func() Status, metrics http.Handler) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An operator who has gone needs no answer.
		_ = json.NewEncoder(w).Encode(status())
	})
	mux.Handle("GET "+PathMetrics, metrics)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
