// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayhttp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/relayapi"
)

// request is one request as it was read.
type request struct {
	relay.Request
	// last says that the caller wants the connection closed after the answer.
	last bool
	// old is a caller that speaks HTTP/1.0.
	old bool
	// held is the body's part of what the box holds.
	held *held.Hold
}

// requestError is a request that is turned away before it is served.
type requestError struct {
	status int
	reason string
	// retryAfter is when to come again; 0 is not said.
	retryAfter time.Duration
}

// Error names the reason.
func (e requestError) Error() string { return e.reason }

// errEnded is a connection that ended in the middle of a request.
var errEnded = errors.New("connection ended within a request")

func bad(reason string) error { return requestError{status: http.StatusBadRequest, reason: reason} }

// read reads one whole request.
func (c *conn) read(b bounds) (request, error) {
	_ = c.raw.SetReadDeadline(time.Now().Add(b.headerTimeout))
	block, err := c.readBlock(b.header)
	if err != nil {
		return request{}, err
	}
	arrived := time.Now()
	framing, err := checkBlock(block)
	if err != nil {
		return request{}, err
	}
	var h fasthttp.RequestHeader
	h.DisableNormalizing()
	if err := h.Read(newBlockReader(block)); err != nil {
		return request{}, bad("unreadable head")
	}
	q := c.request(&h)
	q.Arrived = arrived
	return q, c.body(&q, framing, b)
}

// readBlock reads up to the empty line that ends a head.
func (c *conn) readBlock(limit int) ([]byte, error) {
	var block []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		block = append(block, line...)
		switch {
		case len(block) > limit:
			return nil, requestError{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head too large"}
		case err != nil && !errors.Is(err, errBufferFull):
			if isTimeout(err) {
				return nil, requestError{status: http.StatusRequestTimeout, reason: "head too slow"}
			}
			return nil, errEnded
		}
		if bytes.HasSuffix(block, headEnd) {
			return block, nil
		}
		if bytes.Equal(block, lineEnd) {
			// An empty line before a request is passed over (RFC 9112, 2.2).
			block = block[:0]
		}
	}
}

var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
)

// framing is how the body of a request is delimited.
type framing struct {
	chunked bool
	length  int64
	// body says that the request said anything of a body.
	body bool
}

// checkBlock refuses heads that two readers could frame differently.
func checkBlock(block []byte) (framing, error) {
	var f framing
	lines := strings.Split(strings.TrimSuffix(string(block), "\r\n\r\n"), "\r\n")
	current, err := checkLine(lines[0])
	if err != nil {
		return f, err
	}
	hosts, lengths, encodings := 0, 0, 0
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found || name == "" || strings.ContainsAny(name, " \t\r\n\x00") || strings.ContainsAny(line, "\r\n\x00") {
			return f, bad("malformed header line")
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "host":
			hosts++
		case "content-length":
			lengths++
			n, err := strconv.ParseUint(value, 10, 63)
			if err != nil || strings.HasPrefix(value, "+") {
				return f, bad("malformed length")
			}
			f.length, f.body = int64(n), true
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(value, "chunked") {
				return f, bad("transfer encoding not known")
			}
			f.chunked, f.body = true, true
		}
	}
	if f.chunked && !current {
		return f, bad("chunks before HTTP/1.1")
	}
	if hosts != 1 || lengths > 1 || encodings > 1 || lengths+encodings > 1 {
		return f, bad("ambiguous host or framing")
	}
	return f, nil
}

// linePattern is a request line in one of the two versions that are served.
var linePattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]+ [!-~]+ HTTP/1\\.([01])$")

// checkLine refuses request lines that are not plain, and says whether the
// version is 1.1.
func checkLine(line string) (current bool, err error) {
	parts := linePattern.FindStringSubmatch(line)
	if parts == nil {
		return false, bad("malformed request line")
	}
	return parts[1] == "1", nil
}

