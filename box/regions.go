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

// flowReport is how often a box logs what it has sent to the others: as often as
// its calls to the platform.
const flowReport = callReport

// distanceTo is how far another box is. One whose zone is not known counts as near.
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

// spreadTo puts into force which boxes pass updates and changes on.
func (b *Box) spreadTo(duty []member.Box) {
	f := spread.New(member.Box{Name: b.settings.Name, Zone: b.settings.Zone}, duty, b.regions)
	b.spread.Store(&f)
}

// nearRanked lists the boxes of this box's region in their order for a key.
func (b *Box) nearRanked(key string) []string { return b.spread.Load().Near(key) }

// tree orders those boxes for the tree in which what an origin tells goes round.
func (b *Box) tree(key, origin string) []string { return b.spread.Load().Tree(key, origin) }

// readers is how many boxes of a region read the platform for it.
func (b *Box) readers() int {
	if b.regions.Several() {
		return cover.RegionReaders
	}
	return cover.Readers
}

// listed says whether the platform's list of boxes was read, and those on it were
// taken over.
func (b *Box) listed() bool {
	list := b.members.Snapshot().Listed
	return list != nil && (len(list) <= 1 || b.spread.Load().Len() > 1)
}

// heads names the boxes that take updates in for the other regions.
func (b *Box) heads(key string) []string { return b.spread.Load().Heads(key) }

// reportFlows is the duty that logs what was sent until the context ends.
func (b *Box) reportFlows(ctx context.Context) error {
	ticker := time.NewTicker(flowReport)
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

// flowFields are the bytes sent so far, as fields of a log line.
func (b *Box) flowFields() log.Fields {
	out := make(log.Fields)
	for _, f := range b.net.Flows() {
		out[f.Kind.String()+"."+f.Distance.String()] = f.Bytes
	}
	return out
}

// flows is what was sent so far, for the metrics.
func (b *Box) flows() []metric.Flow {
	var out []metric.Flow
	for _, f := range b.net.Flows() {
		out = append(out, metric.Flow{Kind: f.Kind.String(), Distance: f.Distance.String(), Bytes: f.Bytes})
	}
	return out
}
