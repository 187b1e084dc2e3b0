// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

// leavingMutants are faults by which requests reach endpoints that left.
var leavingMutants = []mutant{
	{
		name: "departure_during_dial", file: "transport/upstream/upstream.go", pkg: "./tests/routed", args: only("TestRequestIsSentAfterItsEndpointLeftDuringTheDial"),
		old: "if call.MaySend != nil && !call.MaySend() {", fault: "if false {",
	},
}
