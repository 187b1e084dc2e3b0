// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/fakes/plain"
	"runridge.example/runridge/protocol/callerapi"
)

// call sends one HTTP request and returns its status, headers and body.
func call(ctx context.Context, t *testing.T, method, url string, header map[string]string, body io.Reader) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(data)
}

// decodeRefusal decodes the body of a refusal.
func decodeRefusal(t *testing.T, body string) callerapi.RefusalBody {
	t.Helper()
	var r callerapi.Refusal
	if err := json.Unmarshal([]byte(body), &r); err != nil {
		t.Fatalf("%q: %v", body, err)
	}
	return r.Error
}

func TestPlainServices(t *testing.T) {
	convey.Convey("Plain services behind a route", t, func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := startFleet(t, 2)
		base := "http://" + f.Boxes[0].Box.CallerAddr() + "/portal"
		account := map[string]string{callerapi.HeaderAccount: "franquicia"}
		with := func(k, v string) map[string]string {
			return map[string]string{callerapi.HeaderAccount: "franquicia", plain.HeaderKey: t.Name() + k, callerapi.HeaderOnce: v}
		}

		convey.Convey("method, path, query, body and status are forwarded", func() {
			status, header, body := call(ctx, t, http.MethodPost, base+"/status?n=7", account, strings.NewReader("hello"))
			convey.So(status, convey.ShouldEqual, http.StatusAccepted)
			convey.So(header.Get("X-Service"), convey.ShouldEqual, "plain")
			convey.So(body, convey.ShouldEqual, "POST /portal/status?n=7 hello")
		})
		convey.Convey("a large body is streamed both ways", func() {
			large := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
			_, _, body := call(ctx, t, http.MethodPut, base+"/x", account, bytes.NewReader(large))
			convey.So(len(body), convey.ShouldEqual, len(large)+len("PUT /portal/x "))
		})
		convey.Convey("a request that may be repeated is retried when its endpoint breaks the connection", func() {
			cutAll(f, 1)
			status, _, _ := call(ctx, t, http.MethodGet, base+"/a", with("a", ""), nil)
			cutAll(f, 0)
			convey.So(status, convey.ShouldBeIn, []int{http.StatusAccepted, http.StatusBadGateway})
			convey.So(runs(f, t.Name()+"a"), convey.ShouldBeGreaterThan, 1)
		})
		convey.Convey("one that may not be repeated runs once and ends as unknown", func() {
			for name, header := range map[string]map[string]string{"by header": with("b", "true"), "by method": with("b", "")} {
				cutAll(f, 1)
				method := map[string]string{"by header": http.MethodGet, "by method": http.MethodPost}[name]
				before := runs(f, t.Name()+"b")
				status, _, body := call(ctx, t, method, base+"/b", header, nil)
				cutAll(f, 0)
				convey.So(status, convey.ShouldEqual, http.StatusBadGateway)
				convey.So(decodeRefusal(t, body).Outcome, convey.ShouldEqual, callerapi.OutcomeUnknown)
				convey.So(runs(f, t.Name()+"b"), convey.ShouldEqual, before+1)
			}
		})
		convey.Convey("one that may not be repeated is still sent elsewhere if it has provably not run", func() {
			for _, s := range firstTwo(f) {
				s.Stop()
			}
			for n := range 6 {
				status, _, _ := call(ctx, t, http.MethodPost, base+"/c", with(fmt.Sprint("c", n), "true"), nil)
				convey.So(status, convey.ShouldEqual, http.StatusAccepted)
				convey.So(runs(f, t.Name()+fmt.Sprint("c", n)), convey.ShouldEqual, 1)
			}
		})
	})
}

func firstTwo(f *fleet.Fleet) []*plain.Server {
	return []*plain.Server{f.Plain["portal-franq-1"], f.Plain["portal-franq-2"]}
}

func cutAll(f *fleet.Fleet, n int) {
	for _, s := range f.Plain {
		s.CutNext(n)
	}
}

func runs(f *fleet.Fleet, key string) int {
	n := 0
	for _, s := range f.Plain {
		n += s.Runs(key)
	}
	return n
}

