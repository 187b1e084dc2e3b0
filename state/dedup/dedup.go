// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package dedup stores the records by which repeated requests are recognized: one
// for each idempotency key, on the two boxes that rank first for it. It does no I/O
// and takes the time as an argument.
package dedup

import (
	"slices"
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// Record holds which request owns an idempotency key.
type Record struct {
	Key string
	// Digest is the hash of the request; a key identifies one request only.
	Digest uint64
	// Owner is the request that runs, on the box that received it.
	Owner lifecycle.RequestID
	// Once means that the request must not be repeated.
	Once bool
}

// Config sets the limits of a Store.
type Config struct {
	// Window is how long a repeated request is recognized.
	Window time.Duration
	// MaxRecords is the maximum number of records; further claims get the status Full.
	MaxRecords int
}

// Default values of Config.
const (
	DefaultWindow     = 30 * time.Second
	defaultMaxRecords = 200_000
	// keepMargin is how much longer than the window records are kept. A claim takes
	// less time than this from its copy to its verdict, so a record outlives the
	// window, which begins with the verdict.
	keepMargin = 5 * time.Second
	// copies is the number of boxes that keep a record.
	copies = 2
)

// Status is the answer to a claim.
type Status uint8

const (
	// Fresh means that the claiming request owns the key now: there was no record, or
	// one that it may replace or had made itself.
	Fresh Status = iota
	// Existing means that another request owns the key.
	Existing
	// Mismatch means that the key was used for a request with another digest.
	Mismatch
	// NotHolder means that this box does not hold the key's records, as far as it knows.
	NotHolder
	// Full means that the store has no room for another record.
	Full
)

// view is the set of boxes with duties since a time.
type view struct {
	from  time.Time
	boxes []string
}

// storedRecord is a record with the time at which it was received.
type storedRecord struct {
	Record
	at time.Time
	// confirmed is set once the owner was notified that it may run.
	confirmed bool
}

// Store holds one box's records and the recent sets of boxes, from which it knows
// which boxes held a key's record when. It is not safe for concurrent use: one
// goroutine owns it.
type Store struct {
	cfg     Config
	self    string
	rank    func(key string, boxes []string) []string
	records map[string]storedRecord
	// keysByAge lists the keys in the order in which they were received, for expiry.
	keysByAge []string
	// views lists the sets of boxes since the latest call of ResetViews, the newest last.
	views []view
}

// New returns an empty store. rank orders boxes for a key.
func New(cfg Config, self string, rank func(key string, boxes []string) []string) *Store {
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	if cfg.MaxRecords <= 0 {
		cfg.MaxRecords = defaultMaxRecords
	}
	return &Store{cfg: cfg, self: self, rank: rank, records: make(map[string]storedRecord)}
}

// SetBoxes sets the boxes that have duties from now on.
func (s *Store) SetBoxes(now time.Time, boxes []string) {
	s.views = append(s.views, view{from: now, boxes: slices.Clone(boxes)})
	// Views that ended before the window do not matter any more.
	for len(s.views) > 1 && now.Sub(s.views[1].from) > s.cfg.Window {
		s.views = s.views[1:]
	}
}

// ResetViews discards all earlier sets of boxes. It is called when others took this
// box for dead or the box was paused: records may have been made without it.
func (s *Store) ResetViews(now time.Time) {
	if len(s.views) == 0 {
		return
	}
	last := s.views[len(s.views)-1]
	s.views = []view{{from: now, boxes: last.boxes}}
}

// Holders lists the boxes that keep a key's record now, in the order of their rank.
func (s *Store) Holders(key string) []string {
	if len(s.views) == 0 {
		return nil
	}
	return s.holdersIn(s.views[len(s.views)-1], key)
}

// holdersIn lists the boxes that keep a key's record in a view.
func (s *Store) holdersIn(v view, key string) []string {
	order := s.rank(key, v.boxes)
	return order[:min(copies, len(order))]
}

// Covers reports whether every record of a key that was made within the window must
// be in this store: this box has been one of the key's holders during the whole window.
func (s *Store) Covers(now time.Time, key string) bool {
	if len(s.views) == 0 || now.Sub(s.views[0].from) < s.cfg.Window {
		return false
	}
	for _, v := range s.views {
		if !slices.Contains(s.holdersIn(v, key), s.self) {
			return false
		}
	}
	return true
}

// Claim makes a key's record, or returns the status and the record that prevents it.
// replace, if not the zero value, is the owner whose record may be taken over.
func (s *Store) Claim(now time.Time, r Record, replace lifecycle.RequestID) (Status, Record) {
	s.expire(now)
	if !slices.Contains(s.Holders(r.Key), s.self) {
		return NotHolder, Record{}
	}
	old, known := s.records[r.Key]
	switch {
	case known && old.Digest != r.Digest:
		return Mismatch, old.Record
	case known && old.Owner != r.Owner && old.Owner != replace:
		return Existing, old.Record
	case !known && len(s.records) >= s.cfg.MaxRecords:
		return Full, Record{}
	}
	if !known {
		s.keysByAge = append(s.keysByAge, r.Key)
	}
	if known && old.Owner == r.Owner {
		// The same claim is repeated because its reply was lost.
		return Fresh, r
	}
	s.records[r.Key] = storedRecord{Record: r, at: now}
	return Fresh, r
}

// Confirm records that a record's owner is notified that it may run.
func (s *Store) Confirm(key string, owner lifecycle.RequestID) {
	if old, known := s.records[key]; known && old.Owner == owner {
		old.confirmed = true
		s.records[key] = old
	}
}

// Forget deletes the record of a claim that failed. A confirmed record stays: a repeated
// claim that fails must not undo an earlier one that succeeded.
func (s *Store) Forget(key string, owner lifecycle.RequestID) {
	if old, known := s.records[key]; known && old.Owner == owner && !old.confirmed {
		delete(s.records, key)
	}
}

// Len returns the number of records.
func (s *Store) Len() int {
	return len(s.records)
}

// expire deletes records that are older than the window plus keepMargin.
func (s *Store) expire(now time.Time) {
	for len(s.keysByAge) > 0 {
		key := s.keysByAge[0]
		old, known := s.records[key]
		if known && now.Sub(old.at) <= s.cfg.Window+keepMargin {
			return
		}
		s.keysByAge = s.keysByAge[1:]
		delete(s.records, key)
	}
}
