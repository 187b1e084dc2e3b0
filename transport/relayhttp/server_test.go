// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/state/table"
)

// emptyAnswers answers each request without a body.
type emptyAnswers struct{}

func (emptyAnswers) Serve(_ context.Context, _ relay.Request, c relay.Caller) {
	if reply, err := c.Begin(http.StatusNoContent, nil, 0); err == nil {
		_ = reply.End()
	}
}

func (emptyAnswers) Limits() table.Limits { return table.Limits{} }

// twoHeads begins each answer twice, and refuses the request after that.
type twoHeads struct{ second error }

func (h *twoHeads) Serve(_ context.Context, _ relay.Request, c relay.Caller) {
	reply, _ := c.Begin(http.StatusOK, nil, -1)
	_ = reply.Write([]byte("begun"))
	_, h.second = c.Begin(http.StatusNotFound, nil, 0)
	c.Refuse(relay.Refusal{Status: http.StatusServiceUnavailable})
}

func (*twoHeads) Limits() table.Limits { return table.Limits{} }

// Guards against a second head, or a refusal, inside an answer that has begun.
func TestAnswerHoldsASecondHead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	answers := &twoHeads{}
	s := New(Config{Relay: answers, Names: relayapi.Default(), Log: log.Discard()})
	served := make(chan error)
	go func() { served <- s.Serve(t.Context(), l) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprint(caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	text, _ := io.ReadAll(caller)
	_, _ = caller.Close(), l.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
	s.Wait(t.Context())
	if !errors.Is(answers.second, relay.ErrBegun) {
		t.Errorf("the second head: %v", answers.second)
	}
	if got := string(text); strings.Count(got, "HTTP/1.1") != 1 || !strings.HasSuffix(got, "\r\n\r\n5\r\nbegun\r\n") {
		t.Errorf("the caller got %q", got)
	}
}

// fixedAdmission limits requests or does not, and counts those on kept connections.
type fixedAdmission struct {
	limited  bool
	accepted int
}

func (a *fixedAdmission) Accepted()     { a.accepted++ }
func (a *fixedAdmission) Limited() bool { return a.limited }

func TestKeptConnectionsOfAnOverloadedBoxStay(t *testing.T) {
	cases := map[string]struct {
		limited  bool
		answers  int
		accepted int
	}{
		"no limit": {answers: 3, accepted: 2},
		"a limit":  {limited: true, answers: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			admission := &fixedAdmission{limited: c.limited}
			s := New(Config{Relay: emptyAnswers{}, Names: relayapi.Default(), Admission: admission, Log: log.Discard()})
			served := make(chan error)
			go func() { served <- s.Serve(t.Context(), l) }()
			caller, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			answers, reader := 0, bufio.NewReader(caller)
			for range 3 {
				_, _ = fmt.Fprint(caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					break
				}
				_ = resp.Body.Close()
				if answers++; resp.Close != c.limited {
					t.Errorf("the answer closes its connection: %v", resp.Close)
				}
			}
			_, _ = caller.Close(), l.Close()
			if err := <-served; err != nil {
				t.Error(err)
			}
			s.Wait(t.Context())
			if answers != c.answers || admission.accepted != c.accepted {
				t.Errorf("%d answers, %d requests counted, want %d and %d", answers, admission.accepted, c.answers, c.accepted)
			}
		})
	}
}
