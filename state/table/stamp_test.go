// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import "fmt"

func ExampleStamp() {
	before := Stamp{Version: 16, Generation: 28}
	fmt.Println("written after the store came back older:", Stamp{Version: 20, Generation: 24}.After(before))
	fmt.Println("of the copy, written by somebody again:", Stamp{Version: 13, Generation: 30}.After(before))
	fmt.Println("told by a build that knows no versions:", Stamp{Generation: 29}.After(before))
	fmt.Println("the later one:", before.Latest(Stamp{Version: 20, Generation: 24}))
	// Output:
	// written after the store came back older: true
	// of the copy, written by somebody again: false
	// told by a build that knows no versions: true
	// the later one: {20 24}
}
