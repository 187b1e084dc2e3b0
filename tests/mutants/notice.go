// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

const (
	noticeFile          = "coordination/notice/notice.go"
	noticeTests         = "./coordination/notice"
	scheduleLeavingFile = "state/schedule/leaving.go"
)

// noticeMutants are faults in the handling of endpoints that announce that they leave or need a rest.
var noticeMutants = []mutant{
	{
		name: "leaving_outlasts_its_start", file: noticeFile, pkg: noticeTests, args: only("TestEndpointsAreClosed"),
		old: "	if e.born != born {\n		return Availability{}\n	}\n", fault: "",
	},
	{
		name: "rest_shortened_by_a_later_answer", file: noticeFile, pkg: noticeTests, args: only("TestEndpointsAreClosed"),
		old: "n.Rest > 0 && until.After(e.restUntil)", fault: "n.Rest > 0",
	},
	{
		name: "closed_endpoints_forgotten_first", file: noticeFile, pkg: noticeTests, args: only("TestClosedEndpointsAreKept"),
		old: "		return k.closed[other]\n", fault: "		return !k.closed[other]\n",
	},
	{
		name: "closed_endpoints_asked_for", file: noticeFile, pkg: relayTests, args: only("TestNowhereToGoIsRefusedAtOnce"),
		old: "	case s.Rest > 0:\n		return ReasonResting\n", fault: "",
	},
	{
		name: "engines_that_leave_granted_to_others", file: scheduleLeavingFile, pkg: scheduleTests, args: only("TestEnginesThatToldABoxThatTheyLeave"),
		old: "e.spec.Leaving || t < e.leavingUntil", fault: "e.spec.Leaving",
	},
	{
		name: "barred_engines_granted", file: "state/schedule/types.go", pkg: scheduleTests, args: only("TestEnginesThatToldABoxThatTheyLeave"),
		old: " || slices.Contains(a.Excluded, engine)", fault: "",
	},
}
