// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"testing"
	"time"
)

// TestMeasured checks that the round trip of a probe is returned once after its target
// has answered, and that an answer through another box is not measured.
func TestMeasured(t *testing.T) {
	cases := map[string]struct {
		from   string
		answer Message
		want   time.Duration
	}{
		"the target answers":         {from: "b", answer: Message{Kind: Ack, Sequence: 1}, want: 41 * time.Millisecond},
		"through another box":        {from: "c", answer: Message{Kind: Ack, Sequence: 1, For: "b"}},
		"an answer to another probe": {from: "b", answer: Message{Kind: Ack, Sequence: 9}},
		"a probe by the other box":   {from: "b", answer: Message{Kind: Ping, Sequence: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			at := time.Unix(1_700_000_000, 0)
			v := New(Config{Self: Box{Name: "a", Incarnation: 1}, Seed: 1}, at)
			v.AddListed(at, Box{Name: "b", Address: "b"})
			v.syncing.done, v.syncing.later = true, laterSyncs+1
			if sent := v.Tick(at); len(sent) != 1 || sent[0].To != "b" {
				t.Fatalf("sends %+v", sent)
			}
			v.Receive(at.Add(41*time.Millisecond), c.from, c.answer)
			got, ok := v.Measured()
			if ok != (c.want > 0) || got.Took != c.want {
				t.Errorf("measured %+v, want %v", got, c.want)
			}
			if _, again := v.Measured(); again {
				t.Error("measured twice")
			}
		})
	}
}
