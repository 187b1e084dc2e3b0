// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

// promiseMutants are faults by which a caller is told that its request has not run, though it may have, or gets
// the head of a second answer inside the first.
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
	{
		name: "any_answer_continues_a_stream", file: "coordination/relay/exchange.go", pkg: "./tests/routed", args: only("TestStreamHoldsTheHeadOfASecondEndpoint"),
		old: "if h.reply != nil && !h.reply.continuedBy(answer) {", fault: "if false {",
	},
	{
		name: "events_of_another_type_continue_a_stream", file: "coordination/relay/begun.go", pkg: "./tests/routed", args: only("TestStreamHoldsTheHeadOfASecondEndpoint"),
		old: "mediaType == begun || mediaType == \"\"", fault: "mediaType == begun || true",
	},
	{
		name: "empty_unframed_answer_continues_a_stream", file: "coordination/relay/answer.go", pkg: "./tests/routed", args: only("TestStreamHoldsTheHeadOfASecondEndpoint"),
		old: "(h.reply != nil || h.lastEvent == \"\")", fault: "h.reply == nil && h.lastEvent == \"\"",
	},
	{
		name: "answer_begins_twice", file: "transport/relayhttp/reply.go", pkg: "./transport/relayhttp", args: only("TestAnswerHoldsASecondHead"),
		old: "	if w.begun {", fault: "	if false {",
	},
}
