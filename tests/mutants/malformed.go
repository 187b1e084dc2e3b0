// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

// malformedMutants are faults by which a malformed answer is passed on or believed.
var malformedMutants = []mutant{
	{
		name: "answers_not_checked", file: "transport/upstream/conn.go", pkg: "./tests/routed", args: only("TestMalformedAnswerReachesCaller"),
		old: "	k.answers.Expect(unread)", fault: "	_ = unread",
	},
	{
		name: "answer_after_stray_not_checked", file: "transport/upstream/conn.go", pkg: "./transport/upstream", args: only("TestMalformedAnswerFollowsAStrayOne"),
		old: "	k.reader.Reset(k.answers)\n", fault: "",
	},
	{
		name: "order_answers_not_checked", file: "modules/httphead/transport.go", pkg: "./transport/enginehttp", args: only("TestMalformedAnswerToAnOrderIsBelieved"),
		old: "return &transport{base: base}", fault: "return base",
	},
	{
		name: "blank_in_name_passes", file: "modules/httphead/httphead.go", pkg: "./modules/httphead", args: only("TestMalformedPart"),
		old: "!httpguts.ValidHeaderFieldName(name)", fault: "!httpguts.ValidHeaderFieldName(strings.TrimSpace(name))",
	},
	{
		name: "status_out_of_range_passes", file: "modules/httphead/httphead.go", pkg: "./modules/httphead", args: only("TestMalformedPart"),
		old: " || status < minStatus || status > maxStatus", fault: "",
	},
	{
		name: "chunks_in_http10_pass", file: "modules/httphead/httphead.go", pkg: "./modules/httphead", args: only("TestMalformedPart"),
		old: "	if h.http10 && ", fault: "	if false && ",
	},
	{
		name: "interim_answers_not_checked", file: "modules/httphead/httphead.go", pkg: "./modules/httphead", args: only("TestMalformedPart"),
		old: "	case ended && r.head.interim:", fault: "	case ended && r.head.interim && false:",
	},
	{
		name: "malformed_answer_repeats_order", file: "modules/httphead/httphead.go", pkg: "./transport/httpcall", args: only("TestMalformedAnswerRepeatsItsOrder"),
		old: "return passed + max(end, 1)", fault: "return passed",
	},
}
