// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"runridge.example/runridge/protocol/boxwire"
)

// unknownKind is a message kind that this build does not know.
const unknownKind = 250

// laterBuildProxy is a proxy in front of a box that makes its peers look like boxes of a later build: it
// appends a field to each message and sends a message of an unknown kind before each one but the
// first of a connection. A nil laterBuildProxy leaves the box at its own address.
type laterBuildProxy struct {
	t        *testing.T
	listener net.Listener
	mutex    sync.Mutex
	conns    []net.Conn
}

func (s *site) newLaterBuildProxy() *laterBuildProxy {
	if !s.laterBuild {
		return nil
	}
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	return &laterBuildProxy{t: s.t, listener: l}
}

func (w *laterBuildProxy) address() string {
	if w == nil {
		return ""
	}
	return w.listener.Addr().String()
}

// serve forwards connections to a box until the test ends.
func (w *laterBuildProxy) serve(to string) {
	if w == nil {
		return
	}
	var carried sync.WaitGroup
	w.t.Cleanup(func() {
		_ = w.listener.Close()
		w.mutex.Lock()
		for _, c := range w.conns {
			_ = c.Close()
		}
		w.mutex.Unlock()
		carried.Wait()
	})
	carried.Go(func() {
		for {
			in, err := w.listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			w.mutex.Lock()
			w.conns = append(w.conns, in, out)
			w.mutex.Unlock()
			carried.Go(func() { forwardFrames(in, out) })
			carried.Go(func() {
				// The box sends nothing on this connection; only its close is forwarded.
				_, _ = io.Copy(io.Discard, out)
				_ = in.Close()
			})
		}
	})
}

// forwardFrames forwards frames as a later build would send them.
func forwardFrames(in, out net.Conn) {
	defer func() { _ = out.Close() }()
	r := bufio.NewReader(in)
	greeted := false
	for {
		kind, err := r.ReadByte()
		if err != nil {
			return
		}
		length, err := binary.ReadUvarint(r)
		if err != nil {
			return
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		var frame []byte
		if greeted {
			frame = []byte{unknownKind, 1, msgpcode.Nil}
		}
		greeted = true
		body = appendField(body)
		frame = append(binary.AppendUvarint(append(frame, kind), uint64(len(body))), body...)
		if _, err := out.Write(frame); err != nil {
			return
		}
	}
}

// appendField appends a nil field to a message with positional fields and returns any other unchanged.
func appendField(body []byte) []byte {
	if len(body) == 0 || !msgpcode.IsFixedArray(body[0]) && body[0] != msgpcode.Array16 {
		return body
	}
	source := bytes.NewReader(body)
	n, err := msgpack.NewDecoder(source).DecodeArrayLen()
	if err != nil {
		return body
	}
	var out bytes.Buffer
	if err := msgpack.NewEncoder(&out).EncodeArrayLen(n + 1); err != nil {
		return body
	}
	_, _ = io.Copy(&out, source)
	out.WriteByte(msgpcode.Nil)
	return out.Bytes()
}

func TestLaterBuild(t *testing.T) {
	convey.Convey("Boxes serve together with boxes whose messages have fields and kinds of the future", t, func() {
		s := newSite(t, 0, append(plainEndpoints(), modelEndpoints()...)...)
		s.laterBuild = true
		for _, name := range []string{"box-1", "box-2", "box-3"} {
			s.start(name)
		}
		for _, b := range s.boxes {
			s.eventually("the box is ready and knows the others", func() bool { return b.Ready() && b.LiveBoxes() == 3 })
		}
		for _, b := range s.boxes {
			for range 10 {
				convey.So(s.send(b, http.MethodGet, "/stream/a", "", nil).complete, convey.ShouldBeTrue)
				convey.So(s.send(b, http.MethodPost, "/unsafe/a", "body", nil).status, convey.ShouldEqual, http.StatusOK)
			}
		}
		homes := 0
		for _, line := range strings.Split(s.logs.String(), "\n") {
			placed := strings.Contains(line, "msg=attempt_placed") && strings.Contains(line, "alone=false")
			if placed && !strings.Contains(line, "home= ") {
				homes++
			}
		}
		convey.So(homes, convey.ShouldBeGreaterThan, 0)
		for _, b := range s.boxes {
			status := b.Status()
			convey.So(status.Peers, convey.ShouldResemble, map[uint16]int{uint16(boxwire.VersionCurrent): 2})
			convey.So(status.Unknown["250 unknown"], convey.ShouldBeGreaterThan, 0)
			convey.So(len(status.Unknown), convey.ShouldEqual, 1)
		}
		convey.So(s.logs.String(), convey.ShouldNotContainSubstring, "msg=box_hello_bad")
		convey.So(strings.Count(s.logs.String(), "msg=box_message_unknown"), convey.ShouldEqual, 6)
	})
}
