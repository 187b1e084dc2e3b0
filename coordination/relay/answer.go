// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/modules/log"
)

const (
	// maxWhole is the largest answer that is read to its end before the caller
	// gets any of it, in bytes.
	maxWhole = 256 << 10
	// maxPrefillAnswer bounds an engine's answer to a prefill.
	maxPrefillAnswer = 64 << 10
	pieceSize        = 8 << 10
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
)

// whole is an answer that was read to its end.
type whole struct {
	answer *Answer
	body   []byte
}

// take reads a plain answer to its end and passes it on. A cut answer has
// reached nobody, so that another attempt may follow.
func (v *run) take(ctx context.Context, id string, a *Answer) result {
	h := v.r.cfg.Held.Open(held.Answer, v.q.ID, nil)
	defer h.Close()
	body, err := held.Read(a.Body, h, a.Length, maxWhole)
	switch {
	case errors.Is(err, held.ErrTooLong), errors.Is(err, held.ErrNoRoom):
		return v.takeLong(ctx, id, a, body)
	case err != nil:
		return v.brokeOff(ctx, err, result{kind: failed, endpoint: id, reason: "answer_cut"})
	}
	v.suspect().Answered()
	w := &whole{answer: a, body: body}
	if a.Status >= 500 {
		v.fallback = w
		return result{kind: failed, endpoint: id, answered: true, reason: "endpoint_failed"}
	}
	return v.pass(w)
}

// pass gives the caller an endpoint's whole answer.
func (v *run) pass(w *whole) result {
	v.begun = true
	v.firstAt = v.r.cfg.Now()
	err := v.c.Head(w.answer.Status, w.answer.Header, int64(len(w.body)))
	if err == nil && len(w.body) > 0 {
		err = v.c.Write(w.body)
	}
	if err == nil {
		err = v.c.End()
	}
	if err != nil {
		return v.callerLeft(err)
	}
	v.ended("answered", strconv.Itoa(w.answer.Status))
	return result{}
}

// takeLong passes a long answer on as it comes.
func (v *run) takeLong(ctx context.Context, id string, a *Answer, head []byte) result {
	defer func() { _ = a.Body.Close() }()
	v.begun = true
	v.firstAt = v.r.cfg.Now()
	err := v.c.Head(a.Status, a.Header, a.Length)
	if err == nil {
		err = v.write(head)
	}
	buffer := make([]byte, pieceSize)
	for err == nil {
		n, readErr := v.read(a, buffer)
		if n > 0 {
			err = v.write(buffer[:n])
		}
		if err != nil || readErr == nil {
			continue
		}
		return v.endLong(ctx, id, a, readErr)
	}
	return v.callerLeft(err)
}

// endLong ends a long answer that has come to its end, or broken off.
func (v *run) endLong(ctx context.Context, id string, a *Answer, err error) result {
	switch {
	case errors.Is(err, io.EOF):
		v.suspect().Answered()
		if err := v.c.End(); err != nil {
			return v.callerLeft(err)
		}
		v.ended("answered", strconv.Itoa(a.Status))
		return result{}
	case v.heldUp.lasts(v.r.cfg.Now()):
		return v.gaveUpWaiting()
	}
	v.brokeOff(ctx, err, result{endpoint: id})
	v.c.Break()
	v.ended("broken", "answer_cut")
	return result{}
}

// stream passes a stream on, event by event. Part of an event is held back
// until the rest has come, so that the caller never has half of one.
func (v *run) stream(ctx context.Context, id string, a *Answer) result {
	defer func() { _ = a.Body.Close() }()
	h := v.r.cfg.Held.Open(held.Answer, v.q.ID, nil)
	defer h.Close()
	buffer := make([]byte, pieceSize)
	pending := partial{hold: h}
	var first time.Time
	for {
		n, err := v.read(a, buffer)
		if !pending.add(buffer[:n]) {
			return result{kind: failed, reason: "no_room_for_event"}
		}
		if end := lastEventEnd(pending.data); end > 0 {
			if first.IsZero() {
				first = v.r.cfg.Now()
			} else {
				v.steps += bytes.Count(pending.data[:end], eventEnd) * v.tokensPerEvent()
				v.stepTime = v.r.cfg.Now().Sub(first)
			}
			if err := v.forward(a, pending.data[:end]); err != nil {
				return v.callerLeft(err)
			}
			pending.drop(end)
		}
		if errors.Is(err, io.EOF) {
			return v.endStream(a, pending.data)
		}
		if err != nil && v.heldUp.lasts(v.r.cfg.Now()) {
			return v.gaveUpWaiting()
		}
		if err != nil {
			return v.brokeOff(ctx, err, result{kind: failed, endpoint: id, reason: "stream_cut"})
		}
		if len(pending.data) > maxEvent {
			return result{kind: failed, endpoint: id, reason: "event_too_long"}
		}
	}
}

