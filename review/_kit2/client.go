// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is one attempt of a client.
type attempt struct {
	id, method, path, body string
	deadline               time.Duration
	header                 []string
}

// answer is what a client got for an attempt. err is why there is no whole answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	// raw is all that came on the connection.
	raw []byte
}

// send makes an attempt on a new connection and reads its answer to the end.
func (s *site) send(address string, a attempt) (out answer) {
	defer func() {
		s.line("client %s: answer %d, signature %q, %d bytes, error %v", a.id, out.status, out.header.Get(names.Signature), len(out.body), out.err)
	}()
	c, err := dial(address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	return s.sendOn(c, a)
}

// dial opens a connection; a new one is given a second to come up.
func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }

// sendOn makes an attempt on a connection and records it.
func (s *site) sendOn(c net.Conn, a attempt) (out answer) {
	s.line("client %s sends %s %s to %s", a.id, a.method, a.path, c.RemoteAddr())
	return s.exchange(c, a)
}

// exchange makes an attempt on a connection.
func (s *site) exchange(c net.Conn, a attempt) (out answer) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", a.method, a.path, host, names.RequestID, a.id, names.Deadline, a.deadline.Milliseconds())
	for _, h := range a.header {
		b.WriteString(h + "\r\n")
	}
	if a.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n" + a.body)
	_ = c.SetDeadline(time.Now().Add(a.deadline + time.Second))
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err}
	}
	var raw bytes.Buffer
	defer func() { out.raw = raw.Bytes() }()
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &raw)), &http.Request{Method: a.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
