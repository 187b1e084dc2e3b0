// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package streams

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/streams"
)

// While several software versions serve side by side, the origins of streams are also written to the
// platform, so that they are found after all boxes have ended. A few boxes, the writers, get the origins of all
// streams of their region and write them in batches, some times a second. An origin never changes once the
// caller has received the stream's first event, so an old batch is as true as a new one.

// Batch holds origins as they are written in the platform.
type Batch struct {
	Name     string
	Revision uint64
	// Origins is empty for a batch that cannot be read.
	Origins []streams.Origin
}

const (
	// batchInterval is how often new origins are written.
	batchInterval = 500 * time.Millisecond
	// maxBatches is how many batches a writer has. Each has the origins of a part of the horizon, and the oldest
	// one is overwritten for the next part. Batches in excess of a horizon's parts make up for those that were
	// begun early because another box wrote.
	maxBatches   = 16
	horizonParts = 12
	// maxBatch limits the origins of a batch, to 220 kB in the platform.
	maxBatch = 20_000
	// writerKey is the key by which boxes are ranked to be writers, boxesPerWriter how many boxes share one,
	// and maxWriters the largest number of writers of a region.
	writerKey      = "stream-origins"
	boxesPerWriter = 64
	maxWriters     = 16
	// restoreInterval is how often batches are read at most, and restoreTimeout bounds one read.
	restoreInterval = time.Second
	restoreTimeout  = 500 * time.Millisecond
	// versionsInterval is how long the written versions are used to decide whether several may have streams.
	versionsInterval = 10 * time.Second
)

// writers returns the boxes of this region that write origins. An origin belongs to the writer at the rest of
// its key.
func (k *Keeper) writers() []string {
	if known := k.writerBoxes.Load(); known != nil {
		return *known
	}
	return k.rankWriters()
}

func (k *Keeper) rankWriters() []string {
	boxes := k.cfg.Ranked(writerKey, maxWriters*boxesPerWriter)
	boxes = boxes[:(len(boxes)+boxesPerWriter-1)/boxesPerWriter]
	k.writerBoxes.Store(&boxes)
	return boxes
}

// writerOf returns the index of the writer of an origin among a number of writers.
func writerOf(key streams.Key, writers int) int { return int(uint64(key) % uint64(writers)) }

// batchWriter writes the origins of one writer. Its methods are called by one goroutine.
type batchWriter struct {
	k     *Keeper
	index int
	// revisions has the known batches of this writer; nil if they have to be listed.
	revisions map[string]uint64
	// name is the batch that is written now; empty if the next one is not chosen yet. It holds the origins
	// that were recorded after since, up to until.
	name         string
	since, until time.Time
	// began is when the batch was begun.
	began time.Time
}

// RunBatches writes the origins of which this box is a writer, until the context ends. It also reads once what
// was written before this box started.
func (k *Keeper) RunBatches(ctx context.Context) error {
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	var writer *batchWriter
	versions := make(map[string]written)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !k.cfg.Joined() {
			continue
		}
		index := slices.Index(k.rankWriters(), k.cfg.Self)
		if index < 0 {
			clear(versions)
		}
		horizons := k.cfg.Horizons()
		several := k.severalVersions(ctx, horizons, versions, index >= 0)
		if _, restored := k.lastRestore(); several && restored.IsZero() {
			k.restore(ctx)
		}
		if index < 0 || !several {
			writer = nil
			continue
		}
		longest := longestHorizon(horizons)
		if writer == nil || writer.index != index {
			writer = &batchWriter{k: k, index: index, since: k.cfg.Now().Add(-longest)}
			writer.until = writer.since
		}
		writer.write(ctx, longest)
	}
}

// severalVersions reports whether streams of several software versions of a service may be in progress. If ask
// is set, it asks the platform as well for as long as this box has not followed the list of endpoints for long;
// answers has what the platform has said, and horizons how far back the streams of each service may have begun.
func (k *Keeper) severalVersions(ctx context.Context, horizons map[string]time.Duration, answers map[string]written, ask bool) bool {
	for service, horizon := range horizons {
		view := k.cfg.View(service, horizon)
		if len(view.Versions) > 1 {
			return true
		}
		if view.Complete || !ask {
			continue
		}
		if last, read := answers[service]; !read || k.cfg.Now().Sub(last.at) > versionsInterval {
			answers[service] = k.readVersions(ctx, service)
		}
		if len(answers[service].versions) > 1 {
			return true
		}
	}
	return false
}

