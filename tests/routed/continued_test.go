// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform"
	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/tests/peer"
)

const (
	// firstEvents is how many events of a stream arrive before its endpoint breaks off, and allEvents how many
	// it has.
	firstEvents = 2
	allEvents   = 4
	// secondSignature marks the endpoint that goes on with a stream.
	secondSignature = "second"
)

// eventStream is the field by which an answer is a stream.
const eventStream = "Content-Type: text/event-stream"

// restOfStream is what an endpoint sends that goes on with a stream.
var restOfStream = strings.TrimPrefix(streamBody(allEvents), streamBody(firstEvents))

// asChunks returns a text in one chunk, with the last one after it.
func asChunks(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n0\r\n\r\n"
}

// soundRest is an answer that goes on with a stream.
func soundRest() peer.RawAnswer {
	return peer.RawAnswer{Fields: []string{eventStream, "Transfer-Encoding: chunked"}, Framed: true, Body: asChunks(restOfStream)}
}

// continuation is what an endpoint answers that is asked to go on with a stream.
type continuation struct {
	answer peer.RawAnswer
	// unsigned leaves out the signature, and cut ends the answer within its head.
	unsigned, cut bool
	// noBody leaves out the body.
	noBody bool
	// notRun reports that the endpoint proves that it has not run the request, so that it is no attempt.
	notRun bool
	// goesOn reports that the stream goes on with it, and body is all that the caller then gets.
	goesOn bool
	body   string
}

// continuations are the answers of endpoints that are asked to go on with a stream.
func continuations() map[string]continuation {
	withHead := func(status string, fields ...string) peer.RawAnswer {
		return peer.RawAnswer{Status: "HTTP/1.1 " + status, Fields: fields}
	}
	rest := func(fields ...string) peer.RawAnswer {
		return peer.RawAnswer{Fields: append(fields, "Transfer-Encoding: chunked"), Framed: true, Body: asChunks(restOfStream)}
	}
	empty := func(status string, fields ...string) peer.RawAnswer {
		return peer.RawAnswer{Status: "HTTP/1.1 " + status, Fields: append(fields, "Content-Length: 0"), Framed: true, Body: "\r\n"}
	}
	notRun := platform.Names().NotRun + ": 1"
	out := map[string]continuation{
		"the rest in chunks":         {answer: soundRest(), goesOn: true, body: streamBody(allEvents)},
		"the rest, a charset":        {answer: rest(eventStream + "; charset=utf-8"), goesOn: true, body: streamBody(allEvents)},
		"the rest with a length":     {answer: peer.RawAnswer{Fields: []string{eventStream, fmt.Sprintf("Content-Length: %d", len(restOfStream))}, Framed: true, Body: restOfStream}, goesOn: true, body: streamBody(allEvents)},
		"the rest without a length":  {answer: peer.RawAnswer{Fields: []string{eventStream}, Framed: true, Body: restOfStream}, goesOn: true, body: streamBody(allEvents)},
		"nothing more, whole":        {answer: empty("200 OK", eventStream), goesOn: true, body: streamBody(firstEvents)},
		"nothing, no length":         {answer: peer.RawAnswer{Fields: []string{eventStream}, Framed: true}, noBody: true},
		"of another type":            {answer: withHead("200 OK", "Content-Type: application/json")},
		"events of another type":     {answer: rest("Content-Type: application/json")},
		"without a type":             {answer: rest(), goesOn: true, body: streamBody(allEvents)},
		"without content":            {answer: peer.RawAnswer{Status: "HTTP/1.1 204 No Content", Framed: true}, noBody: true},
		"a part":                     {answer: peer.RawAnswer{Status: "HTTP/1.1 206 Partial Content", Fields: []string{eventStream, "Transfer-Encoding: chunked"}, Framed: true, Body: asChunks(restOfStream)}},
		"accepted, empty":            {answer: empty("202 Accepted", eventStream)},
		"elsewhere":                  {answer: empty("307 Temporary Redirect", "Location: /x")},
		"not modified":               {answer: peer.RawAnswer{Status: "HTTP/1.1 304 Not Modified", Framed: true}, noBody: true},
		"busy, not run":              {answer: withHead("503 Busy", notRun), notRun: true},
		"too many requests, not run": {answer: withHead("429 Too Many Requests", notRun), notRun: true},
		"success, not run":           {answer: rest(eventStream, notRun), notRun: true},
		"another endpoint":           {answer: withHead("421 Misdirected Request"), notRun: true},
		"unsigned":                   {answer: soundRest(), unsigned: true},
		"encoded":                    {answer: rest(eventStream, "Content-Encoding: gzip")},
		"cut in its head":            {cut: true},
		"cut in an event":            {answer: peer.RawAnswer{Fields: []string{eventStream, "Content-Length: 100"}, Framed: true, Body: "id: 3\nda"}},
		"too long to be read whole":  {answer: peer.RawAnswer{Status: "HTTP/1.1 404 Not Found", Fields: []string{fmt.Sprintf("Content-Length: %d", len(unbufferedBody))}, Framed: true, Body: unbufferedBody}},
		"failure without a length":   {answer: peer.RawAnswer{Status: "HTTP/1.1 500 Failed", Framed: true}},
		"failure in chunks":          {answer: peer.RawAnswer{Status: "HTTP/1.1 404 Not Found", Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: asChunks("no such stream")}},
		"failure cut in its body":    {answer: peer.RawAnswer{Status: "HTTP/1.1 404 Not Found", Fields: []string{"Content-Length: 100"}, Framed: true}},
		"failure with the rest":      {answer: peer.RawAnswer{Status: "HTTP/1.1 404 Not Found", Fields: []string{eventStream, "Transfer-Encoding: chunked"}, Framed: true, Body: asChunks(restOfStream)}},
	}
	for _, status := range []int{400, 401, 403, 404, 408, 409, 410, 416, 429, 500, 502, 503, 504} {
		out[fmt.Sprintf("status %d", status)] = continuation{answer: withHead(fmt.Sprintf("%d Answered", status))}
	}
	return out
}

