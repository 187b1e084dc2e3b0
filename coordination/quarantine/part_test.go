// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/state/poison"
)

// promptWith returns a request that has no other request's body, at a box.
func promptWith(k *Keeper, n int, parts ...string) *Request {
	return k.Request(fmt.Sprint("id", n), "s", poison.Request{Target: "/x", Body: []byte(fmt.Sprint(n)), Parts: parts})
}

// endUnder records that an endpoint ended under a request.
func (f *fleet) endUnder(r *Request, endpoint int) {
	status, _ := f.directory.Status(fmt.Sprint("e", endpoint))
	r.k.record(&check{status: status, ended: time.Now()}, loss{fingerprint: r.Fingerprint(), parts: r.Parts(), ran: 50 * time.Millisecond})
}

func TestPartThatIsAnsweredIsBlamedForTheEndsOfOthers(t *testing.T) {
	cases := map[string]struct {
		// sound is when a request with the shared part is answered, before the ends or after them.
		before, after bool
		// freeBefore is how long before the ends it was answered.
		ago  time.Duration
		free bool
	}{
		"answered before":      {before: true, free: true},
		"answered since":       {after: true, free: true},
		"answered long before": {before: true, ago: 2 * poison.Keep},
		"never answered":       {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3)
				box := f.boxes["b000"]
				if c.before {
					promptWith(box, 100, "shared", "good").Lives()
				}
				time.Sleep(c.ago)
				for n := range 3 {
					f.endUnder(promptWith(box, n, "shared", "bad"), n)
				}
				// The same requests end others, so that the shared part has more ends than the bad one.
				f.endUnder(promptWith(box, 50, "shared"), 4)
				if c.after {
					promptWith(box, 101, "shared", "good").Answered()
				}
				for _, name := range f.names {
					if !promptWith(f.boxes[name], 10, "shared", "bad").Poisonous() {
						t.Errorf("%s does not block the part that ends endpoints", name)
					}
					if free := !promptWith(f.boxes[name], 11, "shared", "good").Poisonous(); free != c.free {
						t.Errorf("%s passes others: %v, want %v", name, free, c.free)
					}
				}
			})
		})
	}
}
