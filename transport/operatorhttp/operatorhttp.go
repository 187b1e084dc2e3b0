// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package operatorhttp is the HTTP server for operators: a box's status and metrics. It has a
// listener of its own, separate from that for callers.
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
	"runridge.example/runridge/coordination/unreadable"
)

// Paths of the box's Status as JSON and of its metrics.
const (
	PathStatus  = "/status"
	PathMetrics = "/metrics"
)

// ClosedEndpoint is an endpoint to which this box sends no requests, because it is leaving or has
// asked for rest.
type ClosedEndpoint struct {
	Endpoint string `json:"endpoint"`
	Leaving  bool   `json:"leaving,omitempty"`
	// RestMS is the remaining rest, in milliseconds.
	RestMS int64 `json:"rest_ms,omitempty"`
}

// Status is the status of a box.
type Status struct {
	Box string `json:"box"`
	// Build is the running release, and Wire the version of the messages between boxes
	// that it reads.
	Build string `json:"build"`
	Wire  uint16 `json:"wire"`
	// Peers counts the boxes that have sent this one a hello, by the version that they
	// read, and Unknown the messages that this build did not know or could not read, by
	// kind.
	Peers       map[uint16]int    `json:"peers,omitempty"`
	Unknown     map[string]uint64 `json:"unknown,omitempty"`
	Zone        string            `json:"zone"`
	Incarnation uint64            `json:"incarnation"`
	Ready       bool              `json:"ready"`
	// Generation is the generation of the table in force, and InForceSince the time since
	// when it is. PlatformHeardMS is how long ago this box last received an answer of the
	// platform, in milliseconds; -1 is never.
	Generation uint64 `json:"generation"`
	// TableVersion is the operator's own version number of the table; 0 is none.
	TableVersion    uint64    `json:"table_version,omitempty"`
	InForceSince    time.Time `json:"in_force_since"`
	PlatformHeardMS int64     `json:"platform_heard_ms"`
	Watching        bool      `json:"watching"`
	// Rejected is a table version that failed validation; 0 is none.
	Rejected uint64 `json:"rejected,omitempty"`
	Active   int    `json:"active"`
	// Releasing is the number of holds whose release isn't acknowledged yet.
	Releasing int      `json:"releasing"`
	Members   []Member `json:"members"`
	// Closed lists the endpoints to which this box sends no requests because of their
	// notices.
	Closed        []ClosedEndpoint `json:"closed,omitempty"`
	BytesSent     uint64           `json:"bytes_sent"`
	BytesReceived uint64           `json:"bytes_received"`
	Messages      uint64           `json:"messages"`
	// PlatformBytesSent and PlatformBytesReceived count the bytes of calls to the
	// platform.
	PlatformBytesSent     uint64 `json:"platform_bytes_sent,omitempty"`
	PlatformBytesReceived uint64 `json:"platform_bytes_received,omitempty"`
	// Flows counts the bytes and messages sent to other boxes by kind and distance.
	Flows []Flow `json:"flows,omitempty"`
	// TableAgeMS is how long ago the platform confirmed the table in force to this box,
	// or to another that announced it, in milliseconds; -1 is never.
	TableAgeMS int64 `json:"table_age_ms"`
	// Quotas is the state of the accounts' quotas at this box; nil without routed services.
	Quotas *quota.Status `json:"quotas,omitempty"`
	// Zones holds the drained availability zones; nil without routed services.
	Zones *drain.Status `json:"zones,omitempty"`
	// Restrictions lists the routes and accounts that are restricted to some regions.
	Restrictions []RegionRestriction `json:"bound,omitempty"`
	// Stages holds the stage plans of the groups whose home this box is.
	Stages []home.StagePlan `json:"stages,omitempty"`
	// Region is the region of the box's zone; empty is unknown.
	Region string `json:"region,omitempty"`
	// RoundTripsUS holds the shortest recent round trip of the box's probes to each other
	// zone, in microseconds.
	RoundTripsUS map[string]int64 `json:"round_trips_us,omitempty"`
	// Homes lists the groups with their homes, as this box sees them.
	Homes []GroupHome `json:"homes,omitempty"`
	// Poison holds the poison requests: those that end the endpoints that run them.
	Poison quarantine.Status `json:"poison"`
	// Unreadable lists the objects of the platform that this box read last and could not use.
	Unreadable []unreadable.Object `json:"unreadable,omitempty"`
	// Held is what the box holds in memory for callers.
	Held held.Status `json:"held"`
	// Cold lists the cold endpoints of the groups whose home this box is, and Limited
	// their endpoints that announce a limit.
	Cold    []home.ColdEndpoint    `json:"cold,omitempty"`
	Limited []home.LimitedEndpoint `json:"limited,omitempty"`
}

// GroupHome is a group with the place of its endpoints and the box that is its home.
type GroupHome struct {
	Group string `json:"group"`
	// Zone and Region are those of the group's endpoints; empty if they are in several or
	// it is unknown.
	Zone   string `json:"zone,omitempty"`
	Region string `json:"region,omitempty"`
	Home   string `json:"home"`
	// HomeZone and HomeRegion are those of the home; empty if unknown.
	HomeZone   string `json:"home_zone,omitempty"`
	HomeRegion string `json:"home_region,omitempty"`
}

// Flow counts the messages of one kind that the box has sent to boxes at one distance.
type Flow struct {
	Kind     string `json:"kind"`
	Distance string `json:"distance"`
	Bytes    uint64 `json:"bytes"`
	Messages uint64 `json:"messages"`
}

// RegionRestriction is a route or an account with its allowed regions in the table in force.
type RegionRestriction struct {
	// Of is one of the RestrictionOf constants, and Name the name of the route or account.
	Of      string   `json:"of"`
	Name    string   `json:"name"`
	Regions []string `json:"regions"`
}

// Values of RegionRestriction.Of.
const (
	RestrictionOfRoute   = "route"
	RestrictionOfAccount = "account"
)

// Member is a box in this box's view of the membership.
type Member struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

const (
	headerTimeout = 2 * time.Second
	writeTimeout  = 5 * time.Second
	maxHeader     = 8 << 10
)

// Serve serves the status and the metrics until the context ends.
func Serve(ctx context.Context, l net.Listener, status func() Status, metrics http.Handler) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// The error is ignored: it means that the operator has disconnected.
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
