// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package position orders places in the history of the platform's store. Its revisions rise
// by one with each write, but a store that comes back from an older copy gives some of
// them out again, under the next era. A position has both in one number: those of a later
// era are higher.
package position

const (
	// revisionBits leaves room for eras in the 53 bits that readers of JSON keep of a
	// number.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
)

// Of is the position of a revision in an era, 0 being the first.
func Of(era, revision uint64) uint64 { return era<<revisionBits | revision&maxRevision }

// Era is the era of a position.
func Era(position uint64) uint64 { return position >> revisionBits }

// Revision is the store's own revision at a position.
func Revision(position uint64) uint64 { return position & maxRevision }
