// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package held bounds the bytes that a box holds in memory on behalf of its callers: bodies
// that come in or wait for their request's end, answers that are read whole, and answers
// that a caller has not read yet. All draw from one budget. Where it is used up, those that
// move the slowest give way.
package held

import (
	"sync"
	"time"

	"runridge.example/runridge/modules/log"
)

// Kind is what bytes are held for.
type Kind uint8

const (
	// Upload is a body on its way from a caller.
	Upload Kind = iota
	// Body is a whole body, until its request ends.
	Body
	// Answer is what is read of an endpoint's answer before its caller gets any of it.
	Answer
	// Unread is what a caller has not read yet.
	Unread
	kinds
)

// String names the kind.
func (k Kind) String() string {
	return [kinds]string{"upload", "body", "answer", "unread"}[k]
}

// Config configures a Budget.
type Config struct {
	// Bytes is what may be held in all.
	Bytes int64
	Log   log.Logger
	// Now is the clock; nil is that of the machine.
	Now func() time.Time
}

// Budget is the bytes that a box may hold. A nil one has no bound.
type Budget struct {
	cfg   Config
	mutex sync.Mutex
	// used is what is held now, most the most that was, both in bytes.
	used, most int64
	byKind     [kinds]int64
	// yielding are the holds that may have to give way.
	yielding map[*Hold]struct{}
	gaveWay  uint64
	denied   uint64
}

// New makes a budget.
func New(cfg Config) *Budget {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Budget{cfg: cfg, yielding: make(map[*Hold]struct{})}
}

// Status is what is held.
type Status struct {
	// Bytes may be held, Used are held now, and Most is the most that were.
	Bytes int64 `json:"bytes"`
	Used  int64 `json:"used"`
	Most  int64 `json:"most"`
	// ByKind is what is held now by what for.
	ByKind map[string]int64 `json:"by_kind"`
	// Yielding is how many holds may have to give way.
	Yielding int `json:"yielding"`
	// GaveWay counts those that were made to give way, Denied what found no room.
	GaveWay uint64 `json:"gave_way"`
	Denied  uint64 `json:"denied"`
}

// Status tells what is held now.
func (b *Budget) Status() Status {
	if b == nil {
		return Status{}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := Status{
		Bytes: b.cfg.Bytes, Used: b.used, Most: b.most,
		ByKind: make(map[string]int64, kinds), Yielding: len(b.yielding), GaveWay: b.gaveWay, Denied: b.denied,
	}
	for k, n := range b.byKind {
		s.ByKind[Kind(k).String()] = n
	}
	return s
}

// Hold is what is held for one request in one place. A nil one holds without a bound. One
// goroutine uses it.
type Hold struct {
	budget *Budget
	kind   Kind
	// request is the caller's id, for the log.
	request string
	giveWay func()
	// The mutex of the budget guards what follows.
	bytes int64
	pace  pace
	ended bool
}

// Open begins a hold. Where giveWay is not nil, the hold may have to end while it moves
// slowly: giveWay is then called, on a goroutine of its own.
func (b *Budget) Open(kind Kind, request string, giveWay func()) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{budget: b, kind: kind, request: request, giveWay: giveWay}
	h.pace.begun = b.cfg.Now()
	if giveWay != nil {
		b.mutex.Lock()
		b.yielding[h] = struct{}{}
		b.mutex.Unlock()
	}
	return h
}

// Take holds so many bytes more. Where there is no room, slower holds give way; false says
// that there was none to be had, and that nothing was taken.
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

// TryTake is Take for what can wait: nothing gives way to it.
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

// Moved notes that so many bytes came from the caller, or went to it.
func (h *Hold) Moved(n int) {
	if h == nil {
		return
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.pace.moved += int64(n)
}

// Give gives bytes back.
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

// Complete says that the body of an upload is whole: it is held until its request ends.
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
	delete(b.yielding, h)
	b.byKind[h.kind] -= h.bytes
	h.kind = Body
	b.byKind[h.kind] += h.bytes
}

// Close gives all bytes back.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.end()
}

// fits says whether so many bytes more may be held. The mutex is held.
func (b *Budget) fits(n int) bool { return b.used+int64(n) <= b.cfg.Bytes }

// add counts bytes of a hold. The mutex is held.
func (h *Hold) add(n int64) {
	b := h.budget
	h.bytes += n
	b.byKind[h.kind] += n
	b.used += n
	b.most = max(b.most, b.used)
}

// end ends a hold. The mutex is held.
func (h *Hold) end() {
	if h.ended {
		return
	}
	h.add(-h.bytes)
	h.ended = true
	delete(h.budget.yielding, h)
}

// slowest is the hold that gives way to another; nil is none. The mutex is held.
func (b *Budget) slowest(h *Hold) *Hold {
	var slow *Hold
	now := b.cfg.Now()
	for other := range b.yielding {
		if other == h || other.bytes == 0 || !other.pace.yieldsTo(now, h.paceIn()) {
			continue
		}
		if slow == nil || other.pace.rate(now) < slow.pace.rate(now) {
			slow = other
		}
	}
	return slow
}

// paceIn is the hold's pace if it may have to give way itself; nil is that it may not.
func (h *Hold) paceIn() *pace {
	if h.giveWay == nil {
		return nil
	}
	return &h.pace
}

// evict ends a hold for others. The mutex is held.
func (b *Budget) evict(h *Hold) {
	b.gaveWay++
	b.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: h.request,
		"kind":           h.kind.String(),
		"bytes":          h.bytes,
		"moved":          h.pace.moved,
		"ms":             b.cfg.Now().Sub(h.pace.begun).Milliseconds(),
	}).Warn("held_bytes_gave_way")
	h.end()
	go h.giveWay()
}
