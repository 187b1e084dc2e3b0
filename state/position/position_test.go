// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package position

import "fmt"

func Example() {
	before := Of(1, 129)
	after := Of(2, 24)
	fmt.Println("later:", after > before)
	fmt.Println("era and revision:", Era(after), Revision(after))
	// Output:
	// later: true
	// era and revision: 2 24
}
