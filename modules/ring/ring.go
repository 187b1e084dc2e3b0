// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ring connects goroutines by a bounded queue. A full queue is an explicit outcome
// for the sender, which never waits.
package ring

// Outcome is the result of offering a value.
type Outcome uint8

const (
	// Accepted means that the value is queued.
	Accepted Outcome = iota
	// Full means that the queue had no space and the value was not accepted.
	Full
)

// Ring is a bounded first-in, first-out queue. Any number of goroutines may offer; one is
// meant to drain C.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring that holds up to size values. A size below one counts as one.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, max(size, 1))}
}

// Offer queues v if there is space. It never blocks.
func (r *Ring[T]) Offer(v T) Outcome {
	select {
	case r.slots <- v:
		return Accepted
	default:
		return Full
	}
}

// C returns the channel from which the consumer reads.
func (r *Ring[T]) C() <-chan T {
	return r.slots
}

// Len returns the number of queued values.
func (r *Ring[T]) Len() int {
	return len(r.slots)
}
