// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayhttp

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/coordination/relay"
)

const (
	// unreadShare is how much of an answer may be queued for one caller before the
	// router stops reading from the endpoint, in bytes: a few hundred events of a model.
	unreadShare = 64 << 10
	// outletPiece is how much a caller has to read within writeTimeout while its
	// endpoint is blocked on it, in bytes.
	outletPiece = 8 << 10
)

// outlet writes to one caller without blocking on one that reads slowly. Bytes that the
// connection does not accept at once are queued, and a goroutine writes them as the caller
// reads, so that an endpoint that has finished its answer can serve other requests
// meanwhile. A write blocks once the caller's share or the box's budget is used up.
type outlet struct {
	raw    net.Conn
	direct syscall.RawConn
	budget *held.Budget
	// pieceTimeout is the write timeout of one piece.
	pieceTimeout time.Duration

	mutex   sync.Mutex
	changed sync.Cond
	// queue holds what the caller has not read yet, size is its length in bytes.
	queue []chunk
	size  int
	hold  *held.Hold
	// request is the ID of the request being answered.
	request string
	// writing is true while the drain goroutine runs, waiting while a Write is blocked on it.
	writing, waiting bool
	err              error
}

// chunk is a queued part of an answer: the bytes not written yet and its original size.
type chunk struct {
	rest []byte
	size int
}

func newOutlet(raw net.Conn, budget *held.Budget) *outlet {
	o := &outlet{raw: raw, budget: budget, pieceTimeout: writeTimeout}
	o.changed.L = &o.mutex
	if c, ok := raw.(syscall.Conn); ok {
		if direct, err := c.SyscallConn(); err == nil {
			o.direct = direct
		}
	}
	return o
}

// begin sets the ID of the request that is answered next.
func (o *outlet) begin(request string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.request = request
}

// Write writes p to the connection or queues it. It blocks only if it can do neither.
func (o *outlet) Write(p []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	written := 0
	if o.err == nil && !o.writing {
		written, o.err = o.writeNow(p)
	}
	for o.err == nil && written < len(p) {
		written += o.enqueue(p[written:])
	}
	return written, o.err
}

// writeNow writes as much of p as the socket accepts without blocking.
func (o *outlet) writeNow(p []byte) (int, error) {
	if o.direct == nil {
		return 0, nil
	}
	written := 0
	var failed error
	err := o.direct.Write(func(fd uintptr) bool {
		written, failed = unix.Write(int(fd), p)
		return true
	})
	if err != nil {
		return 0, err
	}
	if errors.Is(failed, unix.EAGAIN) || errors.Is(failed, unix.EINTR) {
		return 0, nil
	}
	return max(written, 0), failed
}

// enqueue queues as much of p as the caller's share and the budget allow and returns how
// many bytes it handled. Without capacity it waits for the drain goroutine, or writes a
// piece itself if none runs. The mutex is held.
func (o *outlet) enqueue(p []byte) int {
	n := len(p)
	if o.size > 0 {
		n = min(n, unreadShare-o.size)
	}
	if n > 0 && o.reserve(n) {
		o.queue = append(o.queue, chunk{rest: bytes.Clone(p[:n]), size: n})
		o.size += n
		if !o.writing {
			o.writing = true
			go o.drain()
		}
		return n
	}
	if !o.writing {
		// The budget is exhausted: write synchronously, so that the endpoint is read
		// only as fast as the caller reads.
		o.hold.Close()
		o.hold = nil
		written, err := o.writePiece(p[:min(len(p), outletPiece)], true)
		o.err = err
		return written
	}
	o.waiting = true
	o.changed.Wait()
	o.waiting = false
	return 0
}

// reserve reserves n bytes of the box's budget and reports whether they were available.
func (o *outlet) reserve(n int) bool {
	if o.hold == nil {
		o.hold = o.budget.Open(held.Unread, o.request, o.evict)
	}
	return o.hold.TryTake(n)
}

// drain writes the queue as the caller reads, until it is empty or a write fails.
func (o *outlet) drain() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for len(o.queue) > 0 && o.err == nil {
		rest := o.queue[0].rest
		strict := o.waiting
		o.mutex.Unlock()
		n, err := o.writePiece(rest[:min(len(rest), outletPiece)], strict)
		o.mutex.Lock()
		o.dequeue(n)
		if o.err == nil {
			o.err = err
		}
		o.changed.Broadcast()
	}
	o.hold.Close()
	o.hold, o.queue, o.writing = nil, nil, false
	o.changed.Broadcast()
}

// dequeue removes n written bytes from the queue. The mutex is held.
func (o *outlet) dequeue(n int) {
	first := &o.queue[0]
	first.rest = first.rest[n:]
	o.size -= n
	o.hold.Moved(n)
	if len(first.rest) == 0 {
		o.hold.Give(first.size)
		o.queue = o.queue[1:]
	}
}

// writePiece writes one piece within the write timeout and returns relay.ErrSlowCaller if
// that expires. A strict piece has to be written whole, since an endpoint is blocked on it;
// for any other, partial progress is enough.
func (o *outlet) writePiece(piece []byte, strict bool) (int, error) {
	_ = o.raw.SetWriteDeadline(time.Now().Add(o.pieceTimeout))
	n, err := o.raw.Write(piece)
	_ = o.raw.SetWriteDeadline(time.Time{})
	if err != nil && isTimeout(err) {
		err = relay.ErrSlowCaller
		if n > 0 && !strict {
			err = nil
		}
	}
	return n, err
}

// evict evicts the answer: it fails the connection of a caller whose unread bytes are
// needed for others.
func (o *outlet) evict() { o.fail(relay.ErrSlowCaller) }

// fail records the first error and closes the connection.
func (o *outlet) fail(err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.err == nil {
		o.err = err
	}
	_ = o.raw.Close()
	o.changed.Broadcast()
}

// unread returns how many bytes are queued for the caller.
func (o *outlet) unread() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.size
}

// finish waits until the queue is written, but at most for bound, after which the connection
// fails with relay.ErrSlowCaller. It returns how many bytes were left unwritten.
func (o *outlet) finish(bound time.Duration) (left int, err error) {
	late := time.AfterFunc(bound, func() { o.fail(relay.ErrSlowCaller) })
	defer late.Stop()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for o.writing {
		o.changed.Wait()
	}
	return o.size, o.err
}
