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

// newHeadReader returns a reader over a request head that is already in memory.
func newHeadReader(head []byte) *bufio.Reader {
	return bufio.NewReaderSize(bytes.NewReader(head), len(head)+1)
}

// reply writes the answer to one request. It implements relay.Caller until the answer has begun, and begunReply
// relay.Reply from then on.
type reply struct {
	conn  *conn
	q     request
	names relayapi.Names
	begun bool
	// chunked is true for an answer with chunked encoding, noBody for one without a body.
	chunked, noBody bool
	// closeAfter is true if the connection is closed after this answer, done once the answer has
	// ended, broken if it ended before it was complete.
	closeAfter, done, broken bool
}

// begunReply writes what follows the head of an answer.
type begunReply struct{ w *reply }

var (
	_ relay.Caller = (*reply)(nil)
	_ relay.Reply  = begunReply{}
)

// Begin writes the status line and headers of an answer. A negative length is unknown: the
// answer is chunked, or for HTTP/1.0 ends with the connection.
func (w *reply) Begin(status int, header []relay.HeaderField, length int64) (relay.Reply, error) {
	if w.begun {
		return nil, relay.ErrBegun
	}
	w.begun = true
	b := w.conn.writer
	w.closeAfter = w.q.closeAfter || !w.conn.s.keepsAlive()
	w.noBody = w.q.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	_, _ = b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for _, f := range header {
		w.field(f.Name, f.Value)
	}
	switch {
	case status == http.StatusNoContent:
	case length >= 0:
		w.field("Content-Length", strconv.FormatInt(length, 10))
	case w.q.http10:
		w.closeAfter = true
	default:
		w.chunked = true
		w.field("Transfer-Encoding", "chunked")
	}
	if w.closeAfter {
		w.field("Connection", "close")
	}
	_, _ = b.WriteString("\r\n")
	if length >= 0 || w.noBody {
		// The body, or the end of the answer, follows at once and flushes the head.
		return begunReply{w}, nil
	}
	return begunReply{w}, w.flush()
}

// field writes one header line. The writer keeps errors until Flush.
func (w *reply) field(name, value string) {
	b := w.conn.writer
	_, _ = b.WriteString(name)
	_, _ = b.WriteString(": ")
	_, _ = b.WriteString(value)
	_, _ = b.WriteString("\r\n")
}

func (w *reply) flush() error { return w.conn.writer.Flush() }

// Write writes a piece of the body and flushes it.
func (r begunReply) Write(p []byte) error {
	w := r.w
	if w.noBody || len(p) == 0 {
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

// End completes the answer.
func (r begunReply) End() error {
	w := r.w
	w.done = true
	if w.chunked && !w.noBody {
		_, _ = w.conn.writer.WriteString("0\r\n\r\n")
	}
	return w.flush()
}

// Abort ends the answer.
func (r begunReply) Abort() { r.w.Abort() }

// Abort ends an answer so that the caller can't take it for a complete one: the connection
// is closed without the end that its framing requires, after the caller has received what
// was written before.
func (w *reply) Abort() {
	w.done, w.broken = true, true
	if w.conn.out.unread() == 0 {
		w.conn.cut(w.q.http10)
	}
}

// formatSeconds formats a duration for Retry-After: seconds with three decimals.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error string `json:"error"`
}

// Refuse answers the request with the box's own refusal.
func (w *reply) Refuse(r relay.Refusal) {
	body, err := json.Marshal(errorBody{Error: r.Reason})
	if err != nil {
		panic(err)
	}
	fields := []relay.HeaderField{{Name: "Content-Type", Value: "application/json"}}
	if w.q.ID != "" {
		fields = append(fields, relay.HeaderField{Name: w.names.RequestID, Value: w.q.ID})
	}
	if r.Challenge {
		fields = append(fields, relay.HeaderField{Name: "WWW-Authenticate", Value: scheme})
	}
	if r.RetryAfter > 0 {
		fields = append(fields, relay.HeaderField{Name: "Retry-After", Value: formatSeconds(r.RetryAfter)})
	}
	reply, err := w.Begin(r.Status, fields, int64(len(body)))
	if err != nil || reply.Write(body) != nil || reply.End() != nil {
		w.Abort()
	}
}
