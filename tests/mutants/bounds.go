// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

// boundMutants are faults by which a peer makes a box read or keep bytes without end, or keep closed connections.
var boundMutants = []mutant{
	{
		name: "head_without_bound", file: "modules/httphead/httphead.go", pkg: "./transport/upstream", args: only("TestHeadWithoutEndIsReadWhole"),
		old: "		if size > r.left {", fault: "		if false {",
	},
	{
		name: "body_counts_as_head", file: "modules/httphead/httphead.go", pkg: "./transport/upstream", args: only("TestLongBodyIsTakenForAHead"),
		old: "r.due, r.complete, r.line = false, true, nil", fault: "r.complete, r.head = true, headState{begun: true}",
	},
	{
		name: "error_quotes_a_peer", file: "coordination/adapter/bounds.go", pkg: "./transport/platformhttp", args: only("TestErrorHoldsWhatThePlatformSent"),
		old: "maxErrorText = 200", fault: "maxErrorText = 200 << 10",
	},
	{
		name: "order_answer_without_bound", file: "transport/httpcall/httpcall.go", pkg: "./transport/httpcall", args: only("TestHeadWithoutEndIsReadWhole"),
		old: "}, adapter.MaxAnswerHead),", fault: "}, 16*adapter.MaxAnswerHead),",
	},
	{
		name: "discard_without_bound", file: "coordination/relay/types.go", pkg: "./transport/upstream", args: only("TestDiscardedBodyWithoutEndHoldsItsRequest"),
		old: "time.Now().Add(discardTime)", fault: "time.Time{}",
	},
	{
		name: "log_fields_without_bound", file: "modules/log/log.go", pkg: "./modules/log", args: only("TestLineHoldsWhatAPeerSent"),
		old: "if len(text) > maxField {", fault: "if false {",
	},
	{
		name: "closed_connection_pooled", file: "transport/upstream/upstream.go", pkg: "./transport/upstream", args: only("TestClosedConnectionIsPooledAgain"),
		old: "	if k.retired {", fault: "	if false {",
	},
}
