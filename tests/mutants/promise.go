// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

// promiseMutants are faults by which a caller is told that its request has not run, though it may have.
var promiseMutants = []mutant{
	{
		name: "promise_of_an_endpoint_is_passed_on", file: "coordination/relay/answer.go", pkg: "./tests/routed", args: only("TestRequestThatRanGetsAPromise"),
		old: "	case h.withholds(a):\n", fault: "	case false:\n",
	},
	{
		name: "long_promise_is_passed_on", file: "coordination/relay/answer.go", pkg: "./tests/routed", args: only("TestRequestThatRanGetsAPromise"),
		old: "		if h.withholds(a) {\n", fault: "		if false {\n",
	},
	{
		name: "repeatable_requests_lose_their_status", file: "coordination/relay/promise.go", pkg: "./tests/routed", args: only("TestRequestThatRanGetsAPromise"),
		old: "!h.route.Idempotent() && ", fault: "",
	},
}