// TestCallerGone checks that engine memory is freed when a caller disconnects,
// in whichever stage its request is.
func TestCallerGone(t *testing.T) {
	cases := map[string]struct {
		stream bool
		// prompt, if long, makes the caller disconnect during the prefill.
		prompt string
		// readFirst is set if the caller reads the start of the answer before it disconnects.
		readFirst bool
	}{
		"while it streams":          {stream: true, prompt: "short", readFirst: true},
		"while it waits":            {prompt: "short"},
		"in the prefill":            {stream: true, prompt: strings.Repeat("long ", 20_000)},
		"in the prefill, no stream": {prompt: strings.Repeat("long ", 20_000)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A caller disconnects "+name, t, func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				f := startFleet(t, 1)
				conn, err := net.Dial("tcp", f.Boxes[0].Box.CallerAddr())
				convey.So(err, convey.ShouldBeNil)
				body, _ := json.Marshal(callerapi.Body{Model: "lm-porta", Prompt: c.prompt, MaxTokens: 500, Stream: c.stream})
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\n%s: mesa-sur\r\nContent-Length: %d\r\n\r\n%s",
					callerapi.PathCompletions, callerapi.HeaderAccount, len(body), body)
				convey.So(err, convey.ShouldBeNil)
				for f.Held() == 0 && ctx.Err() == nil {
					time.Sleep(time.Millisecond)
				}
				if c.readFirst {
					_, err = bufio.NewReader(conn).ReadString('}')
					convey.So(err, convey.ShouldBeNil)
				}
				convey.So(conn.Close(), convey.ShouldBeNil)
				for f.Boxes[0].Box.Active() > 0 && ctx.Err() == nil {
					time.Sleep(time.Millisecond)
				}
				convey.So(awaitNoHolds(ctx, f), convey.ShouldEqual, 0)
				// The answer has at least 250 tokens, which take seconds, so it was cut.
				tokens := 0
				for _, w := range f.Ledger.Requests() {
					tokens += w.Finished
				}
				convey.So(tokens, convey.ShouldEqual, 0)
			})
		})
	}
}

func TestBadRequests(t *testing.T) {
	f := startFleet(t, 1)
	base := "http://" + f.Boxes[0].Box.CallerAddr()
	good := `{"model":"lm-porta","prompt":"x"}`
	cases := map[string]struct {
		path, body    string
		header, value string
		status        int
		field         string
	}{
		"no such path":       {path: "/v2/none", body: good, status: 404, field: "path"},
		"not JSON":           {body: "{", status: 400, field: "body"},
		"no such model":      {body: `{"model":"lm-portal","prompt":"x"}`, status: 404, field: "model"},
		"no prompt":          {body: `{"model":"lm-porta"}`, status: 400, field: "prompt"},
		"too many tokens":    {body: `{"model":"lm-porta","prompt":"x","max_tokens":100000}`, status: 400, field: "max_tokens"},
		"prompt too long":    {body: `{"model":"lm-porta","prompt":"` + strings.Repeat("x", 200_000) + `"}`, status: 400, field: "prompt"},
		"body too large":     {body: strings.Repeat("x", 2<<20), status: 413, field: "body"},
		"header too large":   {body: good, header: "X-Big", value: strings.Repeat("x", 40_000), status: 431, field: "headers"},
		"priority too high":  {body: good, header: callerapi.HeaderPriority, value: "11", status: 400, field: callerapi.HeaderPriority},
		"deadline no number": {body: good, header: callerapi.HeaderDeadline, value: "soon", status: 400, field: callerapi.HeaderDeadline},
		"once neither":       {body: good, header: callerapi.HeaderOnce, value: "maybe", status: 400, field: callerapi.HeaderOnce},
		"unknown account":    {body: good, header: callerapi.HeaderAccount, value: "nobody", status: 401, field: callerapi.HeaderAccount},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				path := c.path
				if path == "" {
					path = callerapi.PathCompletions
				}
				header := map[string]string{callerapi.HeaderAccount: "mesa-sur"}
				if c.header != "" {
					header[c.header] = c.value
				}
				status, _, body := call(t.Context(), t, http.MethodPost, base+path, header, strings.NewReader(c.body))
				convey.So(status, convey.ShouldEqual, c.status)
				refusal := decodeRefusal(t, body)
				convey.So(refusal.Outcome, convey.ShouldEqual, callerapi.OutcomeNotRun)
				convey.So(refusal.Message, convey.ShouldStartWith, c.field+" is ")
				convey.So(refusal.Message, convey.ShouldContainSubstring, "allowed: ")
			})
		})
	}
}
