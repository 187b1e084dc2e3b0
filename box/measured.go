// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"errors"
	"sync"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/stages"
	origins "runridge.example/runridge/coordination/streams"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/metric"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/drain"
	"runridge.example/runridge/state/streams"
)

// meteredPlatform wraps a platform to count and time the calls to it.
type meteredPlatform struct {
	RelayPlatform
	metrics func() *metric.Metrics
	counts  *callCounts
}

// callReportInterval is how often a box logs its calls to the platform, by kind, one line
// each time: often enough to see which kind grows during a fault.
const callReportInterval = 10 * time.Second

// callCounts counts the calls to the platform since the box started, by call and result.
type callCounts struct {
	mutex  sync.Mutex
	counts map[string]int
}

// add counts one call.
func (c *callCounts) add(call, result string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[call+"."+result]++
}

// fields returns the counts as log fields.
func (c *callCounts) fields() log.Fields {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	out := make(log.Fields, len(c.counts))
	for name, n := range c.counts {
		out[name] = n
	}
	return out
}

// byteCounter is a platform client that counts the bytes it sends and receives.
type byteCounter interface {
	Traffic() (sent, received uint64)
}

// platformTraffic returns the bytes sent to and received from the platform, or 0 if its
// client does not count them.
func (b *Box) platformTraffic() (sent, received uint64) {
	if p, ok := b.options.Platform.(byteCounter); ok {
		return p.Traffic()
	}
	return 0, 0
}

// reportCalls logs the calls to the platform at each interval, and once more when the
// context ends.
func (b *Box) reportCalls(ctx context.Context) error {
	ticker := time.NewTicker(callReportInterval)
	defer ticker.Stop()
	for {
		ended := false
		select {
		case <-ctx.Done():
			ended = true
		case <-ticker.C:
		}
		sent, received := b.platformTraffic()
		b.options.Log.WithFields(b.routed.calls.fields()).
			WithFields(log.Fields{"bytes_sent": sent, "bytes_received": received}).Info("platform_calls")
		if ended {
			return nil
		}
	}
}

// record counts one call by its result and records its duration.
func (m meteredPlatform) record(call string, begin time.Time, err error) {
	result := "ok"
	switch {
	case errors.Is(err, adapter.ErrConflict):
		result = "conflict"
	case errors.Is(err, adapter.ErrHistoryGone):
		result = "history_gone"
	case adapter.IsUnreadable(err):
		result = "unreadable"
	case errors.Is(err, context.Canceled):
		result = "cancelled"
	case errors.Is(err, context.DeadlineExceeded):
		result = "timeout"
	case err != nil:
		result = "failed"
	}
	m.counts.add(call, result)
	if metrics := m.metrics(); metrics != nil {
		metrics.PlatformCalled(call, result, time.Since(begin))
	}
}

// Get reads an object; with after above 0 it waits for a newer revision.
func (m meteredPlatform) Get(ctx context.Context, name string, after uint64) (adapter.Object, error) {
	begin, call := time.Now(), "get"
	if after > 0 {
		call = "watch"
	}
	o, err := m.RelayPlatform.Get(ctx, name, after)
	m.record(call, begin, err)
	return o, err
}

// GetStale reads an object; what it returns may be some seconds old.
func (m meteredPlatform) GetStale(ctx context.Context, name string) (adapter.Object, error) {
	begin := time.Now()
	o, err := m.RelayPlatform.GetStale(ctx, name)
	m.record("get_old", begin, err)
	return o, err
}

// Boxes reads the list of boxes.
func (m meteredPlatform) Boxes(ctx context.Context) ([]adapter.Box, error) {
	begin := time.Now()
	list, err := m.RelayPlatform.Boxes(ctx)
	m.record("list_boxes", begin, err)
	return list, err
}

// Endpoints reads the list of endpoints.
func (m meteredPlatform) Endpoints(ctx context.Context, mayBeOld bool) ([]directory.Entry, uint64, error) {
	begin := time.Now()
	list, at, err := m.RelayPlatform.Endpoints(ctx, mayBeOld)
	m.record("list_endpoints", begin, err)
	return list, at, err
}

