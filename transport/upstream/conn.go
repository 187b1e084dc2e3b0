// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/httphead"
)

const readBuffer = 4 << 10

// conn is one connection to an endpoint. It serves one request at a time.
type conn struct {
	client *Client
	key    poolKey
	raw    net.Conn
	reader *bufio.Reader
	once   sync.Once
	// retired is true once the connection is closed; the client's mutex guards it.
	retired bool
	// idleFor is how long the connection may be idle and still be reused.
	idleFor time.Duration
	// watched is closed when the watch over the idle connection has ended. clean is its
	// result: true if the peer neither sent bytes nor ended the connection.
	watched   chan struct{}
	clean     bool
	idleSince time.Time
	// reused is true if the connection has served a request before.
	reused bool
	// via is the box through which the connection goes; empty if it is direct.
	via string
	// pool is the pool of a direct connection; heardAt is when the endpoint last sent anything over
	// this connection, in nanoseconds since 1970.
	pool    *pool
	heardAt atomic.Int64
	// answers checks the heads of the answers that reader reads.
	answers *httphead.Reader
}

// expectAnswer starts the check of the next answer, of which the reader may have read a part already.
func (k *conn) expectAnswer() {
	unread, _ := k.reader.Peek(k.reader.Buffered())
	k.answers.Expect(unread)
	k.reader.Reset(k.answers)
}

func newConn(c *Client, key poolKey, raw net.Conn, via string) *conn {
	k := &conn{client: c, key: key, raw: raw, idleFor: shortIdle, via: via}
	if via == "" {
		c.mutex.Lock()
		k.pool = c.pools[key]
		c.mutex.Unlock()
	}
	k.answers = httphead.NewReader(heardReader{k}, adapter.MaxAnswerHead)
	k.reader = bufio.NewReaderSize(k.answers, readBuffer)
	return k
}

// heardReader reads from a connection and notes when the endpoint sent something.
type heardReader struct{ k *conn }

// Read reads from the connection.
func (r heardReader) Read(p []byte) (int, error) {
	n, err := r.k.raw.Read(p)
	if n > 0 && r.k.pool != nil {
		now := time.Now().UnixNano()
		r.k.heardAt.Store(now)
		r.k.pool.heardAt.Store(now)
	}
	return n, err
}

// retire closes the connection and removes it from its pool's count.
func (k *conn) retire() {
	k.once.Do(func() {
		_ = k.raw.Close()
		k.client.retired(k)
	})
}

// startIdle starts the watch over a connection that becomes idle. If bytes arrive or the peer
// closes it meanwhile, the connection isn't reused, since such bytes belong to no request.
func (k *conn) startIdle() {
	k.idleSince = time.Now()
	k.watched = make(chan struct{})
	_ = k.raw.SetReadDeadline(k.idleSince.Add(k.idleFor))
	go k.watch(k.watched, k.idleSince.Add(k.idleFor))
}

// watch ends when bytes arrive, the peer closes the connection, the idle time is over or wake
// is called. Once watched is closed the connection may be in use again, so it is only closed
// if it is still in the pool.
func (k *conn) watch(watched chan struct{}, until time.Time) {
	_, err := k.reader.Peek(1)
	clean := errors.Is(err, os.ErrDeadlineExceeded)
	unfit := !clean || !time.Now().Before(until)
	k.clean = clean
	close(watched)
	if unfit && k.client.drop(k) {
		k.retire()
	}
}

// wake ends the watch and reports whether the connection may be reused.
func (k *conn) wake() bool {
	_ = k.raw.SetReadDeadline(time.Unix(1, 0))
	<-k.watched
	k.reused = true
	if !k.clean || k.reader.Buffered() > 0 || time.Since(k.idleSince) >= k.idleFor {
		return false
	}
	return k.raw.SetDeadline(time.Time{}) == nil
}

func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// cutPrefixFold is a case-insensitive strings.CutPrefix.
func cutPrefixFold(s, prefix string) (string, bool) {
	if len(s) < len(prefix) || !strings.EqualFold(s[:len(prefix)], prefix) {
		return s, false
	}
	return s[len(prefix):], true
}
