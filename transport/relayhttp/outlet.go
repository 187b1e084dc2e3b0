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
	// unreadShare is what a caller may leave unread before its endpoint is not read
	// on, in bytes: an answer of some hundred events of a model.
	unreadShare = 64 << 10
	// outletPiece is what a caller has to read in writeTimeout while its endpoint
	// waits for it, in bytes.
	outletPiece = 8 << 10
)

// outlet writes to one caller and does not wait for one that reads slowly. What the
// connection does not take at once is held, and a goroutine writes it as the caller reads:
// an endpoint that has ended its answer is free for others meanwhile. Beyond the caller's
// share, or the box's, a write waits.
type outlet struct {
	raw    net.Conn
	direct syscall.RawConn
	budget *held.Budget
	// patience is how long a caller has for a piece.
	patience time.Duration

	mutex   sync.Mutex
	changed sync.Cond
	// queue is what the caller has not read, size its bytes.
	queue []chunk
	size  int
	hold  *held.Hold
	// request is the id of the request that is answered.
	request string
	// writing says that the goroutine runs, waiting that a write waits for it.
	writing, waiting bool
	err              error
}

// chunk is what one write left, and how many bytes it had at first.
type chunk struct {
	rest []byte
	size int
}

func newOutlet(raw net.Conn, budget *held.Budget) *outlet {
	o := &outlet{raw: raw, budget: budget, patience: writeTimeout}
	o.changed.L = &o.mutex
	if c, ok := raw.(syscall.Conn); ok {
		if direct, err := c.SyscallConn(); err == nil {
			o.direct = direct
		}
	}
	return o
}

// begin names the request that is answered next.
func (o *outlet) begin(request string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.request = request
}

// Write passes bytes on, or holds them. It waits only where neither can be done.
func (o *outlet) Write(p []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	written := 0
	if o.err == nil && !o.writing {
		written, o.err = o.writeNow(p)
	}
	for o.err == nil && written < len(p) {
		written += o.takeIn(p[written:])
	}
	return written, o.err
}

// writeNow writes what the connection takes without a wait.
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

// takeIn holds what there is room for, or waits for room. The mutex is held.
func (o *outlet) takeIn(p []byte) int {
	n := len(p)
	if o.size > 0 {
		n = min(n, unreadShare-o.size)
	}
	if n > 0 && o.holds(n) {
		o.queue = append(o.queue, chunk{rest: bytes.Clone(p[:n]), size: n})
		o.size += n
		if !o.writing {
			o.writing = true
			go o.drain()
		}
		return n
	}
	if !o.writing {
		// The box has no room: the caller and its endpoint wait for each other.
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

// holds takes room for so many bytes.
func (o *outlet) holds(n int) bool {
	if o.hold == nil {
		o.hold = o.budget.Open(held.Unread, o.request, o.giveWay)
	}
	return o.hold.TryTake(n)
}

// drain writes what is held, as the caller reads.
func (o *outlet) drain() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for len(o.queue) > 0 && o.err == nil {
		rest := o.queue[0].rest
		strict := o.waiting
		o.mutex.Unlock()
		n, err := o.writePiece(rest[:min(len(rest), outletPiece)], strict)
		o.mutex.Lock()
		o.written(n)
		if o.err == nil {
			o.err = err
		}
		o.changed.Broadcast()
	}
	o.hold.Close()
	o.hold, o.queue, o.writing = nil, nil, false
	o.changed.Broadcast()
}

// written takes bytes that the caller has read off the queue. The mutex is held.
func (o *outlet) written(n int) {
	first := &o.queue[0]
	first.rest = first.rest[n:]
	o.size -= n
	o.hold.Moved(n)
	if len(first.rest) == 0 {
		o.hold.Give(first.size)
		o.queue = o.queue[1:]
	}
}

// writePiece writes one piece within the time that a caller has. A strict one has to be read
// whole, since an endpoint waits; of another one any part will do.
func (o *outlet) writePiece(piece []byte, strict bool) (int, error) {
	_ = o.raw.SetWriteDeadline(time.Now().Add(o.patience))
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

// giveWay ends the answer of a caller who holds what others need.
func (o *outlet) giveWay() { o.fail(relay.ErrSlowCaller) }

// fail ends the connection.
func (o *outlet) fail(err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.err == nil {
		o.err = err
	}
	_ = o.raw.Close()
	o.changed.Broadcast()
}

// unread is how many bytes wait for the caller to read.
func (o *outlet) unread() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.size
}

// finish waits until the caller has all, for at most so long, and says how many bytes it has
// not read.
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
