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
	// maxBufferedAnswer is the size of the largest answer that is read completely before any of
	// it is sent to the caller, in bytes.
	maxBufferedAnswer = 256 << 10
	// maxPrefillAnswer limits an engine's answer to a prefill, in bytes.
	maxPrefillAnswer = 64 << 10
	pieceSize        = 8 << 10
	// maxEvent limits one event of a stream, in bytes.
	maxEvent = 1 << 20
)

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	answer *Answer
	body   []byte
}

// bufferAnswer reads an answer that is not a stream completely and then sends it to the caller.
// If it is cut off, the caller has received nothing of it, so another attempt may follow.
func (h *handler) bufferAnswer(ctx context.Context, id string, a *Answer) result {
	hold := h.relay.cfg.Held.Open(held.Answer, h.request.ID, nil)
	defer hold.Close()
	body, err := held.Read(a.Body, hold, a.Length, maxBufferedAnswer)
	switch {
	case errors.Is(err, held.ErrTooLong), errors.Is(err, held.ErrBudgetExhausted):
		if h.withholds(a) {
			_ = a.Body.Close()
			return rejected(id, a, reasonStatusWithheld)
		}
		return h.relayLong(ctx, id, a, body)
	case err != nil:
		return h.noteBreak(ctx, err, result{kind: failed, endpoint: id, reason: "answer_cut"})
	}
	h.noteAnswered(a)
	b := &bufferedAnswer{answer: a, body: body}
	switch {
	case h.withholds(a):
		return rejected(id, a, reasonStatusWithheld)
	case a.Status >= 500:
		h.fallback = b
		return rejected(id, a, "endpoint_failed")
	}
	return h.sendBuffered(b)
}

// rejected is the result of an attempt whose endpoint sent an answer that the caller does not get now.
func rejected(id string, a *Answer, reason string) result {
	return result{kind: failed, endpoint: id, answered: true, status: a.Status, reason: reason}
}

// sendBuffered sends a complete answer to the caller.
func (h *handler) sendBuffered(b *bufferedAnswer) result {
	err := h.begin(b.answer, int64(len(b.body)))
	if err == nil && len(b.body) > 0 {
		err = h.reply.Write(b.body)
	}
	if err == nil {
		err = h.reply.End()
	}
	if err != nil {
		return h.callerFailed(err)
	}
	h.recordEnd("answered", strconv.Itoa(b.answer.Status))
	return result{}
}

// relayLong sends an answer that is too long to buffer to the caller as it arrives; head is the
// part already read.
func (h *handler) relayLong(ctx context.Context, id string, a *Answer, head []byte) result {
	defer func() { _ = a.Body.Close() }()
	err := h.begin(a, a.Length)
	if err == nil {
		err = h.write(head)
	}
	buffer := make([]byte, pieceSize)
	for err == nil {
		n, readErr := h.read(a, buffer)
		if n > 0 {
			err = h.write(buffer[:n])
		}
		if err != nil || readErr == nil {
			continue
		}
		return h.finishLong(ctx, id, a, readErr)
	}
	return h.callerFailed(err)
}

// finishLong handles the end of a long answer: err is io.EOF at its end, or else the error that
// interrupted it.
func (h *handler) finishLong(ctx context.Context, id string, a *Answer, err error) result {
	switch {
	case errors.Is(err, io.EOF):
		h.noteAnswered(a)
		if err := h.reply.End(); err != nil {
			return h.callerFailed(err)
		}
		h.recordEnd("answered", strconv.Itoa(a.Status))
		return result{}
	case h.stall.explainsBreak(h.relay.cfg.Now()):
		return h.endStalled()
	}
	h.noteBreak(ctx, err, result{endpoint: id})
	h.abort()
	h.recordEnd("broken", "answer_cut")
	return result{}
}

// relayStream sends a stream to the caller event by event. A partial event is held back until
// the rest has arrived, so that the caller never receives an incomplete event and another
// attempt can resume the stream.
func (h *handler) relayStream(ctx context.Context, id string, a *Answer) result {
	defer func() { _ = a.Body.Close() }()
	hold := h.relay.cfg.Held.Open(held.Answer, h.request.ID, nil)
	defer hold.Close()
	buffer := make([]byte, pieceSize)
	pending := partialEvent{hold: hold}
	var first time.Time
	lives := false
	for {
		n, err := h.read(a, buffer)
		if !pending.add(buffer[:n]) {
			return result{kind: failed, reason: "no_room_for_event"}
		}
		if end := lastEventEnd(pending.data); end > 0 {
			if first.IsZero() {
				first = h.relay.cfg.Now()
				h.noteFirstEvent(id)
			} else {
				h.steps += bytes.Count(pending.data[:end], eventEnd) * h.tokensPerEvent()
				h.stepTime = h.relay.cfg.Now().Sub(first)
			}
			if !lives && h.relay.cfg.Now().Sub(first) >= livesAfter {
				lives = true
				h.suspect().Lives()
			}
			if err := h.forwardEvents(a, pending.data[:end]); err != nil {
				return h.callerFailed(err)
			}
			pending.consume(end)
		}
		if errors.Is(err, io.EOF) {
			return h.finishStream(ctx, id, a, pending.data, first)
		}
		if err != nil && h.stall.explainsBreak(h.relay.cfg.Now()) {
			return h.endStalled()
		}
		if err != nil {
			return h.noteBreak(ctx, err, result{kind: failed, endpoint: id, reason: "stream_cut"})
		}
		if len(pending.data) > maxEvent {
			return result{kind: failed, endpoint: id, reason: "event_too_long"}
		}
	}
}