// tokensPerEvent is how many tokens one event of a stream stands for.
func (v *run) tokensPerEvent() int {
	if v.service.Engine == nil {
		return 1
	}
	return max(v.service.Engine.TokensPerEvent, 1)
}

// notePiece keeps the longest pause between two pieces.
func (v *run) notePiece() {
	now := v.r.cfg.Now()
	if !v.lastPiece.IsZero() {
		v.longestGap = max(v.longestGap, now.Sub(v.lastPiece))
	}
	v.lastPiece = now
}

// forward gives the caller whole events. Those that it has are left out.
func (v *run) forward(a *Answer, events []byte) error {
	if !v.begun {
		v.begun = true
		v.firstAt = v.r.cfg.Now()
		if err := v.c.Head(a.Status, a.Header, -1); err != nil {
			return err
		}
	}
	v.notePiece()
	fresh, last := newEvents(events, v.lastEvent)
	if last != "" {
		v.lastEvent = last
	}
	if len(fresh) == 0 {
		return nil
	}
	return v.write(fresh)
}

// endStream ends an answer whose stream came to its end.
func (v *run) endStream(a *Answer, rest []byte) result {
	if len(rest) > 0 {
		return result{kind: failed, reason: "stream_ended_in_event"}
	}
	if !v.begun {
		if err := v.forward(a, nil); err != nil {
			return v.callerLeft(err)
		}
	}
	v.suspect().Answered()
	if err := v.c.End(); err != nil {
		return v.callerLeft(err)
	}
	v.ended("answered", strconv.Itoa(a.Status))
	return result{}
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// lastEventEnd is the length of the whole events at the start of p.
func lastEventEnd(p []byte) int {
	at := bytes.LastIndex(p, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// newEvents leaves out the events up to the last one that the caller has, and
// returns the last id among the rest.
func newEvents(events []byte, after string) (fresh []byte, last string) {
	have, numbered := eventNumber(after)
	fresh = events
	for rest := events; len(rest) > 0; {
		end := bytes.Index(rest, eventEnd) + len(eventEnd)
		id := eventID(rest[:end])
		rest = rest[end:]
		if id == "" {
			continue
		}
		if n, ok := eventNumber(id); ok && numbered && n <= have {
			fresh = rest
			continue
		}
		last = id
	}
	return fresh, last
}

// eventID reads the id of one event; empty is none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// keptResult is a prefill result that an engine keeps for this run.
type keptResult struct {
	engine Endpoint
	handle string
	made   time.Time
}

// source is how a decode engine is told of it.
func (k *keptResult) source() string { return k.engine.Address + "/" + k.handle }

// free gives back the result that no engine has taken, if there is one.
func (v *run) free() {
	k := v.kept
	if k == nil {
		return
	}
	v.kept = nil
	go func() {
		if err := v.r.cfg.Endpoints.Free(context.Background(), k.engine, k.handle); err != nil {
			v.r.cfg.Log.WithFields(log.Fields{log.FieldRequest: v.q.ID, log.FieldEngine: k.engine.ID}).WithError(err).Info("free_failed")
		}
	}()
}

// keptShare is the part of a result's time in which it is offered again.
const keptShare = 0.6

// keptFor is how long an engine keeps a result that nobody takes.
func (v *run) keptFor() time.Duration {
	kept := time.Duration(v.service.Engine.KeptMS) * time.Millisecond
	if kept <= 0 {
		return time.Second
	}
	return kept
}

// keptBy names the engine whose result this run can still use.
func (v *run) keptBy() string {
	if v.kept == nil {
		return ""
	}
	if v.r.cfg.Now().Sub(v.kept.made) > time.Duration(keptShare*float64(v.keptFor())) {
		v.free()
		return ""
	}
	return v.kept.engine.ID
}

// readHandle reads an engine's answer to a prefill.
func readHandle(a *Answer, parse func([]byte) (string, int, error)) (handle string, tokens int, err error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxPrefillAnswer))
	if err != nil {
		return "", 0, err
	}
	return parse(body)
}
