// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package held bounds the bytes that a box holds in memory on behalf of its callers:
// request bodies that are being received or kept until their request ends, answers that are
// read whole, and answers that a caller has not read yet. All draw from one budget. When it
// is exhausted, the slowest holds are evicted.
package held

import (
	"sync"
	"time"

	"runridge.example/runridge/modules/log"
)

// Kind is the purpose for which bytes are held.
type Kind uint8

const (
	// Upload is a body that is being received from a caller.
	Upload Kind = iota
	// Body is a complete body, kept until its request ends.
	Body
	// Answer is the part of an endpoint's answer that is read before its caller gets any of
	// it.
	Answer
	// Unread is data that a caller has not read yet.
	Unread
	kinds
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [kinds]string{"upload", "body", "answer", "unread"}[k]
}

// Config configures a Budget.
type Config struct {
	// Bytes is the size of the budget.
	Bytes int64
	Log   log.Logger
	// Now is the clock; nil means the system clock.
	Now func() time.Time
}

// Budget accounts for the bytes that a box may hold. A nil Budget has no bound.
type Budget struct {
	cfg   Config
	mutex sync.Mutex
	// used is the number of bytes held now, and peak the most that were ever held.
	used, peak int64
	byKind     [kinds]int64
	// evictable are the holds that may be evicted.
	evictable map[*Hold]struct{}
	evicted   uint64
	denied    uint64
}

// New returns a budget of which nothing is used.
func New(cfg Config) *Budget {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Budget{cfg: cfg, evictable: make(map[*Hold]struct{})}
}

// Status is the state of a budget.
type Status struct {
	// Bytes is the size of the budget, Used the bytes held now, and Peak the most that were
	// ever held.
	Bytes int64 `json:"bytes"`
	Used  int64 `json:"used"`
	Peak  int64 `json:"most"`
	// ByKind is the number of bytes held now, by kind.
	ByKind map[string]int64 `json:"by_kind"`
	// Evictable is the number of holds that may be evicted.
	Evictable int `json:"yielding"`
	// Evicted counts the holds that were evicted, and Denied the calls of Take that failed.
	Evicted uint64 `json:"gave_way"`
	Denied  uint64 `json:"denied"`
}

// Status returns the state of the budget.
func (b *Budget) Status() Status {
	if b == nil {
		return Status{}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := Status{
		Bytes: b.cfg.Bytes, Used: b.used, Peak: b.peak,
		ByKind: make(map[string]int64, kinds), Evictable: len(b.evictable), Evicted: b.evicted, Denied: b.denied,
	}
	for k, n := range b.byKind {
		s.ByKind[Kind(k).String()] = n
	}
	return s
}

// Hold is the memory that is held for one request in one place. A nil Hold has no bound. It
// is used by one goroutine.
type Hold struct {
	budget *Budget
	kind   Kind
	// request is the caller's ID, for the log.
	request string
	onEvict func()
	// The budget's mutex guards the fields below.
	bytes int64
	pace  pace
	ended bool
}

// Open returns a new, empty hold. If onEvict is not nil, the hold may be evicted while it
// is slow; onEvict is then called on its own goroutine.
func (b *Budget) Open(kind Kind, request string, onEvict func()) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{budget: b, kind: kind, request: request, onEvict: onEvict}
	h.pace.begun = b.cfg.Now()
	if onEvict != nil {
		b.mutex.Lock()
		b.evictable[h] = struct{}{}
		b.mutex.Unlock()
	}
	return h
}

// Take reserves n more bytes, and evicts slower holds to make room. It returns false, with
// nothing reserved, if there is not enough room or the hold has ended.
func (h *Hold) Take(n int) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if h.ended {
		return false
	}
	for !b.fits(n) {
		slow := b.slowest(h)
		if slow == nil {
			b.denied++
			return false
		}
		b.evict(slow)
	}
	h.add(int64(n))
	return true
}

// TryTake is like Take for data that can wait: it evicts nothing.
func (h *Hold) TryTake(n int) bool {
	if h == nil {
		return true
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	if h.ended || !h.budget.fits(n) {
		return false
	}
	h.add(int64(n))
	return true
}

// Moved records that n bytes came from the caller or went to it.
func (h *Hold) Moved(n int) {
	if h == nil {
		return
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.pace.moved += int64(n)
}

// Give releases n bytes.
func (h *Hold) Give(n int) {
	if h == nil {
		return
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	if !h.ended {
		h.add(-int64(n))
	}
}

// Complete marks the body of an upload as complete: the hold cannot be evicted any more,
// and counts as Body until its request ends.
func (h *Hold) Complete() {
	if h == nil {
		return
	}
	b := h.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if h.ended {
		return
	}
	delete(b.evictable, h)
	b.byKind[h.kind] -= h.bytes
	h.kind = Body
	b.byKind[h.kind] += h.bytes
}

// Close ends the hold and releases all its bytes.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.end()
}

// fits reports whether n more bytes fit the budget. The caller holds the mutex.
func (b *Budget) fits(n int) bool { return b.used+int64(n) <= b.cfg.Bytes }

// add adds n to the bytes of a hold. The caller holds the mutex.
func (h *Hold) add(n int64) {
	b := h.budget
	h.bytes += n
	b.byKind[h.kind] += n
	b.used += n
	b.peak = max(b.peak, b.used)
}

// end ends a hold. The caller holds the mutex.
func (h *Hold) end() {
	if h.ended {
		return
	}
	h.add(-h.bytes)
	h.ended = true
	delete(h.budget.evictable, h)
}

// slowest returns the slowest hold that may be evicted for h, or nil. The caller holds the
// mutex.
func (b *Budget) slowest(h *Hold) *Hold {
	var slow *Hold
	now := b.cfg.Now()
	for other := range b.evictable {
		if other == h || other.bytes == 0 || !other.pace.yieldsTo(now, h.evictablePace()) {
			continue
		}
		if slow == nil || other.pace.rate(now) < slow.pace.rate(now) {
			slow = other
		}
	}
	return slow
}

// evictablePace returns the hold's pace if the hold itself may be evicted, and nil
// otherwise.
func (h *Hold) evictablePace() *pace {
	if h.onEvict == nil {
		return nil
	}
	return &h.pace
}

// evict ends a hold to make room for others. The caller holds the mutex.
func (b *Budget) evict(h *Hold) {
	b.evicted++
	b.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: h.request,
		"kind":           h.kind.String(),
		"bytes":          h.bytes,
		"moved":          h.pace.moved,
		"ms":             b.cfg.Now().Sub(h.pace.begun).Milliseconds(),
	}).Warn("held_bytes_gave_way")
	h.end()
	go h.onEvict()
}
