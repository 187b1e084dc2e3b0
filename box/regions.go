// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/metric"
	"runridge.example/runridge/state/cover"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/spread"
)

// flowReportInterval is how often a box logs the bytes that it has sent to other boxes; it
// matches the interval for platform calls.
const flowReportInterval = callReportInterval

// distanceTo returns the distance to another box. A box whose zone is not known counts as
// being in the same region.
func (b *Box) distanceTo(box string) locality.Distance {
	zones := b.zones.Load()
	if zones == nil {
		return locality.SameRegion
	}
	zone, known := (*zones)[box]
	if !known {
		return locality.SameRegion
	}
	return b.regions.Distance(b.settings.Zone, zone)
}

// setSpread recomputes, from the boxes that have duties, which boxes forward updates and
// table changes.
func (b *Box) setSpread(duty []member.Box) {
	f := spread.New(member.Box{Name: b.settings.Name, Zone: b.settings.Zone}, duty, b.regions)
	b.spread.Store(&f)
}

// nearRanked returns the boxes of this box's region, ranked for a key.
func (b *Box) nearRanked(key string) []string { return b.spread.Load().Near(key) }

// tree returns those boxes in the order of the forwarding tree for messages that start at
// origin.
func (b *Box) tree(key, origin string) []string { return b.spread.Load().Tree(key, origin) }

// readers returns how many boxes of a region read the platform for that region.
func (b *Box) readers() int {
	if b.regions.Several() {
		return cover.RegionReaders
	}
	return cover.Readers
}

// alone reports whether the platform's list of boxes was read and holds no other box.
func (b *Box) alone() bool {
	list := b.members.Snapshot().Listed
	return list != nil && len(list) <= 1
}

// listed reports whether the platform's list of boxes was read and the boxes on it are in
// force here.
func (b *Box) listed() bool {
	list := b.members.Snapshot().Listed
	return list != nil && (len(list) <= 1 || b.spread.Load().Len() > 1)
}

// regionEntries returns the boxes that receive updates on behalf of the other regions.
func (b *Box) regionEntries(key string) []string { return b.spread.Load().RegionEntries(key) }

// reportFlows logs the bytes sent to other boxes at each interval, and once more when the
// context ends.
func (b *Box) reportFlows(ctx context.Context) error {
	ticker := time.NewTicker(flowReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			b.options.Log.WithFields(b.flowFields()).Info("box_traffic")
			return nil
		case <-ticker.C:
			b.options.Log.WithFields(b.flowFields()).Info("box_traffic")
		}
	}
}

// flowFields returns the bytes sent so far as log fields, by kind of message and distance.
func (b *Box) flowFields() log.Fields {
	out := make(log.Fields)
	for _, f := range b.net.Flows() {
		out[f.Kind.String()+"."+f.Distance.String()] = f.Bytes
	}
	return out
}

// flows returns the bytes sent so far, for the metrics.
func (b *Box) flows() []metric.Flow {
	var out []metric.Flow
	for _, f := range b.net.Flows() {
		out = append(out, metric.Flow{Kind: f.Kind.String(), Distance: f.Distance.String(), Bytes: f.Bytes})
	}
	return out
}
