// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package streams

import (
	"context"
	"errors"
	"slices"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/streams"
)

// When all boxes end at once, the origins of streams that began while one version served are lost. The
// platform then still tells which versions may have begun them: one box writes, for each service, the versions
// whose streams may be in progress, whenever that changes.

// Store keeps, in the platform, the software versions of each service whose streams may be in
// progress, and origins of streams while there are several.
type Store interface {
	// SoftwareVersions returns the versions and their revision, or adapter.ErrNotFound. With versions
	// that cannot be read it returns the revision and an adapter.UnreadableError.
	SoftwareVersions(ctx context.Context, service string) (versions []string, revision uint64, err error)
	// WriteSoftwareVersions replaces versions that still have the given revision, 0 for none. It
	// returns adapter.ErrConflict if another box wrote first.
	WriteSoftwareVersions(ctx context.Context, service string, versions []string, revision uint64) error
	// StreamOrigins returns all batches of origins. One that cannot be read has no origins.
	StreamOrigins(ctx context.Context) ([]Batch, error)
	// WriteStreamOrigins replaces a batch that still has the given revision, 0 for none, and returns the new
	// one. It returns adapter.ErrConflict if another box wrote first.
	WriteStreamOrigins(ctx context.Context, name string, origins []streams.Origin, revision uint64) (uint64, error)
}

const (
	// recordInterval is how often the versions are compared with those that are written.
	recordInterval = time.Second
	// writeTimeout bounds one call to write them.
	writeTimeout = 1500 * time.Millisecond
	// readTimeout bounds the read of the versions for a request, and readInterval is how long what
	// was read is used for others.
	readTimeout  = 300 * time.Millisecond
	readInterval = time.Second
	// recorderKey is the key by which boxes are ranked to write the versions.
	recorderKey = "software-versions"
)

// written is what this box knows to be written for a service.
type written struct {
	versions []string
	at       time.Time
	found    bool
}

// Run writes the versions of each service, if this box is the first in rank, until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	known := make(map[string][]string)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if first := k.cfg.Ranked(recorderKey, 1); len(first) == 0 || first[0] != k.cfg.Self || !k.cfg.Joined() {
			clear(known)
			continue
		}
		for service, horizon := range k.cfg.Horizons() {
			view := k.cfg.View(service, horizon)
			if len(view.Versions) == 0 || slices.Equal(known[service], view.Versions) {
				continue
			}
			if versions, err := k.record(ctx, service, view); err == nil {
				known[service] = versions
			}
		}
	}
}

// record writes the versions of a service, and returns what is written then. Versions of which this
// box has not seen the end are kept.
func (k *Keeper) record(ctx context.Context, service string, view streams.View) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	old, revision, err := k.cfg.Store.SoftwareVersions(ctx, service)
	replaces := adapter.IsUnreadable(err) && view.Complete
	if err != nil && !errors.Is(err, adapter.ErrNotFound) && !replaces {
		return nil, err
	}
	next := view.Versions
	if !view.Complete {
		next = slices.Compact(slices.Sorted(slices.Values(slices.Concat(old, view.Versions))))
	}
	if slices.Equal(old, next) {
		return next, nil
	}
	err = k.cfg.Store.WriteSoftwareVersions(ctx, service, next, revision)
	entry := k.cfg.Log.WithFields(log.Fields{"service": service, "versions": next, "before": old})
	if err != nil {
		entry.WithError(err).Warn("software_versions_not_written")
		return nil, err
	}
	entry.Info("software_versions_written")
	return next, nil
}

// recorded returns the versions of a service that are written in the platform. If it cannot read
// them, the view is empty and not complete.
func (k *Keeper) recorded(ctx context.Context, service string) streams.View {
	now := k.cfg.Now()
	k.mutex.Lock()
	last, read := k.read[service]
	k.mutex.Unlock()
	if !read || now.Sub(last.at) > readInterval {
		last = k.readVersions(ctx, service)
		k.mutex.Lock()
		k.read[service] = last
		k.mutex.Unlock()
	}
	return streams.View{Versions: last.versions, Complete: last.found}
}

// readVersions reads the versions of a service from the platform.
func (k *Keeper) readVersions(ctx context.Context, service string) written {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	versions, _, err := k.cfg.Store.SoftwareVersions(ctx, service)
	return written{versions: versions, at: k.cfg.Now(), found: err == nil}
}
