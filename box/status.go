// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"fmt"
	"time"

	"runridge.example/runridge/modules/metric"
	"runridge.example/runridge/modules/version"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/transport/operatorhttp"
)

// Status returns the box's state for its operators.
func (b *Box) Status() operatorhttp.Status {
	following := b.follower.Status()
	sent, received, messages := b.net.Traffic()
	s := operatorhttp.Status{
		Box:             b.settings.Name,
		Zone:            b.settings.Zone,
		Incarnation:     b.options.Incarnation,
		Ready:           b.Ready(),
		Generation:      following.Generation,
		TableVersion:    following.Version,
		InForceSince:    following.Since,
		PlatformHeardMS: -1,
		Watching:        following.Watching,
		Rejected:        following.Rejected,
		Active:          b.Active(),
		Releasing:       b.PendingReleases(),
		BytesSent:       sent,
		BytesReceived:   received,
		Messages:        messages,
		TableAgeMS:      ageMS(b.follower.Age()),
	}
	s.Build, s.Wire, s.Peers, s.Unknown = version.Version, uint16(boxwire.VersionCurrent), b.peerVersions(), b.unknownMessages()
	for _, c := range b.notices.Closed() {
		s.Closed = append(s.Closed, operatorhttp.ClosedEndpoint{Endpoint: c.Endpoint, Leaving: c.Leaving, RestMS: c.Rest.Milliseconds()})
	}
	s.PlatformBytesSent, s.PlatformBytesReceived = b.platformTraffic()
	for _, f := range b.net.Flows() {
		s.Flows = append(s.Flows, operatorhttp.Flow{
			Kind: f.Kind.String(), Distance: f.Distance.String(), Bytes: f.Bytes, Messages: f.Messages,
		})
	}
	if b.routed != nil {
		quotas := b.routed.quotas.Status()
		s.Quotas = &quotas
		s.Stages = b.homes.Plans()
		drained := b.routed.drains.Status()
		s.Zones = &drained
		s.Restrictions = boundOf(b.follower.Table())
		s.Cold = b.homes.ColdEndpoints()
	}
	s.Limited = b.homes.LimitedEndpoints()
	s.Poison = b.quarantine.Status()
	s.Unreadable = b.unreadable.Objects()
	s.Held = b.held.Status()
	if !following.PlatformHeard.IsZero() {
		s.PlatformHeardMS = time.Since(following.PlatformHeard).Milliseconds()
	}
	s.Region = b.regions.Of(b.settings.Zone)
	s.RoundTripsUS = make(map[string]int64)
	for zone, took := range b.members.Delays().All() {
		s.RoundTripsUS[zone] = took.Microseconds()
	}
	s.Homes = b.groupHomes()
	for _, m := range b.members.Snapshot().All {
		s.Members = append(s.Members, operatorhttp.Member{Name: m.Name, State: m.State.String()})
	}
	return s
}

// peerVersions counts the boxes that have greeted this one, by the protocol version that
// they read.
func (b *Box) peerVersions() map[uint16]int {
	out := make(map[uint16]int)
	for _, p := range b.net.Versions() {
		out[uint16(p.Version)]++
	}
	return out
}

// unknownMessages counts, by kind, the messages that this build does not know or cannot
// read. A kind without a name is listed by its number.
func (b *Box) unknownMessages() map[string]uint64 {
	out := make(map[string]uint64)
	for k, count := range b.net.Unknown() {
		out[fmt.Sprintf("%d %s", uint8(k), k)] = count
	}
	return out
}

// groupHomes lists the groups with their homes, as this box sees them.
func (b *Box) groupHomes() []operatorhttp.GroupHome {
	members := b.members.Snapshot()
	var out []operatorhttp.GroupHome
	for _, p := range b.router.Places() {
		g := operatorhttp.GroupHome{Group: p.Key, Zone: p.Zone, Region: p.Region, Home: b.router.HomeOf(p.Key)}
		if m, known := members.Box(g.Home); known {
			g.HomeZone, g.HomeRegion = m.Zone, b.regions.Of(m.Zone)
		}
		out = append(out, g)
	}
	return out
}

// boundOf lists the routes and accounts that may be served in some regions only.
func boundOf(t table.Table) []operatorhttp.RegionRestriction {
	var out []operatorhttp.RegionRestriction
	for _, r := range t.Routes {
		if len(r.AllowedRegions) > 0 {
			out = append(out, operatorhttp.RegionRestriction{Of: operatorhttp.RestrictionOfRoute, Name: r.Name, Regions: r.AllowedRegions})
		}
	}
	for _, a := range t.Accounts {
		if len(a.AllowedRegions) > 0 {
			out = append(out, operatorhttp.RegionRestriction{Of: operatorhttp.RestrictionOfAccount, Name: a.Name, Regions: a.AllowedRegions})
		}
	}
	return out
}

// newMetrics creates the box's metrics.
func (b *Box) newMetrics() (*metric.Metrics, error) {
	return metric.New(metric.Config{
		Active:     b.Active,
		Releasing:  b.PendingReleases,
		Generation: func() uint64 { return b.follower.Table().Generation },
		Traffic:    b.Traffic,
		Flows:      b.flows,
		Drained:    b.countDrained,
		Unknown:    b.unknownMessages,
		Unreadable: b.unreadable.Counts,
		Held:       func() map[string]int64 { return b.held.Status().ByKind },
		LostPaths:  b.lostPaths,
		Tunnels:    func() int { return b.net.Tunnels() },
		Overload: func() (time.Duration, float64) {
			perSecond, _ := b.overload.Limit()
			return b.overload.Delay(), perSecond
		},
	})
}