// EndpointChanges waits for changes of endpoints.
func (m meteredPlatform) EndpointChanges(ctx context.Context, after uint64, atOnce bool) ([]directory.Change, uint64, error) {
	begin := time.Now()
	changes, at, err := m.RelayPlatform.EndpointChanges(ctx, after, atOnce)
	m.record("watch_endpoints", begin, err)
	return changes, at, err
}

// DrainedZones reads the list of drained zones.
func (m meteredPlatform) DrainedZones(ctx context.Context) ([]drain.Zone, uint64, error) {
	begin := time.Now()
	list, at, err := m.RelayPlatform.DrainedZones(ctx)
	m.record("list_drained", begin, err)
	return list, at, err
}

// DrainChanges waits for changes of drained zones.
func (m meteredPlatform) DrainChanges(ctx context.Context, after uint64) ([]drain.Change, uint64, error) {
	begin := time.Now()
	changes, at, err := m.RelayPlatform.DrainChanges(ctx, after)
	m.record("watch_drained", begin, err)
	return changes, at, err
}

// Join puts a box on the list.
func (m meteredPlatform) Join(ctx context.Context, b adapter.Box) error {
	begin := time.Now()
	err := m.RelayPlatform.Join(ctx, b)
	m.record("join", begin, err)
	return err
}

// Lease reads the lease that gives one box the right to order an engine's stage.
func (m meteredPlatform) Lease(ctx context.Context, engine string) (stages.Lease, error) {
	begin := time.Now()
	l, err := m.RelayPlatform.Lease(ctx, engine)
	m.record("lease", begin, err)
	return l, err
}

// WriteLease writes an engine's lease.
func (m meteredPlatform) WriteLease(ctx context.Context, engine, holder string, mark, revision uint64) (uint64, error) {
	begin := time.Now()
	written, err := m.RelayPlatform.WriteLease(ctx, engine, holder, mark, revision)
	m.record("write_lease", begin, err)
	return written, err
}

// EndLease removes an engine's lease.
func (m meteredPlatform) EndLease(ctx context.Context, engine string, revision uint64) error {
	begin := time.Now()
	err := m.RelayPlatform.EndLease(ctx, engine, revision)
	m.record("end_lease", begin, err)
	return err
}

// SoftwareVersions reads the software versions that are written for a service.
func (m meteredPlatform) SoftwareVersions(ctx context.Context, service string) ([]string, uint64, error) {
	begin := time.Now()
	versions, revision, err := m.RelayPlatform.SoftwareVersions(ctx, service)
	m.record("software_versions", begin, err)
	return versions, revision, err
}

// WriteSoftwareVersions writes the software versions of a service.
func (m meteredPlatform) WriteSoftwareVersions(ctx context.Context, service string, versions []string, revision uint64) error {
	begin := time.Now()
	err := m.RelayPlatform.WriteSoftwareVersions(ctx, service, versions, revision)
	m.record("write_software_versions", begin, err)
	return err
}

// StreamOrigins lists the batches of origins of streams.
func (m meteredPlatform) StreamOrigins(ctx context.Context) ([]origins.Batch, error) {
	begin := time.Now()
	batches, err := m.RelayPlatform.StreamOrigins(ctx)
	m.record("stream_origins", begin, err)
	return batches, err
}

// WriteStreamOrigins writes a batch of origins of streams.
func (m meteredPlatform) WriteStreamOrigins(ctx context.Context, name string, batch []streams.Origin, revision uint64) (uint64, error) {
	begin := time.Now()
	written, err := m.RelayPlatform.WriteStreamOrigins(ctx, name, batch, revision)
	m.record("write_stream_origins", begin, err)
	return written, err
}

// Remove takes a box off the list.
func (m meteredPlatform) Remove(ctx context.Context, name string, version uint64) error {
	begin := time.Now()
	err := m.RelayPlatform.Remove(ctx, name, version)
	m.record("remove", begin, err)
	return err
}
