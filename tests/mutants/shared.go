// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

const (
	establishedFile = "state/member/established.go"
	protocolFile    = "state/member/protocol.go"
	refuseFile      = "state/schedule/refuse.go"
	queueFile       = "state/schedule/queue.go"
	groupFile       = "state/schedule/group.go"
	updateFile      = "state/directory/update.go"
	shareFile       = "coordination/discover/share.go"
	outageFile      = "coordination/discover/outage.go"
	registryFile    = "coordination/registry/registry.go"
	coverFile       = "state/cover/cover.go"
	lateFile        = "state/schedule/late.go"
	homeFile        = "coordination/home/home.go"

	memberTests   = "./state/member"
	scheduleTests = "./state/schedule"
	discoverTests = "./coordination/discover"
	registryTests = "./coordination/registry"
	coverTests    = "./state/cover"
)

// sharedMutants are faults in the state that boxes share: which boxes have duties, which endpoints
// exist, which boxes have ended, and when refused callers return.
var sharedMutants = []mutant{
	{
		name: "unheard_start_counts_as_oldest", file: establishedFile, pkg: memberTests, args: only("TestEstablished"),
		old: "if b.Start > 0 {", fault: "if true {",
	},
	{
		name: "start_without_sync", file: protocolFile, pkg: memberTests, args: only("TestEstablishedIsTheSameEverywhere"),
		old: "out := v.requestSync(now)", fault: "out := []Send(nil)",
	},
	{
		name: "retry_time_without_patience", file: refuseFile, pkg: scheduleTests, args: only("TestRetryAfterWithinPatience"),
		old: "if next-t <= int64(patience) {", fault: "if true {",
	},
	{
		name: "spill_books_a_return", file: refuseFile, pkg: scheduleTests, args: only("TestSpill"),
		old: "reason == lifecycle.ReasonTargetUnreachable && !w.ask.Spill && !w.late", fault: "reason == lifecycle.ReasonTargetUnreachable && !w.late",
	},
	{
		name: "late_requests_before_others", file: "state/schedule/order.go", pkg: scheduleTests, args: only("TestLateBehindOthers"),
		old: "		key += float64(lateOffset)\n", fault: "		key -= float64(lateOffset)\n",
	},
	{
		name: "late_requests_held_in_overload", file: lateFile, pkg: scheduleTests, args: only("TestLateRequests"),
		old: "	if spare <= 0 {\n		return wait, false\n", fault: "	if spare <= 0 {\n		return wait, true\n",
	},
	{
		name: "late_requests_held_for_too_long", file: lateFile, pkg: scheduleTests, args: only("TestLateRequests"),
		old: "return wait, t+wait+w.idleNS <= w.deadline", fault: "return wait, true",
	},
	{
		name: "late_requests_count_as_new", file: groupFile, pkg: scheduleTests, args: only("TestLateBehindOthers"),
		old: "if !a.Resume && !a.Spill && !a.Late {", fault: "if !a.Resume && !a.Spill {",
	},
	{
		name: "plain_requests_take_no_time", file: queueFile, pkg: scheduleTests, args: only("TestPlainRequestsInTime"),
		old: "w.idleNS = int64(g.serviceNS)", fault: "w.idleNS = 0",
	},
	{
		name: "lost_result_speaks_against_the_decoder", file: "state/schedule/result.go", pkg: scheduleTests, args: only("TestLostResults"),
		old: "return gr.reuse || g.engines[gr.prefill].resultBreaker.Suspect()", fault: "return false",
	},
	{
		name: "lost_result_leaves_engines_full", file: "state/schedule/result.go", pkg: scheduleTests, args: only("TestLostResults"),
		old: "e.fullUntil, e.unaccountedTokens = 0, 0", fault: "_, _ = e.fullUntil, e.unaccountedTokens",
	},
	{
		name: "callers_who_return_count_as_new", file: "coordination/relay/relay.go", pkg: "./coordination/relay", args: only("TestAgeOfReturningCallers"),
		old: "return r.patience[route].Age(wait)", fault: "return 0",
	},
	{
		name: "shorter_patience_counts_as_a_return", file: "state/estimate/patience.go", pkg: "./state/estimate", args: only("TestPatience"),
		old: "		if v.wait == remaining {\n			return 0\n		}\n", fault: "",
	},
	{
		name: "lost_plain_slots_kept", file: "coordination/home/home.go", pkg: "./coordination/home", args: only("TestOldGrantsAreChecked"),
		old: "		if g.Plain() {\n", fault: "		if false {\n",
	},
	{
		name: "change_of_any_length_unpacked", file: "box/delta.go", pkg: "./box", args: only("TestBadDeltas"),
		old: "	if len(text) > maxDelta {\n", fault: "	if len(text) < 0 {\n",
	},
	{
		name: "newer_table_asked_for_at_once", file: passTableFile, pkg: "./coordination/follow", args: only("TestNewerTablesAreAskedFor"),
		old: "waited := !f.gateOpen || now.Sub(f.behindSince) >= pullGrace", fault: "waited := !f.gateOpen || now.Sub(f.behindSince) >= 0*pullGrace",
	},
	{
		name: "prefill_without_slot", file: queueFile, pkg: scheduleTests, args: only("TestNoPrefillWithoutSlot"),
		old: "v.DeferDecode = !g.cfg.GrowingMemory && ", fault: "v.DeferDecode = ",
	},
	{
		name: "refused_by_own_length", file: memoryFile, pkg: scheduleTests, args: only("TestNoLengthStarves"),
		old:   "forecast{}.with(g.meanAsk.atMost(a), ",
		fault: "forecast{}.with(requestMemory{heldTokens: a.PromptTokens, expectedOutput: a.OutputTokens}, ",
	},
	{
		name: "grants_of_earlier_process_kept", file: groupFile, pkg: scheduleTests, args: only("TestDropBefore"),
		old: "a.ID.Request.Incarnation < start", fault: "a.ID.Request.Incarnation < 0",
	},
	{
		name: "starts_not_looked_at", file: homeConfigureFile, pkg: "./coordination/home", args: only("TestLostProcesses"),
		old: "		h.dropBefore(box, start)\n", fault: "		_, _ = box, start\n",
	},
	{
		name: "update_with_a_gap", file: updateFile, pkg: "./state/directory", args: only("TestOracleUpdates"),
		old: "return n.Whole || n.After <= d.at", fault: "return true",
	},
	{
		name: "lapsed_entries_are_gone", file: directoryFile, pkg: "./state/directory", args: only("TestGrace"),
		old: "c.Gone && !c.Overwritten && now.Before(ends)", fault: "false && now.Before(ends)",
	},
	{
		name: "overwritten_entry_has_grace", file: directoryFile, pkg: "./state/directory", args: only("TestGrace"),
		old: "c.Gone && !c.Overwritten && now.Before(ends)", fault: "c.Gone && now.Before(ends)",
	},
	{
		name: "grace_without_end", file: "state/directory/grace.go", pkg: "./state/directory", args: only("TestGrace"),
		old: "if !w.InGrace || now.Before(w.GraceEnds) {", fault: "if true {",
	},
	{
		name: "grace_extended_by_another", file: "state/directory/grace.go", pkg: discoverTests, args: only("TestEndpointThatLeftStaysInUseOverSeveralOutages"),
		old: "now.Before(w.GraceEnds)", fault: "now.Before(d.graceUntil)",
	},
	{
		name: "grace_without_outage", file: outageFile, pkg: discoverTests, args: only("TestEntriesMayLapseInAnOutage"),
		old: "if !failed || away < minOutage {", fault: "if _ = failed; away < minOutage {",
	},
	{
		name: "lost_watch_is_an_outage", file: outageFile, pkg: discoverTests, args: only("TestEntriesMayLapseInAnOutage"),
		old: "minFailures = 2", fault: "minFailures = 1",
	},
	{
		name: "suspension_is_an_outage", file: outageFile, pkg: discoverTests, args: only("TestEntriesMayLapseInAnOutage"),
		old: "if took > bound+maxOverrun {", fault: "if false {",
	},
	{
		name: "lost_watch_is_repeated", file: "coordination/discover/discover.go", pkg: discoverTests, args: only("TestLostWatchHidesAChange"),
		old: "atOnce = err != nil && !whole && !decision.AtOnce", fault: "atOnce = false",
	},
	{
		name: "lost_platform_covers", file: shareFile, pkg: discoverTests, args: only("TestUpdatesThatCoverNobody"),
		old: "covers := u.At >= d.known.At() && !u.Lost", fault: "covers := u.At >= d.known.At()",
	},
	{
		name: "every_box_tells", file: shareFile, pkg: discoverTests, args: only("TestUpdatesReachEveryBoxOnce"),
		old: "d.cfg.Peers == nil || !d.decide(time.Now()).Announce", fault: "d.cfg.Peers == nil",
	},
	{
		name: "missed_update_not_asked_for", file: "coordination/discover/gap.go", pkg: discoverTests, args: only("TestMissedUpdatesAreAskedFor"),
		old: "	d.cfg.Peers.SendUpdatePull(from, have)\n", fault: "	_ = have\n",
	},
	{
		name: "silence_covers", file: coverFile, pkg: coverTests, args: only("TestFleet"),
		old: "deadline = deadline.Add(Validity)", fault: "deadline = deadline.Add(100 * Validity)",
	},
	{
		name: "all_read_at_once_when_readers_fall_silent", file: coverFile, pkg: coverTests, args: only("TestFleet"),
		old: "time.Duration(max(p.standby()+1, 0))*takeoverStep", fault: "0*takeoverStep",
	},
	{
		name: "all_try_while_the_platform_is_lost", file: coverFile, pkg: coverTests, args: only("TestFleet"),
		old: "time.Duration(chance*float64(maxDelay))", fault: "time.Duration(0*chance*float64(maxDelay))",
	},
	{
		name: "stand_in_for_ever", file: coverFile, pkg: coverTests, args: only("TestReadersTakeOverAgain"),
		old: "if c.standIn && (origin.Rank < 0 || origin.Rank > own.Rank) {", fault: "if c.standIn {",
	},
	{
		name: "every_box_reads_until_it_knows_others", file: coverFile, pkg: coverTests, args: only("TestStart"),
		old: "p.Boxes <= 1 && now.Sub(c.started) < startTime", fault: "p.Boxes < 0 && now.Sub(c.started) < startTime",
	},
	{
		name: "stand_ins_flood", file: coverFile, pkg: coverTests, args: only("TestPasses"),
		old: "return origin.Reader() ||", fault: "return true ||",
	},
	{
		name: "entry_written_at_each_start", file: registryFile, pkg: registryTests, args: only("TestBoxThatIsMissingJoinsAgain"),
		old: "	if !k.hasCurrentEntry(ctx) {\n", fault: "	if true {\n",
	},
	{
		name: "dead_box_whatever_it_wrote", file: registryFile, pkg: registryTests, args: only("TestDeadBoxesAreTakenOff"),
		old: "k.cfg.Platform.Remove(call, b.Name, b.Version)", fault: "k.cfg.Platform.Remove(call, b.Name, 0)",
	},
	{
		name: "every_box_takes_dead_ones_off", file: registryFile, pkg: registryTests, args: only("TestDeadBoxesAreTakenOff"),
		old: "len(order) == 0 || order[0] != k.cfg.Self.Name", fault: "len(order) == 0",
	},
}
