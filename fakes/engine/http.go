// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"runridge.example/runridge/protocol/engineapi"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/tests/arrival"
)

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(engineapi.PathPrefill, e.counted(e.servePrefill))
	mux.HandleFunc(engineapi.PathImport, e.serveImport)
	mux.HandleFunc(engineapi.PathDecode, e.counted(e.serveDecode))
	mux.HandleFunc(engineapi.PathRelease, e.serveRelease)
	mux.HandleFunc(engineapi.PathHolds, e.serveHolds)
	mux.HandleFunc(engineapi.PathLoad, e.serveLoad)
	mux.HandleFunc(engineapi.PathEvents, e.serveEvents)
	mux.HandleFunc(engineapi.PathOrder, e.serveOrder)
	return mux
}

// counted counts the requests that arrive, and names the limit in their answers.
func (e *Engine) counted(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.arrivals.Add(time.Now())
		if e.leaving.Load() {
			w.Header().Set(engineapi.HeaderLeaving, relayapi.LeavingYes)
		}
		if rest := time.Duration(e.rest.Load()); rest > 0 {
			e.arrivals.AskRest(time.Now(), rest)
			w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
			refuse(w, engineapi.CodeNotAccepted, "at rest")
			return
		}
		if limit := e.limit.Load(); limit != nil {
			w.Header().Set(engineapi.HeaderLimit, strconv.FormatFloat(*limit, 'f', -1, 64))
		}
		serve(w, r)
	}
}

// NameLimit has the engine name a limit in its answers, in requests a second.
func (e *Engine) NameLimit(perSecond float64) { e.limit.Store(&perSecond) }

// Leave has the engine say that it leaves.
func (e *Engine) Leave() { e.leaving.Store(true) }

// Tire has the engine turn requests away and ask for a rest with each.
func (e *Engine) Tire(rest time.Duration) { e.rest.Store(int64(rest)) }

// Arrivals are the requests that reached the engine.
func (e *Engine) Arrivals() *arrival.Log { return &e.arrivals }

func refuse(w http.ResponseWriter, code, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(engineapi.Error{Error: text, Code: code})
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var order engineapi.PrefillOrder
	if !read(w, r, &order) {
		return
	}
	e.endAt(order.Prompt)
	total := e.tokens(order.Prompt, order.Emitted)
	j, code := e.queuePrefill(order, total)
	if code != "" {
		refuse(w, code, "prefill not taken")
		return
	}
	if !e.awaitPrefill(r.Context(), j) {
		refuse(w, engineapi.CodeFailed, "prefill ended early")
		return
	}
	answer(w, engineapi.PrefillResult{
		Attempt:   order.Attempt,
		Tokens:    total,
		Computed:  j.computed,
		WorkedUS:  j.worked.Microseconds(),
		ExpiresMS: e.cfg.ResultTTL.Milliseconds(),
	})
}

