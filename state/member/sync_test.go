// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"fmt"
	"testing"
	"time"
)

// TestSyncOfALargeFleet has a box that starts ask one of a fleet for all that it knows. The answer
// comes in parts; until the last one is there the box goes on asking.
func TestSyncOfALargeFleet(t *testing.T) {
	cases := map[string]struct{ boxes, parts int }{
		"a small fleet":             {10, 1},
		"as many as a message has":  {MaxSync, 1},
		"one more":                  {MaxSync + 1, 2},
		"the fleet of 986":          {986, 4},
		"the fleet at twice a size": {2000, 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			known := New(Config{Self: Box{Name: "known", Start: 1, Incarnation: 1}}, now)
			for i := range c.boxes - 1 {
				b := Box{Name: fmt.Sprintf("b%04d", i), Start: 1, Incarnation: 1}
				known.Receive(now, b.Name, Message{Kind: Ping, Updates: []Box{b}})
			}
			fresh := New(Config{Self: Box{Name: "fresh", Start: 2, Incarnation: 2}}, now)
			fresh.Receive(now, "known", Message{Kind: Ping, Updates: []Box{{Name: "known", Start: 1, Incarnation: 1}}})
			answer := known.Receive(now, "fresh", Message{Kind: SyncRequest})
			if len(answer) != c.parts {
				t.Fatalf("%d parts, want %d", len(answer), c.parts)
			}
			for i, part := range answer {
				if fresh.synced {
					t.Fatalf("taken for whole after %d of %d parts", i, c.parts)
				}
				if len(part.Message.Updates) > MaxSync {
					t.Fatalf("%d boxes in one message", len(part.Message.Updates))
				}
				fresh.Receive(now, "known", part.Message)
			}
			if !fresh.synced {
				t.Fatal("not taken for whole")
			}
			if got := len(fresh.boxes); got != c.boxes+1 {
				t.Fatalf("%d boxes are known, want %d", got, c.boxes+1)
			}
		})
	}
	t.Run("a part is lost", func(t *testing.T) {
		now := time.Unix(1_700_000_000, 0)
		fresh := New(Config{Self: Box{Name: "fresh"}}, now)
		part := func(name string, total int) Message {
			return Message{Kind: Sync, Total: total, Updates: []Box{{Name: name, Incarnation: 1}}}
		}
		fresh.Receive(now, "a", part("a", 2))
		fresh.Receive(now, "b", part("a", 2))
		if fresh.synced {
			t.Fatal("parts of two boxes were taken for a whole answer")
		}
		fresh.Receive(now, "b", part("b", 2))
		if !fresh.synced {
			t.Fatal("a whole answer was not taken")
		}
	})
}
