// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import "runtime/debug"

const (
	// memoryShare is the part of the box's memory that the heap may take.
	memoryShare = 0.6
	// garbageShare is how much garbage may gather, in % of what lives, before it is
	// collected: a box of a large fleet has much to remember and little to do.
	garbageShare = 50
	// heldShare is the part of the box's memory that may be held for callers.
	heldShare = 0.25
	// defaultHeld is what may be held where the box's memory is not told, in bytes.
	defaultHeld = 256 << 20
	// connectionsShare is the part of the box's memory that callers' connections may take,
	// with connectionBytes for each: buffers, stacks and the records of its request.
	connectionsShare = 0.3
	connectionBytes  = 28 << 10
	maxConnections   = 3000
	bytesPerMB       = 1 << 20
)

// limitMemory keeps the heap well under the box's memory.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * memoryShare * bytesPerMB))
		debug.SetGCPercent(garbageShare)
	}
}

// heldBytes is how many bytes a box with so much memory holds for its callers.
func heldBytes(megabytes int) int64 {
	if megabytes <= 0 {
		return defaultHeld
	}
	return int64(heldShare * float64(megabytes) * bytesPerMB)
}

// connectionsFor is how many connections of callers a box with so much memory takes.
func connectionsFor(megabytes int) int {
	if megabytes <= 0 {
		return maxConnections
	}
	return min(int(connectionsShare*float64(megabytes)*bytesPerMB/connectionBytes), maxConnections)
}
