// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/tests/peer"
)

// scriptedConn is a connection whose peer sends the given bytes and then either stays silent or
// closes it.
type scriptedConn struct {
	net.Conn
	rest   *bytes.Reader
	closes bool
}

func (s *scriptedConn) Read(p []byte) (int, error) {
	n, err := s.rest.Read(p)
	if err == io.EOF && !s.closes {
		return n, os.ErrDeadlineExceeded
	}
	return n, err
}

func (s *scriptedConn) Write(p []byte) (int, error)     { return len(p), nil }
func (s *scriptedConn) Close() error                    { return nil }
func (s *scriptedConn) SetDeadline(time.Time) error     { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// expected reads the same bytes with net/http only. It returns the answer to the request and
// the bytes after it; ok is false if there is no complete answer.
func expected(data []byte, id string) (status int, body, rest []byte, ok bool) {
	names := relayapi.Default()
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return 0, nil, nil, false
		}
		body, err = io.ReadAll(resp.Body)
		if err != nil {
			return 0, nil, nil, false
		}
		if resp.StatusCode >= http.StatusOK && resp.Header.Get(names.RequestID) == id {
			rest, _ = io.ReadAll(reader)
			return resp.StatusCode, body, rest, true
		}
	}
}

const (
	tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	// maxSurplus is how many of the bytes after an answer a failure shows.
	maxSurplus = 100
)

// checkAccepted fails if an answer that was accepted has a status, a name or a value that HTTP does not allow. It
// does not use the parsers under test.
func checkAccepted(t *testing.T, a *relay.Answer) {
	t.Helper()
	if a.Status < 200 || a.Status > 599 {
		t.Fatalf("status %d is accepted", a.Status)
	}
	for _, f := range a.Header {
		if f.Name == "" || strings.Trim(f.Name, tokenBytes) != "" {
			t.Fatalf("name %q is accepted", f.Name)
		}
		for _, b := range []byte(f.Value) {
			if b < ' ' && b != '\t' || b == 0x7f {
				t.Fatalf("value %q is accepted", f.Value)
			}
		}
	}
}

var (
	// http10Chunks matches the head of an answer in HTTP/1.0 in chunks, which has no known end.
	http10Chunks = regexp.MustCompile(`(?is)^HTTP/1\.0 .*\ntransfer-encoding:`)
	emptyLine    = regexp.MustCompile(`\n\r?\n`)
)

// FuzzAnswers checks that an exchange accepts no answer that a plain net/http reader doesn't
// find in the same bytes, that the head of an accepted answer is sound, and that a connection with surplus bytes
// is never reused.
func FuzzAnswers(f *testing.F) {
	const id = "r1"
	for _, seed := range []string{
		text(id, "hello"),
		text(id, "hello") + text(id, "again"),
		text("r0", "late") + text(id, "hello"),
		"HTTP/1.1 100 Continue\r\n\r\n" + text(id, "hello"),
		"HTTP/1.1 200 OK\r\nRunridge-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRunridge-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
		"HTTP/1.1 200 OK\r\nRunridge-Request-Id: r1\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nRunridge-Request-Id: r1\r\nContent-Length: 9\r\n\r\nshort",
		"HTTP/1.0 200 OK\r\nRunridge-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 204 No Content\r\nRunridge-Request-Id: r1\r\n\r\nsurplus",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"no answer at all",
		text("r0", "late") + "HTTP/1.1 200 OK\r\nX Foo: b\r\nRunridge-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok",
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	for _, answers := range []map[string]peer.RawAnswer{peer.MalformedAnswers(), peer.MendableAnswers()} {
		for _, answer := range answers {
			f.Add([]byte(answer.Text("Runridge-Request-Id: "+id)), answer.Framed)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, closes bool) {
		client := New(Config{Names: relayapi.Default()})
		key := poolKey{address: "a", id: "e"}
		client.pools[key] = &pool{open: 1}
		k := newConn(client, key, &scriptedConn{rest: bytes.NewReader(data), closes: closes}, "")
		x := &exchange{client: client, conn: k, call: relay.Call{Method: http.MethodPost, Target: "/", RequestID: id}, names: client.cfg.Names}
		a, err := x.run(context.Background())
		if err != nil {
			return
		}
		checkAccepted(t, a)
		body, err := io.ReadAll(a.Body)
		if err != nil {
			return
		}
		if head := emptyLine.Split(string(data), 2)[0]; http10Chunks.MatchString(head) {
			t.Fatalf("chunks in HTTP/1.0 are accepted: %q", data[:min(len(data), maxSurplus)])
		}
		status, want, rest, ok := expected(data, id)
		if !ok {
			t.Fatalf("status %d with %q is taken for whole", a.Status, body)
		}
		if status != a.Status || !bytes.Equal(body, want) {
			t.Fatalf("status %d with %q, another reader finds %d with %q", a.Status, body, status, want)
		}
		if k.watched != nil && k.wake() && len(rest) > 0 {
			t.Fatalf("the connection is used again with %q left on it", rest)
		}
	})
}
