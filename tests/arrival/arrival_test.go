// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package arrival

import (
	"fmt"
	"time"
)

func ExampleLog() {
	var l Log
	start := time.Unix(0, 0)
	for _, ms := range []int{0, 100, 200, 1000, 1900, 2100} {
		l.Add(start.Add(time.Duration(ms) * time.Millisecond))
	}
	later := start.Add(150 * time.Millisecond)
	fmt.Println(l.Fullest(time.Second, start), l.Fullest(time.Second, later), l.Since(later))
	// Output: 3 2 4
}
