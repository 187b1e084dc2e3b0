// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import "fmt"

func ExampleStamp() {
	before := Stamp{Version: 16, Generation: 28}
	fmt.Println("written after the store was restored:", Stamp{Version: 20, Generation: 24}.NewerThan(before))
	fmt.Println("of the restored copy, written again:", Stamp{Version: 13, Generation: 30}.NewerThan(before))
	fmt.Println("from a build without versions:", Stamp{Generation: 29}.NewerThan(before))
	fmt.Println("the later one:", before.Newer(Stamp{Version: 20, Generation: 24}))
	// Output:
	// written after the store was restored: true
	// of the restored copy, written again: false
	// from a build without versions: true
	// the later one: {20 24}
}