// livesAfter is how long after its first event an endpoint that still sends events is known to live
// through the request.
const livesAfter = 250 * time.Millisecond

// tokensPerEvent returns how many tokens one event of a stream represents.
func (h *handler) tokensPerEvent() int {
	if h.service.Engine == nil {
		return 1
	}
	return max(h.service.Engine.TokensPerEvent, 1)
}

// notePiece updates the longest pause between two pieces.
func (h *handler) notePiece() {
	now := h.relay.cfg.Now()
	if !h.lastPiece.IsZero() {
		h.longestGap = max(h.longestGap, now.Sub(h.lastPiece))
	}
	h.lastPiece = now
}

// forwardEvents sends complete events to the caller, without those it already has.
func (h *handler) forwardEvents(a *Answer, events []byte) error {
	if h.reply == nil {
		if err := h.begin(a, -1); err != nil {
			return err
		}
	}
	h.notePiece()
	fresh, last := newEvents(events, h.lastEvent)
	if last != "" {
		h.lastEvent = last
	}
	if len(fresh) == 0 {
		return nil
	}
	return h.write(fresh)
}

// noteAnswered records that an endpoint has answered the request in full, if the end of the answer
// proves that.
func (h *handler) noteAnswered(a *Answer) {
	if !a.Unframed {
		h.suspect().Answered()
	}
}

// finishStream completes the answer after the stream has ended; rest is the data after the last
// complete event, and first is when the first event of this endpoint arrived.
func (h *handler) finishStream(ctx context.Context, id string, a *Answer, rest []byte, first time.Time) result {
	switch {
	case len(rest) > 0:
		return h.noteBreak(ctx, io.ErrUnexpectedEOF, result{kind: failed, endpoint: id, reason: "stream_ended_in_event"})
	case a.Unframed && first.IsZero() && (h.reply != nil || h.lastEvent == ""):
		return h.noteBreak(ctx, io.ErrUnexpectedEOF, result{kind: failed, endpoint: id, reason: "stream_without_events"})
	}
	if h.reply == nil {
		if err := h.forwardEvents(a, nil); err != nil {
			return h.callerFailed(err)
		}
	}
	h.noteAnswered(a)
	if err := h.reply.End(); err != nil {
		return h.callerFailed(err)
	}
	h.recordEnd("answered", strconv.Itoa(a.Status))
	return result{}
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// lastEventEnd returns the length of the complete events at the start of p.
func lastEventEnd(p []byte) int {
	at := bytes.LastIndex(p, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// newEvents removes the events up to the last one that the caller has, and returns the rest and
// the last ID in it.
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

// eventID returns the ID of one event; empty if it has none.
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

// keptResult is a prefill result that an engine keeps for this request.
type keptResult struct {
	engine    Endpoint
	handle    string
	createdAt time.Time
}

// source returns the address from which a decode engine fetches the result.
func (k *keptResult) source() string { return k.engine.Address + "/" + k.handle }

// freeKept releases the prefill result, if there is one that no engine has fetched.
func (h *handler) freeKept() {
	k := h.kept
	if k == nil {
		return
	}
	h.kept = nil
	go func() {
		if err := h.relay.cfg.Endpoints.Free(context.Background(), k.engine, k.handle); err != nil {
			h.relay.cfg.Log.WithFields(log.Fields{log.FieldRequest: h.request.ID, log.FieldEngine: k.engine.ID}).WithError(err).Info("free_failed")
		}
	}()
}

// keptReuseShare is the part of a result's lifetime in which it is offered for reuse.
const keptReuseShare = 0.6

// keptTTL returns how long an engine keeps a result that is not fetched.
func (h *handler) keptTTL() time.Duration {
	kept := time.Duration(h.service.Engine.KeptMS) * time.Millisecond
	if kept <= 0 {
		return time.Second
	}
	return kept
}

// reusableEngine returns the ID of the engine whose result can still be reused, or an empty
// string.
func (h *handler) reusableEngine() string {
	if h.kept == nil {
		return ""
	}
	if h.relay.cfg.Now().Sub(h.kept.createdAt) > time.Duration(keptReuseShare*float64(h.keptTTL())) {
		h.freeKept()
		return ""
	}
	return h.kept.engine.ID
}

// readHandle reads and parses an engine's answer to a prefill.
func readHandle(a *Answer, parse func([]byte) (string, int, error)) (handle string, tokens int, err error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxPrefillAnswer))
	if err != nil {
		return "", 0, err
	}
	return parse(body)
}
