// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

// leavingMutants are faults by which requests reach endpoints that left.
var leavingMutants = []mutant{
	{
		name: "departure_during_dial", file: "transport/upstream/upstream.go", pkg: "./tests/routed", args: only("TestRequestIsSentAfterItsEndpointLeftDuringTheDial"),
		old: "if call.MaySend != nil && !call.MaySend() {", fault: "if false {",
	},
	{
		name: "dial_is_not_in_the_deadline", file: "transport/upstream/upstream.go", pkg: "./transport/upstream", args: only("TestDeadlineContainsTheTimeOfTheDial"),
		old: "call.Remaining-time.Since(begin)", fault: "call.Remaining-0*time.Since(begin)",
	},
}