// longestHorizon returns how far back a stream of any service may have begun.
func longestHorizon(horizons map[string]time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, horizon := range horizons {
		longest = max(longest, min(horizon, streams.Keep))
	}
	return longest
}

// write writes the batch anew if there are origins that it lacks, and chooses another one for those after it
// if it is full or has the origins of its part of the horizon.
func (w *batchWriter) write(ctx context.Context, horizon time.Duration) {
	k := w.k
	now := k.cfg.Now()
	if w.name != "" && now.Sub(w.began) >= horizon/horizonParts {
		w.name, w.since = "", w.until
	}
	origins, last := k.originsSince(now, w.since, w.index)
	if !last.After(w.until) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if !w.prepare(ctx, now) {
		return
	}
	name := w.name
	revision, err := k.cfg.Store.WriteStreamOrigins(ctx, name, origins, w.revisions[name])
	entry := k.cfg.Log.WithFields(log.Fields{"batch": name, "origins": len(origins)})
	if err != nil {
		// The write may have been done, so the revision is not known any more.
		w.revisions = nil
		if errors.Is(err, adapter.ErrConflict) {
			w.name = ""
		}
		entry.WithError(err).Warn("stream_origins_not_written")
		return
	}
	w.revisions[name], w.until = revision, last
	entry.Debug("stream_origins_written")
	if len(origins) >= maxBatch {
		w.name, w.since = "", last
	}
}

// prepare lists the batches if their revisions are not known, and chooses the batch to write if there is none: a new
// one, or the one that was written the longest ago. It returns false if the platform does not answer.
func (w *batchWriter) prepare(ctx context.Context, now time.Time) bool {
	if w.revisions == nil {
		batches, err := w.k.cfg.Store.StreamOrigins(ctx)
		if err != nil {
			w.k.cfg.Log.WithError(err).Warn("stream_origins_not_listed")
			return false
		}
		w.revisions = make(map[string]uint64)
		for _, b := range batches {
			w.revisions[b.Name] = b.Revision
		}
	}
	if w.name != "" {
		return true
	}
	names := make([]string, maxBatches)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d-%d", cmp.Or(w.k.cfg.Region, "all"), w.index, i)
	}
	w.name = slices.MinFunc(names, func(a, b string) int { return cmp.Compare(w.revisions[a], w.revisions[b]) })
	w.began = now
	return true
}

// originsSince returns the origins of a writer that were recorded after a time, the oldest ones if there are more
// than fit into a batch, and the time of the last one.
func (k *Keeper) originsSince(now, since time.Time, writer int) ([]streams.Origin, time.Time) {
	writers := len(k.writers())
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.ledger.Since(now, since, maxBatch, func(key streams.Key) bool { return writerOf(key, writers) == writer })
}

// lastRestore returns when it was last tried to read the batches, and when they were last read.
func (k *Keeper) lastRestore() (tried, restored time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.restoreTried, k.restoredAt
}

// restore reads the batches. It returns false if they could not be read; if they were read a moment ago,
// it does nothing.
func (k *Keeper) restore(ctx context.Context) bool {
	k.restoring.Lock()
	defer k.restoring.Unlock()
	now := k.cfg.Now()
	if tried, restored := k.lastRestore(); now.Sub(tried) < restoreInterval {
		return restored.Equal(tried)
	}
	k.mutex.Lock()
	k.restoreTried = now
	k.mutex.Unlock()
	// Other requests rely on this read too.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), restoreTimeout)
	defer cancel()
	batches, err := k.cfg.Store.StreamOrigins(ctx)
	if err != nil {
		k.cfg.Log.WithError(err).Warn("stream_origins_not_read")
		return false
	}
	slices.SortFunc(batches, func(a, b Batch) int { return cmp.Compare(a.Revision, b.Revision) })
	var found streams.Ledger
	for _, b := range batches {
		for _, o := range b.Origins {
			found.Record(now, o)
		}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.written, k.restoredAt = found, now
	k.cfg.Log.WithFields(log.Fields{"batches": len(batches), "origins": found.Len()}).Info("stream_origins_read")
	return true
}
