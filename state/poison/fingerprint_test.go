// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package poison

import (
	"fmt"
	"testing"
)

func ExampleFingerprintOf() {
	first := FingerprintOf(Request{Method: "POST", Host: "desk.example", Target: "/orders/7", Body: []byte("two crates")})
	again := FingerprintOf(Request{Method: "POST", Host: "desk.example", Target: "/orders/7", Body: []byte("two crates")})
	other := FingerprintOf(Request{Method: "POST", Host: "desk.example", Target: "/orders/7", Body: []byte("one crate")})
	fmt.Println(first == again, first == other)
	// Output: true false
}

func TestFingerprintsDiffer(t *testing.T) {
	base := Request{Method: "POST", Host: "desk", Target: "/a", Account: "north", Body: []byte("body")}
	cases := map[string]Request{
		"method":                      {Method: "PUT", Host: "desk", Target: "/a", Account: "north", Body: []byte("body")},
		"host":                        {Method: "POST", Host: "shop", Target: "/a", Account: "north", Body: []byte("body")},
		"target":                      {Method: "POST", Host: "desk", Target: "/a?b", Account: "north", Body: []byte("body")},
		"account":                     {Method: "POST", Host: "desk", Target: "/a", Account: "south", Body: []byte("body")},
		"no account":                  {Method: "POST", Host: "desk", Target: "/a", Body: []byte("body")},
		"body":                        {Method: "POST", Host: "desk", Target: "/a", Account: "north", Body: []byte("other")},
		"a byte moved between parts":  {Method: "POST", Host: "desk/", Target: "a", Account: "north", Body: []byte("body")},
		"body bytes moved to account": {Method: "POST", Host: "desk", Target: "/a", Account: "northb", Body: []byte("ody")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if FingerprintOf(base) == FingerprintOf(c) {
				t.Error("two different requests have one fingerprint")
			}
		})
	}
}

// BenchmarkFingerprintOf measures a body of the usual size of a model request.
func BenchmarkFingerprintOf(b *testing.B) {
	r := Request{Method: "POST", Host: "desk.example", Target: "/orders/7", Body: make([]byte, 5000)}
	for b.Loop() {
		FingerprintOf(r)
	}
}
