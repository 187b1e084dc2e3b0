// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

const (
	bucketFile        = "state/pace/bucket.go"
	scheduleLimitFile = "state/schedule/limit.go"
	limitKeeperFile   = "coordination/notice/notice.go"

	limitTests = "./coordination/notice"
)

var limitOracle = []string{"-run", "TestOracleLimit$", "-rapid.checks=3000", "-rapid.nofailfile"}

// limitMutants are faults in the limits on requests to endpoints that announce a limit.
var limitMutants = []mutant{
	{
		name: "box_beside_a_home_grants_all", file: bucketFile, pkg: paceTests, args: limitOracle,
		old: "		part *= contestedShare\n", fault: "",
	},
	{
		name: "each_side_of_a_cut_grants_the_whole_limit", file: bucketFile, pkg: paceTests, args: only("TestShare"),
		old: "part := min(float64(s.Seen)/float64(s.All), 1)", fault: "part := min(float64(s.All)/float64(s.Seen), 1)",
	},
	{
		name: "bucket_without_a_bound", file: bucketFile, pkg: paceTests, args: only("TestIdleBucketHoldsOneBurst"),
		old: "b.level = min(b.level+rate*(now-b.at).Seconds(), capacity)", fault: "b.level = max(b.level+rate*(now-b.at).Seconds(), 0*capacity)",
	},
	{
		name: "limited_engines_not_held_back", file: schedulePaceFile, pkg: scheduleTests, args: only("TestLimitedEngines"),
		old: " || e.limit.exhausted()", fault: "",
	},
	{
		name: "older_word_on_a_limit_counts", file: scheduleLimitFile, pkg: scheduleTests, args: only("TestNewestWordOnALimit"),
		old: "if e.limit.known && seen <= e.limit.seenAt {", fault: "if false {",
	},
	{
		name: "shared_engine_granted_whole_by_each", file: scheduleLimitFile, pkg: scheduleTests, args: only("TestLimitedEngines"),
		old: "g.limitShare(t) / float64(max(e.spec.SharedBy, 1))", fault: "g.limitShare(t)",
	},
	{
		name: "open_grants_wait_for_an_ask", file: "state/schedule/group.go", pkg: homeTests, args: only("TestOpenGrantsAreLookedAt"),
		old: "return len(g.waiting) + len(g.awaitingDecode)", fault: "return len(g.waiting)",
	},
	{
		name: "turned_away_shows_no_limit", file: limitKeeperFile, pkg: limitTests, args: only("TestAnswers"),
		old: "!limit.Named && !a.Served", fault: "!limit.Named && false",
	},
	{
		name: "alone_box_sends_beyond_a_limit", file: relayPacedFile, pkg: relayTests, args: only("TestSendsToLimitedEndpoints"),
		old: " || h.relay.cfg.Notices.Limited(id)", fault: "",
	},
	{
		name: "limits_not_told_with_a_question", file: homeRouterFile, pkg: homeTests, args: only("TestQuestionsCarryLimits"),
		old: "		b.Limits = r.limitsOf(group)\n", fault: "",
	},
}
