// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"bytes"
	"testing"
	"time"

	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/modules/log"
)

func TestCallerStall(t *testing.T) {
	const instant = time.Millisecond
	type step struct {
		write, read time.Duration
	}
	cases := map[string]struct {
		steps []step
		after time.Duration
		want  bool
	}{
		"no stall":                               {[]step{{instant, caughtUpRead}, {instant, instant}}, 0, false},
		"break after a stall":                    {[]step{{minCallerStall, instant}}, 0, true},
		"buffered data is read before the break": {[]step{{minCallerStall, instant}, {instant, instant}}, 0, true},
		"endpoint resumed before the break":      {[]step{{minCallerStall, instant}, {instant, caughtUpRead}}, 0, false},
		"long after the stall":                   {[]step{{minCallerStall, instant}}, stallBreakWindow, false},
		"second stall after resuming":            {[]step{{minCallerStall, caughtUpRead}, {minCallerStall, instant}}, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var stall callerStall
			for _, s := range c.steps {
				now = now.Add(s.write)
				stall.noteWrite(now, s.write)
				now = now.Add(s.read)
				stall.noteRead(s.read)
			}
			if got := stall.explainsBreak(now.Add(c.after)); got != c.want {
				t.Fatalf("explains the break: %v", got)
			}
		})
	}
}

func TestPartialEvent(t *testing.T) {
	budget := held.New(held.Config{Bytes: 3 * unreservedBytes, Log: log.Discard()})
	p := partialEvent{hold: budget.Open(held.Answer, "", nil)}
	piece := bytes.Repeat([]byte("e"), pieceSize)
	pieces := 0
	for p.add(piece) {
		pieces++
	}
	if want := 4 * unreservedBytes / pieceSize; pieces != want {
		t.Fatalf("%d pieces were buffered, want %d", pieces, want)
	}
	if used := budget.Status().Used; used != 3*unreservedBytes {
		t.Fatalf("%d bytes reserved", used)
	}
	p.consume(len(p.data) - 1)
	if used := budget.Status().Used; used != 0 || len(p.data) != 1 {
		t.Fatalf("%d bytes reserved, %d buffered", used, len(p.data))
	}
}
