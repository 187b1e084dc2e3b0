// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/fakes/engine"
	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/protocol/callerapi"
)

// sendWithKey sends a request with an idempotency key and returns the status and the
// text of the answer or the outcome of the refusal.
func sendWithKey(ctx context.Context, t *testing.T, address, key, prompt, once string) (int, string) {
	t.Helper()
	body, err := json.Marshal(callerapi.Body{Model: "lm-porta", Prompt: prompt, MaxTokens: 40})
	if err != nil {
		t.Fatal(err)
	}
	header := map[string]string{
		callerapi.HeaderAccount:        "mesa-norte",
		callerapi.HeaderIdempotencyKey: key,
		callerapi.HeaderOnce:           once,
	}
	status, _, answer := call(ctx, t, http.MethodPost, "http://"+address+callerapi.PathCompletions, header, strings.NewReader(string(body)))
	if status != http.StatusOK {
		return status, string(decodeRefusal(t, answer).Outcome)
	}
	var c callerapi.Completion
	if err := json.Unmarshal([]byte(answer), &c); err != nil {
		t.Fatal(err)
	}
	return status, c.Choices[0].Text
}

// decodesBegun returns the number of decodes that engines have begun.
func decodesBegun(f *fleet.Fleet) int {
	n := 0
	for _, w := range f.Ledger.Requests() {
		n += w.Decoded
	}
	return n
}

func TestRepeatsRunOnce(t *testing.T) {
	convey.Convey("A request with an idempotency key is sent again", t, func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := startFleet(t, 4)
		want := func(prompt string) string { return strings.Join(engine.Answer(prompt, 40), "") }

		convey.Convey("through all boxes at once, it runs once and all callers receive the answer", func() {
			var wait sync.WaitGroup
			texts := make([]string, 12)
			for i := range texts {
				wait.Go(func() {
					_, texts[i] = sendWithKey(ctx, t, f.Boxes[i%4].Box.CallerAddr(), "k1", "one question", "false")
				})
			}
			wait.Wait()
			for _, text := range texts {
				convey.So(text, convey.ShouldEqual, want("one question"))
			}
			convey.So(decodesBegun(f), convey.ShouldEqual, 1)
		})
		convey.Convey("after its end, it gets the answer of the first", func() {
			for i := range 4 {
				_, text := sendWithKey(ctx, t, f.Boxes[i].Box.CallerAddr(), "k2", "another", "true")
				if i == 0 && text == string(callerapi.OutcomeUnknown) {
					// The fleet is younger than the repeat window, so it cannot rule out an earlier run.
					return
				}
				convey.So(text, convey.ShouldEqual, want("another"))
			}
			convey.So(decodesBegun(f), convey.ShouldEqual, 1)
		})
		convey.Convey("a key that was used for another request is refused", func() {
			_, first := sendWithKey(ctx, t, f.Boxes[0].Box.CallerAddr(), "k3", "this", "false")
			convey.So(first, convey.ShouldEqual, want("this"))
			status, second := sendWithKey(ctx, t, f.Boxes[1].Box.CallerAddr(), "k3", "that", "false")
			convey.So(status, convey.ShouldEqual, http.StatusUnprocessableEntity)
			convey.So(second, convey.ShouldEqual, string(callerapi.OutcomeNotRun))
		})
	})
}

// TestOnceWhenItsBoxDies kills the box that runs a request which must not be
// repeated. Its repeats at the other boxes are answered unknown and do not run.
func TestOnceWhenItsBoxDies(t *testing.T) {
	convey.Convey("The box of a request that must not be repeated is killed", t, func() {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
		defer cancel()
		f, processes := startProcesses(ctx, t, 3)
		// Until the boxes have run together for a repeat window, they answer unknown.
		for n := 0; ; n++ {
			if _, text := sendWithKey(ctx, t, processes[0].CallerAddr, fmt.Sprint("settle", n), "settle", "true"); text != string(callerapi.OutcomeUnknown) {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		before := decodesBegun(f)
		short, stop := context.WithCancel(ctx)
		go func() {
			body := `{"model":"lm-porta","prompt":"only once","max_tokens":500}`
			req, _ := http.NewRequestWithContext(short, http.MethodPost, "http://"+processes[0].CallerAddr+callerapi.PathCompletions, strings.NewReader(body))
			req.Header.Set(callerapi.HeaderAccount, "mesa-norte")
			req.Header.Set(callerapi.HeaderIdempotencyKey, "dies")
			req.Header.Set(callerapi.HeaderOnce, "true")
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
		for decodesBegun(f) == before && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		processes[0].Kill()
		stop()
		body := `{"model":"lm-porta","prompt":"only once","max_tokens":500}`
		header := map[string]string{
			callerapi.HeaderAccount: "mesa-norte", callerapi.HeaderIdempotencyKey: "dies", callerapi.HeaderOnce: "true",
		}
		for _, p := range processes[1:] {
			status, _, answer := call(ctx, t, http.MethodPost, "http://"+p.CallerAddr+callerapi.PathCompletions, header, strings.NewReader(body))
			convey.So(status, convey.ShouldEqual, http.StatusBadGateway)
			convey.So(decodeRefusal(t, answer).Outcome, convey.ShouldEqual, callerapi.OutcomeUnknown)
		}
		convey.So(decodesBegun(f), convey.ShouldEqual, before+1)
		convey.So(awaitNoHolds(ctx, f), convey.ShouldEqual, 0)
	})
}
