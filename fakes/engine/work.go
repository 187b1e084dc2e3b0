// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"runridge.example/runridge/protocol/engineapi"
)

// prefillJob is a prefill that is queued or runs. computed is its total of tokens to compute, remaining what is still to be computed.
type prefillJob struct {
	attempt   string
	order     engineapi.PrefillOrder
	total     int
	computed  int
	remaining int
	worked    time.Duration
	done      chan struct{}
	stopped   chan struct{}
	once      sync.Once
}

func (j *prefillJob) stop() {
	j.once.Do(func() { close(j.stopped) })
}

func (j *prefillJob) isStopped() bool {
	select {
	case <-j.stopped:
		return true
	default:
		return false
	}
}

// decodeJob is an answer being generated.
type decodeJob struct {
	attempt string
	words   []string
	next    int
	tokens  chan engineapi.TokenLine
	stopped chan struct{}
	once    sync.Once
}

func (j *decodeJob) stop() {
	j.once.Do(func() { close(j.stopped) })
}

func (j *decodeJob) isStopped() bool {
	select {
	case <-j.stopped:
		return true
	default:
		return false
	}
}

// prefillLoop computes queued prefills chunk by chunk, the highest priority first. It gets wake as
// an argument because a restart replaces the engine's channel.
func (e *Engine) prefillLoop(ctx context.Context, wake <-chan struct{}) {
	for {
		j := e.nextPrefill()
		if j == nil {
			select {
			case <-ctx.Done():
				return
			case <-wake:
			}
			continue
		}
		chunk := min(j.remaining, prefillChunk)
		if !e.simulateWork(ctx, e.prefillTime(chunk)) {
			return
		}
		e.advance(j, chunk)
	}
}

func (e *Engine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.cfg.PrefillRate * float64(time.Second))
}

// simulateWork waits for the time that work takes, and then until a freeze ends. It returns false if the
// context ends first.
func (e *Engine) simulateWork(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	e.mutex.Lock()
	frozen := e.frozen
	e.mutex.Unlock()
	if frozen == nil {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-frozen:
		return true
	}
}

// Freeze suspends all work of the engine until the returned function is
// called; its connections stay open.
func (e *Engine) Freeze() (thaw func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	frozen := make(chan struct{})
	e.frozen = frozen
	return func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.frozen == frozen {
			e.frozen = nil
		}
		close(frozen)
	}
}

func (e *Engine) nextPrefill() *prefillJob {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.prefills = slices.DeleteFunc(e.prefills, func(j *prefillJob) bool { return j.isStopped() })
	if len(e.prefills) == 0 {
		return nil
	}
	return slices.MaxFunc(e.prefills, func(a, b *prefillJob) int {
		return a.order.Priority - b.order.Priority
	})
}

// advance records a computed chunk of a prefill and completes the job after the last one.
func (e *Engine) advance(j *prefillJob, chunk int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cfg.Ledger.addComputed(j.attempt, chunk)
	j.remaining -= chunk
	j.worked += e.prefillTime(chunk)
	if j.remaining > 0 || j.isStopped() {
		return
	}
	e.prefills = slices.DeleteFunc(e.prefills, func(o *prefillJob) bool { return o == j })
	e.cache.add(j.order.Marks, j.order.MarkBytes, e.cfg.BytesPerToken)
	close(j.done)
}

// stepLoop generates one token for every running answer in each decode step.
func (e *Engine) stepLoop(ctx context.Context, wake <-chan struct{}) {
	for {
		d := e.stepTime()
		if d == 0 {
			select {
			case <-ctx.Done():
				return
			case <-wake:
			}
			continue
		}
		if !e.simulateWork(ctx, d) {
			return
		}
		e.step()
	}
}

// stepTime returns the duration of the next decode step, 0 if there is nothing to do.
func (e *Engine) stepTime() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running = slices.DeleteFunc(e.running, func(j *decodeJob) bool { return j.isStopped() })
	e.localPrefills = slices.DeleteFunc(e.localPrefills, func(j *prefillJob) bool { return j.isStopped() })
	var d time.Duration
	if n := len(e.running); n > 0 {
		d = e.cfg.StepBase + e.cfg.StepPer*time.Duration(n)
	}
	if len(e.localPrefills) > 0 {
		d += e.prefillTime(min(e.localPrefills[0].remaining, localPrefillChunk))
	}
	return d
}

func (e *Engine) step() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, j := range e.running {
		e.emit(j)
	}
	if len(e.localPrefills) == 0 {
		return
	}
	j := e.localPrefills[0]
	chunk := min(j.remaining, localPrefillChunk)
	e.cfg.Ledger.addComputed(j.attempt, chunk)
	j.remaining -= chunk
	j.worked += e.prefillTime(chunk)
	if j.remaining == 0 {
		e.localPrefills = e.localPrefills[1:]
		e.cache.add(j.order.Marks, j.order.MarkBytes, e.cfg.BytesPerToken)
		close(j.done)
	}
}

// emit queues an answer's next token for its reader, and ends the answer if the reader is too slow.
// The mutex is held.
func (e *Engine) emit(j *decodeJob) {
	if j.isStopped() {
		return
	}
	t := engineapi.TokenLine{Attempt: j.attempt, Index: j.next, Text: j.words[j.next], Last: j.next == len(j.words)-1}
	if e.cfg.Software != "" {
		t.Text += "@" + e.cfg.Software
	}
	select {
	case j.tokens <- t:
	default:
		j.stop()
		e.drop(j.attempt)
		return
	}
	j.next++
	if t.Last {
		e.cfg.Ledger.addFinished(j.attempt)
		j.stop()
		e.drop(j.attempt)
	}
}
