// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayhttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/protocol/relayapi"
)

var errBufferFull = bufio.ErrBufferFull

// newBlockReader reads a head that is in memory already.
func newBlockReader(block []byte) *bufio.Reader {
	return bufio.NewReaderSize(bytes.NewReader(block), len(block)+1)
}

// reply writes the answer to one request; it is the relay's caller.
type reply struct {
	conn  *conn
	q     request
	names relayapi.Names
	// chunked answers are framed piece by piece; bare ones have no body.
	chunked, bare bool
	// last says that the connection ends after this answer.
	last, done, broken bool
}

var _ relay.Caller = (*reply)(nil)

// Head begins an answer.
func (w *reply) Head(status int, header []relay.Field, length int64) error {
	b := w.conn.writer
	w.last = w.q.last || w.conn.s.stopping.Load()
	w.bare = w.q.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	_, _ = b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for _, f := range header {
		w.field(f.Name, f.Value)
	}
	switch {
	case status == http.StatusNoContent:
	case length >= 0:
		w.field("Content-Length", strconv.FormatInt(length, 10))
	case w.q.old:
		w.last = true
	default:
		w.chunked = true
		w.field("Transfer-Encoding", "chunked")
	}
	if w.last {
		w.field("Connection", "close")
	}
	_, _ = b.WriteString("\r\n")
	if length >= 0 || w.bare {
		// The body follows at once, and the head goes with it.
		return nil
	}
	return w.flush()
}

// field writes one line of the head. Errors stay with the writer until Flush.
func (w *reply) field(name, value string) {
	b := w.conn.writer
	_, _ = b.WriteString(name)
	_, _ = b.WriteString(": ")
	_, _ = b.WriteString(value)
	_, _ = b.WriteString("\r\n")
}

func (w *reply) flush() error { return w.conn.writer.Flush() }

// Write passes a piece on at once.
func (w *reply) Write(p []byte) error {
	if w.bare || len(p) == 0 {
		return nil
	}
	b := w.conn.writer
	if w.chunked {
		_, _ = b.WriteString(strconv.FormatInt(int64(len(p)), 16))
		_, _ = b.WriteString("\r\n")
	}
	_, _ = b.Write(p)
	if w.chunked {
		_, _ = b.WriteString("\r\n")
	}
	return w.flush()
}

// End ends a whole answer.
func (w *reply) End() error {
	w.done = true
	if w.chunked && !w.bare {
		_, _ = w.conn.writer.WriteString("0\r\n\r\n")
	}
	return w.flush()
}

// Break ends an answer so that it cannot be taken for a whole one: the
// connection ends without the end that its framing asks for, once the caller
// has what came before.
func (w *reply) Break() {
	w.done, w.broken = true, true
	if w.conn.out.unread() == 0 {
		w.conn.cut(w.q.old)
	}
}

// formatSeconds writes a duration as Retry-After has it.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// errorBody is the body of an answer in the box's own name.
type errorBody struct {
	Error string `json:"error"`
}

// Refuse answers in the box's own name.
func (w *reply) Refuse(r relay.Refusal) {
	body, err := json.Marshal(errorBody{Error: r.Reason})
	if err != nil {
		panic(err)
	}
	fields := []relay.Field{{Name: "Content-Type", Value: "application/json"}}
	if w.q.ID != "" {
		fields = append(fields, relay.Field{Name: w.names.RequestID, Value: w.q.ID})
	}
	if r.Challenge {
		fields = append(fields, relay.Field{Name: "WWW-Authenticate", Value: scheme})
	}
	if r.RetryAfter > 0 {
		fields = append(fields, relay.Field{Name: "Retry-After", Value: formatSeconds(r.RetryAfter)})
	}
	if w.Head(r.Status, fields, int64(len(body))) != nil || w.Write(body) != nil || w.End() != nil {
		w.Break()
	}
}
