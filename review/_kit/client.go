// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const host = "desk.example"

// answer is what a client got.
type answer struct {
	status    int
	signature string
	body      string
	// err is why no whole answer came.
	err error
	at  time.Time
	// tail is the last of what came over the connection.
	tail string
}

// String describes the answer.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no whole answer: %v (status %d, %d bytes)", a.err, a.status, len(a.body))
	}
	return fmt.Sprintf("status %d, %d bytes, signature %q", a.status, len(a.body), a.signature)
}

// client is one client with a connection that it keeps.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	// got is the last of what came over the connection.
	got []byte
}

const tailSize = 300

// Read reads from the connection and keeps the last of it.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	c.got = append(c.got, p[:n]...)
	c.got = append([]byte(nil), c.got[max(len(c.got)-tailSize, 0):]...)
	return n, err
}

// connect opens a connection to a box.
func connect(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	out := &client{conn: c}
	out.reader = bufio.NewReader(out)
	return out, nil
}

// head is the head of a request.
func head(method, target, id string, body, deadline int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		method, target, host, names.RequestID, id, names.Deadline, deadline, body)
}

// upload sends a request whose body goes out in equal pieces over a time.
func (c *client) upload(method, target, id string, body, deadline int, over time.Duration, pieces int) error {
	if _, err := io.WriteString(c.conn, head(method, target, id, body, deadline)); err != nil {
		return err
	}
	text := strings.Repeat("b", body)
	for i := range pieces {
		if pieces > 1 {
			time.Sleep(over / time.Duration(pieces))
		}
		if _, err := io.WriteString(c.conn, text[i*body/pieces:(i+1)*body/pieces]); err != nil {
			return err
		}
	}
	return nil
}

// read reads one answer.
func (c *client) read(method string, bound time.Duration) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(bound))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, signature: resp.Header.Get(names.Signature), body: string(text), err: err, at: time.Now(), tail: string(c.got)}
}

// close closes the connection.
func (c *client) close() { _ = c.conn.Close() }
