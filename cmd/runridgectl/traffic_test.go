// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"strings"
	"testing"

	"runridge.example/runridge/transport/operatorhttp"
)

func TestPrintTraffic(t *testing.T) {
	boxes := []operatorhttp.Status{
		{Flows: []operatorhttp.Flow{
			{Kind: "update", Distance: "other_region", Bytes: 700, Messages: 7},
			{Kind: "member", Distance: "same_zone", Bytes: 5, Messages: 1},
		}},
		{Flows: []operatorhttp.Flow{
			{Kind: "update", Distance: "other_region", Bytes: 300, Messages: 3},
			{Kind: "ask", Distance: "other_region", Bytes: 2000, Messages: 20},
		}},
	}
	var out strings.Builder
	if err := printTraffic(&out, boxes); err != nil {
		t.Fatal(err)
	}
	ask, update, member := strings.Index(out.String(), "2000"), strings.Index(out.String(), "1000"), strings.Index(out.String(), "same_zone")
	if ask < 0 || update < ask || member < update {
		t.Errorf("flows are not summed, or not sorted:\n%s", out.String())
	}
}
