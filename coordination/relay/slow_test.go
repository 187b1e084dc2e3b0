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

func TestHoldUp(t *testing.T) {
	const instant = time.Millisecond
	type step struct {
		write, read time.Duration
	}
	cases := map[string]struct {
		steps []step
		after time.Duration
		want  bool
	}{
		"nobody waited":                               {[]step{{instant, caughtUp}, {instant, instant}}, 0, false},
		"the caller did not read, then the end":       {[]step{{leastHoldUp, instant}}, 0, true},
		"what had come meanwhile is read first":       {[]step{{leastHoldUp, instant}, {instant, instant}}, 0, true},
		"the endpoint had gone on before its end":     {[]step{{leastHoldUp, instant}, {instant, caughtUp}}, 0, false},
		"long after the caller had read on":           {[]step{{leastHoldUp, instant}}, heldUpAfter, false},
		"held up, gone on, and held up a second time": {[]step{{leastHoldUp, caughtUp}, {leastHoldUp, instant}}, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var p holdUp
			for _, s := range c.steps {
				now = now.Add(s.write)
				p.wrote(now, s.write)
				now = now.Add(s.read)
				p.read(s.read)
			}
			if got := p.lasts(now.Add(c.after)); got != c.want {
				t.Fatalf("held up: %v", got)
			}
		})
	}
}

func TestPartial(t *testing.T) {
	budget := held.New(held.Config{Bytes: 3 * freeRoom, Log: log.Discard()})
	p := partial{hold: budget.Open(held.Answer, "", nil)}
	piece := bytes.Repeat([]byte("e"), pieceSize)
	pieces := 0
	for p.add(piece) {
		pieces++
	}
	if want := 4 * freeRoom / pieceSize; pieces != want {
		t.Fatalf("%d pieces were kept, want %d", pieces, want)
	}
	if used := budget.Status().Used; used != 3*freeRoom {
		t.Fatalf("%d bytes held", used)
	}
	p.drop(len(p.data) - 1)
	if used := budget.Status().Used; used != 0 || len(p.data) != 1 {
		t.Fatalf("%d bytes held, %d kept", used, len(p.data))
	}
}
