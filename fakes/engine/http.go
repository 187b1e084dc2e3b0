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
	mux.HandleFunc(engineapi.PathPrefill, e.withNotices(e.servePrefill))
	mux.HandleFunc(engineapi.PathImport, e.serveImport)
	mux.HandleFunc(engineapi.PathDecode, e.withNotices(e.serveDecode))
	mux.HandleFunc(engineapi.PathRelease, e.serveRelease)
	mux.HandleFunc(engineapi.PathHolds, e.serveHolds)
	mux.HandleFunc(engineapi.PathLoad, e.serveLoad)
	mux.HandleFunc(engineapi.PathEvents, e.serveEvents)
	mux.HandleFunc(engineapi.PathOrder, e.serveOrder)
	return mux
}

// withNotices wraps a handler: it records arrivals, adds the engine's notices to the answers, and rejects
// requests while the engine asks for a rest.
func (e *Engine) withNotices(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.arrivals.Add(time.Now())
		if e.leaving.Load() {
			w.Header().Set(engineapi.HeaderLeaving, relayapi.LeavingYes)
		}
		if rest := time.Duration(e.rest.Load()); rest > 0 {
			e.arrivals.AskRest(time.Now(), rest)
			w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
			writeError(w, engineapi.CodeNotAccepted, "at rest")
			return
		}
		if limit := e.limit.Load(); limit != nil {
			w.Header().Set(engineapi.HeaderLimit, strconv.FormatFloat(*limit, 'f', -1, 64))
		}
		serve(w, r)
	}
}

// NameLimit makes the engine announce a limit in its answers, in requests per second.
func (e *Engine) NameLimit(perSecond float64) { e.limit.Store(&perSecond) }

// CutAnswers makes the engine cut off answers that begin here after some tokens; 0 ends that.
func (e *Engine) CutAnswers(after int) { e.cutAfter.Store(int64(after)) }

// Leave makes the engine announce in its answers that it leaves.
func (e *Engine) Leave() { e.leaving.Store(true) }

// RejectWithRest makes the engine reject all requests and ask for a rest in each answer.
func (e *Engine) RejectWithRest(rest time.Duration) { e.rest.Store(int64(rest)) }

// Arrivals returns the log of the requests for work that reached the engine.
func (e *Engine) Arrivals() *arrival.Log { return &e.arrivals }

func writeError(w http.ResponseWriter, code, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(engineapi.Error{Error: text, Code: code})
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var order engineapi.PrefillOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.crashOn(order.Prompt)
	total := e.tokens(order.Prompt, order.Emitted)
	j, code := e.queuePrefill(order, total)
	if code != "" {
		writeError(w, code, "prefill not taken")
		return
	}
	if !e.awaitPrefill(r.Context(), j) {
		writeError(w, engineapi.CodeFailed, "prefill ended early")
		return
	}
	writeJSON(w, engineapi.PrefillResult{
		Attempt:   order.Attempt,
		Tokens:    total,
		Computed:  j.computed,
		WorkedUS:  j.worked.Microseconds(),
		ExpiresMS: e.cfg.ResultTTL.Milliseconds(),
	})
}

func (e *Engine) newJob(order engineapi.PrefillOrder, total int) *prefillJob {
	cached := min(e.cache.longestHit(order.Marks, order.MarkBytes, e.cfg.BytesPerToken), total-1)
	return &prefillJob{
		attempt:   order.Attempt,
		order:     order,
		total:     total,
		computed:  total - cached,
		remaining: total - cached,
		done:      make(chan struct{}),
		stopped:   make(chan struct{}),
	}
}

// queuePrefill queues a prefill and reserves memory for it, or returns the error code of its rejection.
func (e *Engine) queuePrefill(order engineapi.PrefillOrder, total int) (*prefillJob, string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, twice := e.holds[order.Attempt]
	full := len(e.prefills) >= maxQueuedPrefills || e.kvUsed+total > e.cfg.KVTokens
	if e.isReleased(order.Attempt) || twice || full {
		return nil, engineapi.CodeNotAccepted
	}
	j := e.newJob(order, total)
	e.holds[order.Attempt] = &hold{attempt: order.Attempt, tokens: total, since: time.Now(), prompt: order.Prompt}
	e.kvUsed += total
	e.lastAccepted = time.Now()
	e.prefills = append(e.prefills, j)
	e.cfg.Ledger.addStarted(order.Attempt)
	notify(e.wakePrefill)
	return j, ""
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// awaitPrefill waits for a job and keeps its result until the result's TTL expires. It returns false
// if the job ended early or the context ended.
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
	if !readJSON(w, r, &order) {
		return
	}
	source := e.cfg.Links.engineAt(order.From)
	if source == nil {
		writeError(w, engineapi.CodeUnknownAttempt, "no engine at "+order.From)
		return
	}
	prompt, tokens, ok := source.result(order.Source)
	if !ok {
		writeError(w, engineapi.CodeUnknownAttempt, "the prefill engine does not keep the result")
		return
	}
	if !e.reserve(r.Context(), order.Attempt, prompt, tokens, order.OutputTokens) {
		writeError(w, engineapi.CodeNotAccepted, "no room")
		return
	}
	bytes := int64(tokens) * int64(e.cfg.KVBytesPerToken)
	err := e.cfg.Links.transfer(r.Context(), source.cfg.Zone, e.cfg.Zone, bytes)
	if _, _, still := source.result(order.Source); err != nil || !still {
		e.mutex.Lock()
		e.drop(order.Attempt)
		e.mutex.Unlock()
		writeError(w, engineapi.CodeFailed, "transfer broke off")
		return
	}
	writeJSON(w, engineapi.ImportResult{Attempt: order.Attempt, Tokens: tokens})
}