func (e *Engine) newJob(order engineapi.PrefillOrder, total int) *prefillJob {
	cached := min(e.cache.hit(order.Marks, order.MarkBytes, e.cfg.BytesPerToken), total-1)
	return &prefillJob{
		attempt:  order.Attempt,
		order:    order,
		total:    total,
		computed: total - cached,
		left:     total - cached,
		done:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
}

// queuePrefill takes an order in, or says why not.
func (e *Engine) queuePrefill(order engineapi.PrefillOrder, total int) (*prefillJob, string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, twice := e.holds[order.Attempt]
	full := len(e.prefills) >= maxQueue || e.kvUsed+total > e.cfg.KVTokens
	if e.barred(order.Attempt) || twice || full {
		return nil, engineapi.CodeNotAccepted
	}
	j := e.newJob(order, total)
	e.holds[order.Attempt] = &hold{attempt: order.Attempt, tokens: total, since: time.Now(), prompt: order.Prompt}
	e.kvUsed += total
	e.accepted = time.Now()
	e.prefills = append(e.prefills, j)
	e.cfg.Ledger.started(order.Attempt)
	poke(e.wake)
	return j, ""
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// awaitPrefill waits for a job and keeps its result for a while.
func (e *Engine) awaitPrefill(ctx context.Context, j *prefillJob) bool {
	select {
	case <-j.done:
	case <-j.stopped:
		return false
	case <-ctx.Done():
		e.mutex.Lock()
		j.stop()
		e.drop(j.attempt)
		e.mutex.Unlock()
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	h, ok := e.holds[j.attempt]
	if !ok {
		return false
	}
	h.result = true
	h.expires = time.Now().Add(e.cfg.ResultTTL)
	return true
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var order engineapi.ImportOrder
	if !read(w, r, &order) {
		return
	}
	source := e.cfg.Links.engineAt(order.From)
	if source == nil {
		refuse(w, engineapi.CodeUnknownAttempt, "no engine at "+order.From)
		return
	}
	prompt, tokens, ok := source.result(order.Source)
	if !ok {
		refuse(w, engineapi.CodeUnknownAttempt, "the prefill engine does not keep the result")
		return
	}
	if !e.reserve(r.Context(), order.Attempt, prompt, tokens, order.OutputTokens) {
		refuse(w, engineapi.CodeNotAccepted, "no room")
		return
	}
	bytes := int64(tokens) * int64(e.cfg.KVBytesPerToken)
	err := e.cfg.Links.transfer(r.Context(), source.cfg.Zone, e.cfg.Zone, bytes)
	if _, _, still := source.result(order.Source); err != nil || !still {
		e.mutex.Lock()
		e.drop(order.Attempt)
		e.mutex.Unlock()
		refuse(w, engineapi.CodeFailed, "transfer broke off")
		return
	}
	answer(w, engineapi.ImportResult{Attempt: order.Attempt, Tokens: tokens})
}

// result is a finished prefill that is still kept.
func (e *Engine) result(attempt string) (prompt string, tokens int, ok bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	h, found := e.holds[attempt]
	if !found || !h.result {
		return "", 0, false
	}
	return h.prompt, h.tokens, true
}

// reserve takes a slot and memory, waiting in the engine's own queue for them.
func (e *Engine) reserve(ctx context.Context, attempt, prompt string, tokens, output int) bool {
	for {
		e.mutex.Lock()
		if e.barred(attempt) {
			e.mutex.Unlock()
			return false
		}
		if _, twice := e.holds[attempt]; twice {
			e.mutex.Unlock()
			return false
		}
		if e.slotsUsed < e.cfg.Slots && e.kvUsed+tokens+output <= e.cfg.KVTokens {
			e.holds[attempt] = &hold{
				attempt: attempt, tokens: tokens + output, since: time.Now(),
				prompt: prompt, output: output, slot: true,
			}
			e.kvUsed += tokens + output
			e.slotsUsed++
			e.accepted = time.Now()
			e.mutex.Unlock()
			return true
		}
		freed := e.freed
		e.mutex.Unlock()
		select {
		case <-ctx.Done():
			return false
		case <-freed:
		}
	}
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var order engineapi.DecodeOrder
	if !read(w, r, &order) {
		return
	}
	if order.Recompute != nil && !e.recompute(w, r, order) {
		return
	}
	j, ok := e.startDecode(order)
	if !ok {
		refuse(w, engineapi.CodeUnknownAttempt, "nothing is kept for this attempt")
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	e.streamTokens(w, r, j)
}

// recompute takes a slot and computes the prefill between decode steps.
func (e *Engine) recompute(w http.ResponseWriter, r *http.Request, order engineapi.DecodeOrder) bool {
	p := *order.Recompute
	e.endAt(p.Prompt)
	total := e.tokens(p.Prompt, p.Emitted)
	if !e.reserve(r.Context(), order.Attempt, p.Prompt, total, order.OutputTokens) {
		refuse(w, engineapi.CodeNotAccepted, "no room")
		return false
	}
	e.mutex.Lock()
	j := e.newJob(p, total)
	e.locals = append(e.locals, j)
	e.cfg.Ledger.started(order.Attempt)
	poke(e.wakeStep)
	e.mutex.Unlock()
	select {
	case <-j.done:
		return true
	case <-r.Context().Done():
		e.mutex.Lock()
		j.stop()
		e.drop(order.Attempt)
		e.mutex.Unlock()
		return false
	}
}

func (e *Engine) startDecode(order engineapi.DecodeOrder) (*decodeJob, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	h, ok := e.holds[order.Attempt]
	if !ok {
		return nil, false
	}
	words := Answer(h.prompt, order.OutputTokens)
	if order.EmittedCount >= len(words) {
		e.drop(order.Attempt)
		return nil, false
	}
	if !h.slot {
		// A decode beside the prefill on the same engine takes its slot now.
		h.slot, h.result = true, false
		e.slotsUsed++
	}
	j := &decodeJob{
		attempt: order.Attempt,
		words:   words,
		next:    order.EmittedCount,
		tokens:  make(chan engineapi.TokenLine, tokenQueue),
		stopped: make(chan struct{}),
	}
	e.running = append(e.running, j)
	e.cfg.Ledger.decoded(order.Attempt)
	poke(e.wakeStep)
	return j, true
}

func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, j *decodeJob) {
	lines := json.NewEncoder(w)
	control := http.NewResponseController(w)
	for {
		select {
		case t := <-j.tokens:
			if lines.Encode(t) != nil || control.Flush() != nil {
				e.cut(j)
				return
			}
			if t.Last {
				return
			}
		case <-r.Context().Done():
			e.cut(j)
			return
		case <-j.stopped:
			if len(j.tokens) == 0 {
				return
			}
		}
	}
}

// cut ends an answer whose reader is gone.
func (e *Engine) cut(j *decodeJob) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j.stop()
	e.drop(j.attempt)
}

func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	var order engineapi.ReleaseOrder
	if !read(w, r, &order) {
		return
	}
	e.release(order.Attempt)
	answer(w, struct{}{})
}

func (e *Engine) serveHolds(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	var out engineapi.Holds
	for _, h := range e.holds {
		out.Holds = append(out.Holds, engineapi.Hold{
			Attempt: h.attempt, Tokens: h.tokens, AgeMS: time.Since(h.since).Milliseconds(),
		})
	}
	e.mutex.Unlock()
	answer(w, out)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	var load engineapi.Load
	if len(e.reports) > 0 {
		load = e.reports[0].load
	}
	e.mutex.Unlock()
	answer(w, load)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mutex.Lock()
	e.pages++
	evicted, next, gap := e.cache.eventsAfter(after)
	if e.cfg.GapEvery > 0 && e.pages%e.cfg.GapEvery == 0 {
		evicted, gap = nil, true
	}
	e.mutex.Unlock()
	out := engineapi.Events{Next: next, Gap: gap}
	for _, mark := range evicted {
		out.Events = append(out.Events, engineapi.Event{Evicted: mark})
	}
	answer(w, out)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if !read(w, r, &order) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Fence < e.fence {
		refuse(w, engineapi.CodeStaleFence, "a newer fence was seen")
		return
	}
	e.fence = order.Fence
	e.orders++
	answer(w, struct{}{})
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// cache is the prefix cache: marks with their lengths, least recent first.
type cache struct {
	limit int
	used  int
	order []uint64
	size  map[uint64]int
	// log is the eviction events; base is the number dropped from its front.
	log  []uint64
	base uint64
}

const maxLog = 4096

func newCache(limit int) *cache {
	return &cache{limit: limit, size: make(map[uint64]int)}
}

// hit is the length of the longest cached prefix, in tokens.
func (c *cache) hit(marks []uint64, lengths []int, bytesPerToken float64) int {
	best := 0
	for i, m := range marks {
		if _, ok := c.size[m]; ok {
			best = max(best, int(float64(lengths[i])/bytesPerToken))
			c.touch(m)
		}
	}
	return best
}

func (c *cache) touch(mark uint64) {
	i := slices.Index(c.order, mark)
	c.order = append(slices.Delete(c.order, i, i+1), mark)
}

// add keeps the marked prefixes; each costs what it adds to the one before.
func (c *cache) add(marks []uint64, lengths []int, bytesPerToken float64) {
	before := 0
	for i, m := range marks {
		tokens := int(float64(lengths[i]) / bytesPerToken)
		if _, ok := c.size[m]; ok {
			c.touch(m)
		} else {
			c.size[m] = tokens - before
			c.used += tokens - before
			c.order = append(c.order, m)
		}
		before = tokens
	}
	for c.used > c.limit && len(c.order) > 0 {
		c.evict()
	}
}

func (c *cache) evict() {
	m := c.order[0]
	c.order = c.order[1:]
	c.used -= c.size[m]
	delete(c.size, m)
	c.log = append(c.log, m)
	if len(c.log) > maxLog {
		c.log = c.log[1:]
		c.base++
	}
}

func (c *cache) eventsAfter(after uint64) (evicted []uint64, next uint64, gap bool) {
	next = c.base + uint64(len(c.log))
	if after > next || after < c.base {
		return nil, next, true
	}
	return slices.Clone(c.log[after-c.base:]), next, false
}
