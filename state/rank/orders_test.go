// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"fmt"
	"testing"
)

// TestOrdersAreBounded checks that an order is computed once while it is cached, and that an
// unlimited number of keys does not grow the cache beyond maxOrders.
func TestOrdersAreBounded(t *testing.T) {
	var o Orders
	computed := 0
	compute := func() []string {
		computed++
		return []string{"a"}
	}
	for range 3 {
		o.Of("k", compute)
	}
	if computed != 1 {
		t.Errorf("computed %d times, want once", computed)
	}
	for i := range 10 * maxOrders {
		o.Of(fmt.Sprint("key-", i), compute)
		if len(o.cached) > maxOrders {
			t.Fatalf("%d orders are cached, want at most %d", len(o.cached), maxOrders)
		}
	}
	if order := o.Of("k", compute); len(order) != 1 || order[0] != "a" {
		t.Errorf("order %v after it was evicted, want [a]", order)
	}
}