// result returns the prompt and the tokens of a prefill result that is still kept.
func (e *Engine) result(attempt string) (prompt string, tokens int, ok bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	h, found := e.holds[attempt]
	if !found || !h.result {
		return "", 0, false
	}
	return h.prompt, h.tokens, true
}

// reserve waits for a slot and memory and takes them. It returns false if the attempt was released or
// already has a hold, or if the context ends.
func (e *Engine) reserve(ctx context.Context, attempt, prompt string, tokens, output int) bool {
	for {
		e.mutex.Lock()
		if e.isReleased(attempt) {
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
			e.lastAccepted = time.Now()
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
	if !readJSON(w, r, &order) {
		return
	}
	if order.Recompute != nil && !e.recompute(w, r, order) {
		return
	}
	j, ok := e.startDecode(order)
	if !ok {
		writeError(w, engineapi.CodeUnknownAttempt, "nothing is kept for this attempt")
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	if e.cfg.Software != "" {
		w.Header().Set(engineapi.HeaderSoftware, e.cfg.Software)
	}
	w.WriteHeader(http.StatusOK)
	after := e.cutAfter.Load()
	if order.EmittedCount > 0 {
		after = 0
	}
	e.streamTokens(w, r, j, after)
}

// recompute takes a slot and computes the prefill of a decode order on this engine, between its decode
// steps. It answers the request itself if there is no capacity, and then returns false.
func (e *Engine) recompute(w http.ResponseWriter, r *http.Request, order engineapi.DecodeOrder) bool {
	p := *order.Recompute
	e.crashOn(p.Prompt)
	total := e.tokens(p.Prompt, p.Emitted)
	if !e.reserve(r.Context(), order.Attempt, p.Prompt, total, order.OutputTokens) {
		writeError(w, engineapi.CodeNotAccepted, "no room")
		return false
	}
	e.mutex.Lock()
	j := e.newJob(p, total)
	e.localPrefills = append(e.localPrefills, j)
	e.cfg.Ledger.addStarted(order.Attempt)
	notify(e.wakeStep)
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
		// The prefill ran on this engine, so nothing was imported and no slot taken yet.
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
	e.cfg.Ledger.addDecoded(order.Attempt)
	notify(e.wakeStep)
	return j, true
}

// streamTokens sends the tokens of an answer, and cuts it off after some of them if cutAfter is not 0.
func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, j *decodeJob, cutAfter int64) {
	lines := json.NewEncoder(w)
	control := http.NewResponseController(w)
	for sent := int64(0); ; sent++ {
		if cutAfter > 0 && sent >= cutAfter {
			e.abortDecode(j)
			panic(http.ErrAbortHandler)
		}
		select {
		case t := <-j.tokens:
			if lines.Encode(t) != nil || control.Flush() != nil {
				e.abortDecode(j)
				return
			}
			if t.Last {
				return
			}
		case <-r.Context().Done():
			e.abortDecode(j)
			return
		case <-j.stopped:
			if len(j.tokens) == 0 {
				return
			}
		}
	}
}

// abortDecode ends an answer whose reader has disconnected.
func (e *Engine) abortDecode(j *decodeJob) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j.stop()
	e.drop(j.attempt)
}

func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	var order engineapi.ReleaseOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.release(order.Attempt)
	writeJSON(w, struct{}{})
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
	writeJSON(w, out)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	var load engineapi.Load
	if len(e.loadReports) > 0 {
		load = e.loadReports[0].load
	}
	e.mutex.Unlock()
	writeJSON(w, load)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mutex.Lock()
	e.eventPages++
	evicted, next, gap := e.cache.eventsAfter(after)
	if e.cfg.GapEvery > 0 && e.eventPages%e.cfg.GapEvery == 0 {
		evicted, gap = nil, true
	}
	e.mutex.Unlock()
	out := engineapi.Events{Next: next, Gap: gap}
	for _, mark := range evicted {
		out.Events = append(out.Events, engineapi.Event{Evicted: mark})
	}
	writeJSON(w, out)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if !readJSON(w, r, &order) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Fence < e.fence {
		writeError(w, engineapi.CodeStaleFence, "a newer fence was seen")
		return
	}
	e.fence = order.Fence
	e.orders++
	writeJSON(w, struct{}{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// cache is the prefix cache: marked prefixes with their sizes in tokens, least recently used first.
type cache struct {
	limit int
	used  int
	order []uint64
	size  map[uint64]int
	// evictions has the latest eviction events; evictionsDropped is the number of older ones that were dropped.
	evictions        []uint64
	evictionsDropped uint64
}

const maxEvictions = 4096

func newCache(limit int) *cache {
	return &cache{limit: limit, size: make(map[uint64]int)}
}

// longestHit returns the length of the longest cached prefix in tokens, and marks those found as used.
func (c *cache) longestHit(marks []uint64, lengths []int, bytesPerToken float64) int {
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

// add caches the marked prefixes, each at the size by which it exceeds the one before, and evicts
// the least recently used while the cache is over its limit.
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
	c.evictions = append(c.evictions, m)
	if len(c.evictions) > maxEvictions {
		c.evictions = c.evictions[1:]
		c.evictionsDropped++
	}
}

func (c *cache) eventsAfter(after uint64) (evicted []uint64, next uint64, gap bool) {
	next = c.evictionsDropped + uint64(len(c.evictions))
	if after > next || after < c.evictionsDropped {
		return nil, next, true
	}
	return slices.Clone(c.evictions[after-c.evictionsDropped:]), next, false
}
