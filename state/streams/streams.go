// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package streams remembers which software version began each stream, and decides at which version
// one may go on that its caller takes up again. What endpoints of two software versions write does
// not fit together. The package does no I/O and takes the time as an argument.
package streams

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream by its service and the caller's attempt that received its first event.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(service, attempt string) Key { return Key(xxhash.Sum64String(service + "\x00" + attempt)) }

// ReasonOtherSoftware is why a stream is kept from an endpoint of another software version.
const ReasonOtherSoftware = "other_software_version"

// Suits reports whether a stream that is bound to a software version may go on at another one; empty
// stands for an unknown version.
func Suits(bound, software string) bool {
	return bound == "" || software == "" || bound == software
}

// Origin is the software version that began a stream.
type Origin struct {
	Key      Key
	Software string
}

const (
	// Keep is how long an origin is remembered: longer than callers take streams up.
	Keep = 2 * time.Minute
	// maxOrigins bounds the memory of a ledger, to some 10 MB.
	maxOrigins = 100_000
)

// Ledger holds the origins that a box knows, at most maxOrigins of them. It is not safe for
// concurrent use. The zero value is empty.
type Ledger struct {
	origins map[Key]entry
	// byAge lists the origins in the order in which they were recorded, for expiry.
	byAge []aged
}

// entry is a recorded origin.
type entry struct {
	software string
	at       time.Time
}

// aged is the time at which an origin was recorded. It is outdated if the origin was recorded again.
type aged struct {
	key Key
	at  time.Time
}

// Record records an origin. A later record of the same stream replaces an earlier one: until its
// first event a stream may begin anew at another version.
func (l *Ledger) Record(now time.Time, o Origin) {
	l.expire(now)
	if l.origins == nil {
		l.origins = make(map[Key]entry)
	}
	l.origins[o.Key] = entry{software: o.Software, at: now}
	l.byAge = append(l.byAge, aged{key: o.Key, at: now})
}

// Software returns the software version that began a stream, and false if it is not known.
func (l *Ledger) Software(now time.Time, key Key) (string, bool) {
	e, known := l.origins[key]
	if !known || now.Sub(e.at) > Keep {
		return "", false
	}
	return e.software, true
}

// Since returns the origins of the chosen keys that were recorded after a time and are still remembered, in the
// order of their records, at most limit of them, and the time of the last one.
func (l *Ledger) Since(now, after time.Time, limit int, chosen func(Key) bool) (origins []Origin, last time.Time) {
	if oldest := now.Add(-Keep); after.Before(oldest) {
		after = oldest
	}
	first := sort.Search(len(l.byAge), func(i int) bool { return l.byAge[i].at.After(after) })
	last = after
	for _, a := range l.byAge[first:] {
		if len(origins) == limit {
			break
		}
		if e, known := l.origins[a.key]; known && e.at.Equal(a.at) && chosen(a.key) {
			origins = append(origins, Origin{Key: a.key, Software: e.software})
			last = a.at
		}
	}
	return origins, last
}

// Len returns the number of origins.
func (l *Ledger) Len() int { return len(l.origins) }

// expire removes the origins that are older than Keep, and the oldest ones if there are too many.
func (l *Ledger) expire(now time.Time) {
	drop := 0
	for _, a := range l.byAge {
		if now.Sub(a.at) <= Keep && len(l.origins) < maxOrigins {
			break
		}
		if e, known := l.origins[a.key]; known && e.at.Equal(a.at) {
			delete(l.origins, a.key)
		}
		drop++
	}
	l.byAge = l.byAge[drop:]
}

// View is what a box knows of the software versions of a service.
type View struct {
	// Versions are those that endpoints have or had while a stream may last, sorted, without
	// unknown ones.
	Versions []string
	// Complete reports that the box has followed the platform's list for all of that time, so that
	// Versions lacks none.
	Complete bool
}

// Only returns the single version by which any stream of the service must have begun, according to
// several boxes' views; it is empty if no version is known at all. It returns false if another
// version is possible.
func Only(views ...View) (software string, ok bool) {
	complete := false
	var all []string
	for _, v := range views {
		complete = complete || v.Complete
		for _, version := range v.Versions {
			if !slices.Contains(all, version) {
				all = append(all, version)
			}
		}
	}
	switch {
	case len(all) == 0:
		return "", true
	case len(all) == 1 && complete:
		return all[0], true
	default:
		return "", false
	}
}
