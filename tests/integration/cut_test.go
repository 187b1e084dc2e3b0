// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/tests/peer"
)

// writeAndClose returns a function that sends a text on a connection and closes it.
func writeAndClose(text string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

// Guards against an answer of a plain service that was cut and ends at the caller as a whole one does.
func TestCutAnswerOfPlainServiceLooksWhole(t *testing.T) {
	const (
		longest = 16 << 20
		ok      = "HTTP/1.1 200 OK\r\n"
		part    = "a part of an answer"
	)
	reset := func(text string) func(c *net.TCPConn) {
		return func(c *net.TCPConn) {
			_, _ = io.WriteString(c, text)
			// The box has read the text, and is blocked in the write of a long body.
			time.Sleep(100 * time.Millisecond)
			peer.Reset(c)
		}
	}
	cases := map[string]struct {
		answer func(c *net.TCPConn)
		body   int
		whole  bool
	}{
		"short of its length":               {answer: writeAndClose(ok + "Content-Length: 100\r\n\r\n" + part)},
		"chunks without an end":             {answer: writeAndClose(ok + "Transfer-Encoding: chunked\r\n\r\n13\r\n" + part + "\r\n")},
		"reset, without a length":           {answer: reset(ok + "\r\n" + part)},
		"reset, while a body is sent":       {answer: reset(ok + "\r\n" + part), body: longest},
		"whole, with a length":              {answer: writeAndClose(ok + "Content-Length: 19\r\n\r\n" + part), whole: true},
		"whole, in chunks":                  {answer: writeAndClose(ok + "Transfer-Encoding: chunked\r\n\r\n13\r\n" + part + "\r\n0\r\n\r\n"), whole: true},
		"whole, without a length":           {answer: writeAndClose(ok + "\r\n" + part), whole: true},
		"whole, of a request for the heads": {answer: writeAndClose(ok + "Content-Length: 19\r\n\r\n"), whole: true, body: -1},
	}
	convey.Convey("The caller gets an error unless the answer is whole", t, func() {
		f := startFleet(t, 1)
		for name, c := range cases {
			for _, s := range f.Plain {
				s.TakeOver(c.answer)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			method, want := http.MethodPost, part
			if c.body < 0 {
				method, want = http.MethodHead, ""
			}
			req, err := http.NewRequestWithContext(ctx, method, "http://"+f.Boxes[0].Box.CallerAddr()+"/portal/x", strings.NewReader(strings.Repeat("x", max(c.body, 0))))
			convey.So(err, convey.ShouldBeNil)
			req.Header.Set(callerapi.HeaderAccount, "franquicia")
			resp, err := http.DefaultClient.Do(req)
			whole := err == nil
			if err == nil {
				var got []byte
				got, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				whole = err == nil && resp.StatusCode == http.StatusOK
				if whole {
					convey.So(name+": "+string(got), convey.ShouldEqual, name+": "+want)
				}
			}
			cancel()
			convey.So(map[string]bool{name: whole}, convey.ShouldResemble, map[string]bool{name: c.whole})
		}
		for f.Boxes[0].Box.Active() > 0 {
			time.Sleep(time.Millisecond)
		}
	})
}