// request takes what the head says.
func (c *conn) request(h *fasthttp.RequestHeader) request {
	names := c.s.cfg.Names
	var q request
	q.Method = string(h.Method())
	q.Target = string(h.RequestURI())
	q.Path, _, _ = strings.Cut(q.Target, "?")
	q.Host = string(h.Host())
	q.old = !h.IsHTTP11()
	q.last = h.ConnectionClose() || q.old
	named := ""
	for key, value := range h.All() {
		name, text := string(key), string(value)
		switch {
		case strings.EqualFold(name, names.RequestID):
			q.ID = text
		case strings.EqualFold(name, names.LastEvent):
			q.LastEvent = text
		case strings.EqualFold(name, names.Deadline):
			if wait, ok := relayapi.ParseDeadline(text); ok {
				q.Wait = wait
			}
		case strings.EqualFold(name, headerAuthorization):
			q.Credential.Opaque = append(q.Credential.Opaque, relay.Field{Name: name, Value: text})
		case strings.EqualFold(name, "Connection"):
			named += "," + text
		case strings.EqualFold(name, "Host"), hopByHop[strings.ToLower(name)], names.OwnedByBox(name):
		default:
			q.Header = append(q.Header, relay.Field{Name: name, Value: text})
		}
		if strings.EqualFold(name, names.Tokens) {
			q.Prompt.Tokens, q.Prompt.Output = relayapi.ParseTokens(text)
		}
		if strings.EqualFold(name, names.LengthHint) {
			q.Prompt.Hint = relayapi.ParseHint(text)
		}
	}
	q.Header = withoutNamed(q.Header, named)
	q.Credential = credentialOf(q.Credential.Opaque)
	q.Credential.Opaque = withoutNamed(q.Credential.Opaque, named)
	return q
}

// hopByHop are the headers between two neighbours, and those that frame.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true, "content-length": true, "expect": true,
}

// withoutNamed drops the headers that Connection names.
func withoutNamed(fields []relay.Field, named string) []relay.Field {
	out := fields[:0]
	for _, f := range fields {
		drop := false
		for _, name := range strings.Split(named, ",") {
			drop = drop || strings.EqualFold(strings.TrimSpace(name), f.Name)
		}
		if !drop {
			out = append(out, f)
		}
	}
	return out
}

// body reads the body within the bound.
func (c *conn) body(q *request, f framing, b bounds) error {
	q.HasBody = f.body
	if !f.body {
		return nil
	}
	if f.length > int64(b.body) {
		return errBodyTooLarge
	}
	q.held = c.s.cfg.Held.Open(held.Upload, q.ID, c.source.giveWay)
	err := c.readBody(q, f, b)
	if err != nil {
		q.held.Close()
		return err
	}
	q.held.Complete()
	return nil
}

var (
	errBodyTooLarge = requestError{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	errBodyTooSlow  = requestError{status: http.StatusRequestTimeout, reason: "body too slow"}
	errNoRoom       = requestError{status: http.StatusServiceUnavailable, reason: "no_room_for_body", retryAfter: noRoomRetry}
)

// noRoomRetry is when to come again to a box that has no room for a body: slower bodies have
// given way by then.
const noRoomRetry = time.Second

// readBody reads a body as it comes.
func (c *conn) readBody(q *request, f framing, b bounds) error {
	c.source.begin()
	defer c.source.end()
	length, framed := f.length, io.LimitReader(c.reader, f.length)
	if f.chunked {
		length, framed = held.Unknown, httputil.NewChunkedReader(c.reader)
	}
	data, err := held.Read(framed, q.held, length, b.body)
	switch {
	case errors.Is(err, held.ErrTooLong):
		return errBodyTooLarge
	case errors.Is(err, held.ErrNoRoom):
		return errNoRoom
	case err != nil && isTimeout(err):
		return errBodyTooSlow
	case err != nil || !f.chunked && int64(len(data)) < f.length:
		return errEnded
	}
	q.Body = data
	if f.chunked {
		return c.trailers(b.header)
	}
	return nil
}

// trailers reads and drops what follows the last chunk.
func (c *conn) trailers(limit int) error {
	for size := 0; size <= limit; {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return errEnded
		}
		if bytes.Equal(line, lineEnd) {
			return nil
		}
		size += len(line)
	}
	return requestError{status: http.StatusRequestHeaderFieldsTooLarge, reason: "trailers too large"}
}

// reject answers a request that could not be read, and ends the connection.
func (c *conn) reject(id string, err error) {
	var b requestError
	if !errors.As(err, &b) {
		return
	}
	c.s.cfg.Log.WithFields(log.Fields{log.FieldRequest: id, "status": b.status, log.FieldReason: b.reason}).Info("request_rejected")
	text := fmt.Sprintf("{\"error\":%q}\n", b.reason)
	retry := ""
	if b.retryAfter > 0 {
		retry = "Retry-After: " + formatSeconds(b.retryAfter) + "\r\n"
	}
	_, _ = fmt.Fprintf(c.writer, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		b.status, http.StatusText(b.status), len(text), retry, text)
	if c.writer.Flush() != nil {
		return
	}
	if _, err := c.out.finish(writeTimeout); err == nil {
		c.closeGently()
	}
}
