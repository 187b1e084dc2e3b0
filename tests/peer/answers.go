// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// RawAnswer is an answer as it is written to a connection.
type RawAnswer struct {
	// Interim is what precedes the answer, such as interim answers.
	Interim string
	// Status is the status line; empty means "HTTP/1.1 200 OK".
	Status string
	// Fields are lines of the head.
	Fields []string
	// Framed reports that the fields or the end of the connection frame the body; otherwise a Content-Length is
	// added.
	Framed bool
	// Body is the body as it is written; empty means RawBody.
	Body string
}

// RawBody is the body of a RawAnswer.
const RawBody = "a whole answer"

// rawChunks is RawBody in chunks.
const rawChunks = "e\r\n" + RawBody + "\r\n0\r\n\r\n"

// Text returns the answer with further fields.
func (a RawAnswer) Text(fields ...string) string {
	status, body := a.Status, a.Body
	if status == "" {
		status = "HTTP/1.1 200 OK"
	}
	if body == "" {
		body = RawBody
	}
	lines := append([]string{status}, a.Fields...)
	lines = append(lines, fields...)
	if !a.Framed {
		lines = append(lines, "Content-Length: 14")
	}
	return a.Interim + strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func withField(line string) RawAnswer    { return RawAnswer{Fields: []string{line}} }
func withStatus(status string) RawAnswer { return RawAnswer{Status: status} }

// MalformedAnswers returns, by what is wrong with them, answers whose heads no reader may accept.
func MalformedAnswers() map[string]RawAnswer {
	return map[string]RawAnswer{
		"blank in a name":                         withField("X Foo: b"),
		"blank after a name":                      withField("X-Foo : b"),
		"tab in a name":                           withField("X\tFoo: b"),
		"tab after a name":                        withField("X-Foo\t: b"),
		"control byte in a name":                  withField("X\x01Foo: b"),
		"zero byte in a name":                     withField("X\x00Foo: b"),
		"delete byte in a name":                   withField("X\x7fFoo: b"),
		"carriage return in a name":               withField("X\rFoo: b"),
		"bracket in a name":                       withField("X(Foo: b"),
		"byte over 0x7f in a name":                withField("X\xe9Foo: b"),
		"empty name":                              withField(": b"),
		"line without a colon":                    withField("X-Foo"),
		"blank before the first name":             withField(" X-Foo: b"),
		"blank after Content-Length":              {Fields: []string{"Content-Length : 14"}, Framed: true},
		"blank after Transfer-Encoding":           {Fields: []string{"Transfer-Encoding : chunked"}, Framed: true, Body: rawChunks},
		"blank after Transfer-Encoding, a length": {Fields: []string{"Transfer-Encoding : chunked"}},

		"control byte in a value":           withField("X-Foo: a\x01b"),
		"zero byte in a value":              withField("X-Foo: a\x00b"),
		"carriage return in a value":        withField("X-Foo: a\rb"),
		"control byte in a continued value": {Fields: []string{"X-Foo: a", " b\x01"}},

		"status 000":            withStatus("HTTP/1.1 000 OK"),
		"status 099":            withStatus("HTTP/1.1 099 OK"),
		"status 600":            withStatus("HTTP/1.1 600 OK"),
		"status 999":            withStatus("HTTP/1.1 999 OK"),
		"status +20":            withStatus("HTTP/1.1 +20 OK"),
		"status -00":            withStatus("HTTP/1.1 -00 OK"),
		"status of two digits":  withStatus("HTTP/1.1 20 OK"),
		"status of four digits": withStatus("HTTP/1.1 2000 OK"),
		"status of letters":     withStatus("HTTP/1.1 abc OK"),
		"no status":             withStatus("HTTP/1.1"),
		"switch of protocols":   {Status: "HTTP/1.1 101 Switching Protocols", Fields: []string{"Connection: upgrade", "Upgrade: other"}},

		"version 0.9":               withStatus("HTTP/0.9 200 OK"),
		"version 2.0":               withStatus("HTTP/2.0 200 OK"),
		"version without a digit":   withStatus("HTTP/1 200 OK"),
		"version of another name":   withStatus("ICY/1.1 200 OK"),
		"version in small letters":  withStatus("http/1.1 200 OK"),
		"blank before the version":  withStatus(" HTTP/1.1 200 OK"),
		"control byte in a reason":  withStatus("HTTP/1.1 200 O\x01K"),
		"zero byte in a reason":     withStatus("HTTP/1.1 200 O\x00K"),
		"line that is no status":    withStatus("no answer at all"),
		"empty line at the start":   {Interim: "\r\n"},
		"line feed at the start":    {Interim: "\n"},
		"bytes before the answer":   {Interim: "\x16\x03\x01"},
		"rest of another body":      {Interim: "rest\r\n"},
		"chunks in version 1.0":     {Status: "HTTP/1.0 200 OK", Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: rawChunks},
		"chunks, length, in 1.0":    {Status: "HTTP/1.0 200 OK", Fields: []string{"Transfer-Encoding: chunked"}, Body: rawChunks},
		"length that is no number":  {Fields: []string{"Content-Length: x"}, Framed: true},
		"length with a sign":        {Fields: []string{"Content-Length: +14"}, Framed: true},
		"two lengths":               {Fields: []string{"Content-Length: 1"}},
		"encoding not known":        {Fields: []string{"Transfer-Encoding: gzip"}, Framed: true},
		"two encodings":             {Fields: []string{"Transfer-Encoding: chunked", "Transfer-Encoding: chunked"}, Framed: true, Body: rawChunks},
		"interim answer, name":      {Interim: "HTTP/1.1 103 Early Hints\r\nX Foo: b\r\n\r\n"},
		"interim answer, version":   {Interim: "HTTP/2.0 100 Continue\r\n\r\n"},
		"interim answer, status":    {Interim: "HTTP/1.1 000 Continue\r\n\r\n"},
		"after an interim, a name":  {Interim: "HTTP/1.1 100 Continue\r\n\r\n", Fields: []string{"X Foo: b"}},
		"after an interim, status":  {Interim: "HTTP/1.1 100 Continue\r\n\r\n", Status: "HTTP/1.1 000 OK"},
		"failure, blank in a name":  {Status: "HTTP/1.1 500 Failed", Fields: []string{"X Foo: b"}},
		"rejected, blank in a name": {Status: "HTTP/1.1 503 Busy", Fields: []string{"X Foo: b"}},
	}
}

// MendableAnswers returns, by what is odd about them, answers that a proxy may mend and pass on (RFC 9112). Their
// readers get RawBody.
func MendableAnswers() map[string]RawAnswer {
	return map[string]RawAnswer{
		"plain":                        {},
		"continued value":              {Fields: []string{"X-Foo: a", " b"}},
		"value continued with a tab":   {Fields: []string{"X-Foo: a", "\tb"}},
		"no reason":                    withStatus("HTTP/1.1 200 "),
		"no reason, no blank":          withStatus("HTTP/1.1 200"),
		"two blanks before the status": withStatus("HTTP/1.1  200 OK"),
		"byte over 0x7f in a reason":   withStatus("HTTP/1.1 200 \xe9"),
		"blanks around a value":        withField("X-Foo:  \tb \t"),
		"no blank before a value":      withField("X-Foo:b"),
		"empty value":                  withField("X-Foo:"),
		"tab in a value":               withField("X-Foo: a\tb"),
		"byte over 0x7f in a value":    withField("X-Foo: a\xe9b"),
		"all bytes of tokens":          withField("!#$%&'*+-.^_`|~09azAZ: b"),
		"chunks":                       {Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: rawChunks},
		"chunks beside a length":       {Fields: []string{"Transfer-Encoding: chunked"}, Body: rawChunks},
		"the same length twice":        withField("Content-Length: 14"),
		"ends with the connection":     {Framed: true},
		"version 1.0, a length":        withStatus("HTTP/1.0 200 OK"),
		"version 1.0, no length":       {Status: "HTTP/1.0 200 OK", Framed: true},
		"later minor version":          withStatus("HTTP/1.2 200 OK"),
		"unknown status":               withStatus("HTTP/1.1 299 Fine"),
		"interim answers":              {Interim: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		"line feeds alone":             {Interim: "HTTP/1.1 100 Continue\n\n"},
		"dropped trailer":              {Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: "e\r\n" + RawBody + "\r\n0\r\nX-Foo: b\r\n\r\n"},
		"dropped trailer, blank":       {Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: "e\r\n" + RawBody + "\r\n0\r\nX Foo: b\r\n\r\n"},
	}
}

// Scripted is an endpoint that sends the same bytes to every request.
type Scripted struct {
	Address string
	// Requests delivers each request that was read, whose body is dropped.
	Requests chan *http.Request
	// ended delivers, for each connection, how many bytes came after its first request.
	ended chan int64
}

// endTimeout limits the wait for the end of a connection.
const endTimeout = 20 * time.Second

// AwaitEnd waits until the peer has ended a connection, and returns how many bytes came after its first request.
func (s *Scripted) AwaitEnd(t testing.TB) int64 {
	t.Helper()
	select {
	case n := <-s.ended:
		return n
	case <-time.After(endTimeout):
		t.Fatal("the connection was not closed")
		return 0
	}
}

// maxScripted bounds the requests and connections of a Scripted endpoint that a test does not take.
const maxScripted = 256

// Script starts an endpoint that answers each connection's first request with the text of answer, and ends its
// side after that if closes is set. It then reads on until its peer ends the connection.
func Script(t testing.TB, closes bool, answer func(r *http.Request) string) *Scripted {
	t.Helper()
	s := &Scripted{Requests: make(chan *http.Request, maxScripted), ended: make(chan int64, maxScripted)}
	s.Address = Serve(t, func(c *net.TCPConn) {
		reader := bufio.NewReader(c)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.Requests <- r
		_, _ = io.WriteString(c, answer(r))
		if closes {
			_ = c.CloseWrite()
		}
		n, _ := io.Copy(io.Discard, reader)
		s.ended <- n
	})
	return s
}

// MalformedChunks returns, by what is wrong with them, bodies in chunks that no reader may take for whole.
func MalformedChunks() map[string]string {
	const chunk = "e\r\n" + RawBody + "\r\n"
	return map[string]string{
		"no size":                        "\r\n" + RawBody + "\r\n0\r\n\r\n",
		"size that is no number":         "x\r\n" + RawBody + "\r\n0\r\n\r\n",
		"size with a sign":               "+e\r\n" + RawBody + "\r\n0\r\n\r\n",
		"size with a prefix":             "0xe\r\n" + RawBody + "\r\n0\r\n\r\n",
		"size that is too large":         "fffffffffffffffff\r\n" + RawBody + "\r\n0\r\n\r\n",
		"blank before the size":          " e\r\n" + RawBody + "\r\n0\r\n\r\n",
		"size below the bytes":           "5\r\n" + RawBody + "\r\n0\r\n\r\n",
		"size above the bytes":           "f\r\n" + RawBody + "\r\n0\r\n\r\n",
		"line feed alone after the size": "e\n" + RawBody + "\r\n0\r\n\r\n",
		"carriage return in the size":    "e\r;x\r\n" + RawBody + "\r\n0\r\n\r\n",
		"zero byte after the size":       "e\x00\r\n" + RawBody + "\r\n0\r\n\r\n",
		"no end":                         chunk,
		"no end of the last chunk":       chunk + "0\r\n",
		"trailer without a colon":        chunk + "0\r\nX-Foo\r\n\r\n",
		"trailer, control byte in name":  chunk + "0\r\nX\x01Foo: b\r\n\r\n",
		"trailer, control byte in value": chunk + "0\r\nX-Foo: \x01\r\n\r\n",
		"trailer without an end":         chunk + "0\r\nX-Foo: b\r\n",
	}
}
