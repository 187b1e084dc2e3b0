// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import "runtime/debug"

const (
	// memoryShare is the fraction of the box's memory that the heap may use.
	memoryShare = 0.6
	// gcPercent is how much garbage may accumulate, in % of the live heap, before a
	// collection. It is below Go's default of 100 because a box of a large fleet keeps much
	// state and does little work.
	gcPercent = 50
	// heldShare is the fraction of the box's memory that may hold data for callers.
	heldShare = 0.25
	// defaultHeldBytes is the bound on data held for callers when the settings give no
	// memory limit.
	defaultHeldBytes = 256 << 20
	// connectionsShare is the fraction of the box's memory that callers' connections may
	// use. Each is counted with connectionBytes, for its buffers, stacks and the records of
	// its request.
	connectionsShare = 0.3
	connectionBytes  = 28 << 10
	maxConnections   = 3000
	bytesPerMB       = 1 << 20
)

// limitMemory sets the soft limit of the heap well below the box's memory and makes
// collections more frequent. Without a memory limit it changes nothing.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * memoryShare * bytesPerMB))
		debug.SetGCPercent(gcPercent)
	}
}

// heldBytes returns how many bytes a box with this much memory may hold for its callers.
func heldBytes(megabytes int) int64 {
	if megabytes <= 0 {
		return defaultHeldBytes
	}
	return int64(heldShare * float64(megabytes) * bytesPerMB)
}

// connectionsFor returns how many callers' connections a box with this much memory accepts.
func connectionsFor(megabytes int) int {
	if megabytes <= 0 {
		return maxConnections
	}
	return min(int(connectionsShare*float64(megabytes)*bytesPerMB/connectionBytes), maxConnections)
}