// text returns the continuation as it is written in answer to a request with an ID.
func (c continuation) text(id string) string {
	names := platform.Names()
	if c.cut {
		return "HTTP/1.1 200 OK\r\n" + names.RequestID + ": " + id
	}
	fields := []string{names.RequestID + ": " + id}
	if !c.unsigned {
		fields = append(fields, names.Signature+": "+secondSignature)
	}
	if c.noBody {
		return strings.TrimSuffix(c.answer.Text(fields...), peer.RawBody)
	}
	return c.answer.Text(fields...)
}

// continuingSite returns a site with one box and endpoints that break off each new stream after its first
// events. The first one that is asked to go on with a stream answers with the continuation, and any other
// sends the rest.
func continuingSite(t *testing.T, c continuation) (*site, *runningBox) {
	t.Helper()
	names := platform.Names()
	var asked atomic.Int32
	s := newSite(t, 0)
	for i := range 3 {
		e := peer.Script(t, true, func(r *http.Request) string {
			id := r.Header.Get(names.RequestID)
			if r.Header.Get("Last-Event-Id") == "" {
				begin := peer.RawAnswer{
					Fields: []string{eventStream, "Transfer-Encoding: chunked"}, Framed: true,
					Body: strings.TrimSuffix(asChunks(streamBody(firstEvents)), "0\r\n\r\n"),
				}
				return begin.Text(names.RequestID+": "+id, names.Signature+": first")
			}
			if asked.Add(1) == 1 {
				return c.text(id)
			}
			return continuation{answer: soundRest()}.text(id)
		})
		s.store.Put("servers", fmt.Sprintf("e%d", i), standin.Entry(map[string]any{"service": modelService, "address": e.Address, "zone": "zone-a", "slots": 4, "stage": "decode"}))
	}
	b := s.start("box-1")
	s.eventually("the box is ready", b.Ready)
	return s, b
}

// rawStream is what a caller of a stream received.
type rawStream struct {
	// text is all that arrived, and reset reports that the connection ended by a reset.
	text  string
	reset bool
}

// readStream requests a stream over a version of HTTP and reads until the connection ends.
func (s *site) readStream(b *runningBox, path, version string) rawStream {
	s.t.Helper()
	c, err := net.Dial("tcp", b.callerAddr)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const form = "GET %s HTTP/%s\r\nHost: %s\r\nX-Request-Id: request-%d\r\nX-Token-Usage: 100,20\r\nConnection: close\r\n\r\n"
	if _, err := fmt.Fprintf(c, form, path, version, host, ids.Add(1)); err != nil {
		s.t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(patience))
	text, err := io.ReadAll(c)
	return rawStream{text: string(text), reset: err != nil}
}

// Guards against the answer of a second endpoint, with its head, inside a stream that another one began.
func TestStreamHoldsTheHeadOfASecondEndpoint(t *testing.T) {
	routes := map[string]struct {
		path string
		// retried reports that a third endpoint may be asked.
		retried bool
	}{
		"two attempts":   {path: "/resumable/x"},
		"three attempts": {path: "/retried/x", retried: true},
	}
	for attempts, route := range routes {
		for name, c := range continuations() {
			for _, version := range []string{"1.1", "1.0"} {
				t.Run(fmt.Sprintf("%s, %s, HTTP %s", name, attempts, version), func(t *testing.T) {
					convey.Convey("The stream goes on, or ends so that it does not look whole", t, func() {
						s, b := continuingSite(t, c)
						got := s.readStream(b, route.path, version)
						head, body, _ := strings.Cut(got.text, "\r\n\r\n")
						convey.So(head, convey.ShouldStartWith, "HTTP/1.1 200 OK\r\n")
						convey.So(head, convey.ShouldContainSubstring, ": first")
						convey.So(got.text, convey.ShouldNotContainSubstring, secondSignature)
						convey.So(strings.Count(got.text, "HTTP/1.1"), convey.ShouldEqual, 1)
						whole := version == "1.0" && !got.reset
						if version == "1.1" {
							body, whole = readChunks(body)
						}
						convey.So(whole, convey.ShouldEqual, c.goesOn || c.notRun || route.retried)
						switch {
						case c.goesOn:
							convey.So(body, convey.ShouldEqual, c.body)
						case whole:
							convey.So(body, convey.ShouldEqual, streamBody(allEvents))
						default:
							convey.So(strings.HasPrefix(streamBody(firstEvents), body), convey.ShouldBeTrue)
						}
					})
				})
			}
		}
	}
}

// readChunks decodes the chunks at the start of a text and reports whether the last one is among them. It
// returns the rest as it is if that is no chunk.
func readChunks(text string) (body string, whole bool) {
	for {
		line, rest, found := strings.Cut(text, "\r\n")
		size, err := strconv.ParseInt(line, 16, 32)
		if !found || err != nil || int64(len(rest)) < size+2 {
			return body + text, false
		}
		if size == 0 {
			return body, rest == "\r\n"
		}
		body, text = body+rest[:size], rest[size+2:]
	}
}
