// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"strings"
	"testing"

	"runridge.example/runridge/transport/operatorhttp"
)

func TestPrintBuilds(t *testing.T) {
	var out strings.Builder
	err := printBuilds(&out, []operatorhttp.Status{
		{Box: "b", Build: "0.2", Wire: 1, Peers: map[uint16]int{0: 1, 1: 5}},
		{Box: "a", Build: "0.1", Unknown: map[string]uint64{"200 unknown": 3}},
	})
	if err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{"1 of version 0, 5 of version 1", "200 unknown: 3", "0.2"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing from\n%s", want, text)
		}
	}
	if strings.Index(text, "0.1") > strings.Index(text, "0.2") {
		t.Errorf("boxes are not sorted:\n%s", text)
	}
}
