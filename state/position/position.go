// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package position orders the states of the platform's store. The store's revisions rise by one
// with each write, but a store that was restored from an older copy assigns some of them again,
// in the next era. A position combines era and revision in one number, so that positions of a
// later era are higher.
package position

const (
	// revisionBits leaves 13 bits for eras, since JSON readers keep only 53 bits of a number.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
)

// Of returns the position of a revision in an era. The first era is 0.
func Of(era, revision uint64) uint64 { return era<<revisionBits | revision&maxRevision }

// Era returns the era of a position.
func Era(position uint64) uint64 { return position >> revisionBits }

// Revision returns the store's own revision at a position.
func Revision(position uint64) uint64 { return position & maxRevision }
