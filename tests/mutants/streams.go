// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

// streamMutants are faults by which a stream goes on at another software version, or not at all.
var streamMutants = []mutant{
	{
		name: "any_version_is_granted", file: "state/schedule/queue.go", pkg: "./state/schedule", args: only("TestStreamGoesOnOnlyAtItsSoftwareVersion"),
		old: " && a.mayDecodeOn(e.spec)", fault: "",
	},
	{
		name: "version_without_engines_is_waited_for", file: "state/schedule/refuse.go", pkg: "./state/schedule", args: only("TestStreamGoesOnOnlyAtItsSoftwareVersion"),
		old: " && a.mayDecodeOn(e.spec)", fault: "",
	},
	{
		name: "resumed_stream_waits_for_ever", file: "state/schedule/order.go", pkg: "./state/schedule", args: only("TestResumedStreamWaitsUntilItsDeadline"),
		old: "return w.giveUpAt > 0 && now+w.idleNS > w.giveUpAt", fault: "return false",
	},
	{
		name: "home_decides_on_the_version", file: "coordination/relay/exchange.go", pkg: "./coordination/relay", args: only("TestHomeNamesAnEngineOfAnotherSoftwareVersion"),
		old: "if w, known := h.relay.cfg.Directory.Directory().Status(plan.Decode); known && !h.softwareSuits(w) {", fault: "if false {",
	},
	{
		name: "placed_alone_at_any_version", file: "coordination/relay/where.go", pkg: "./coordination/relay", args: only("TestStreamIsPlacedWithoutAHomeAtAnotherSoftwareVersion"),
		old: "case !ok, !h.softwareSuits(w):", fault: "case !ok:",
	},
	{
		name: "caller_who_returns_is_new", file: "coordination/relay/software.go", pkg: "./tests/routed", args: only("TestStreamMixesSoftwareVersionsAfterItsCallerReturns"),
		old: "	h.software = found.Software\n", fault: "",
	},
	{
		name: "rest_of_the_answer_is_not_bound", file: "coordination/relay/answer.go", pkg: "./tests/routed", args: only("TestStreamMixesSoftwareVersionsInOneAnswer"),
		old: "				h.noteFirstEvent(id)\n", fault: "",
	},
	{
		name: "origin_is_recorded_when_sent", file: "coordination/relay/exchange.go", pkg: "./coordination/relay", args: only("TestOriginOfAFailedSendIsRecorded"),
		old: "	h.noteTakenUp()\n", fault: "	w, _ := h.relay.cfg.Directory.Directory().Status(id)\n	h.software = w.Version\n	h.recordOrigin(h.request.ID)\n	h.software = \"\"\n",
	},
	{
		name: "completion_goes_on_anywhere", file: "coordination/dispatch/orders.go", pkg: "./tests/integration", args: only("TestCompletionMixesSoftwareVersions"),
		old: "if unsuited = !streams.Suits(bound, software); unsuited {", fault: `if unsuited = !streams.Suits("", software); unsuited {`,
	},
	{
		name: "forgotten_box_never_greets", file: "transport/boxnet/boxnet.go", pkg: "./transport/boxnet", args: only("TestBrokenConnectionLeavesAPeerWithoutVersion"),
		old: "	n.greetBack(hello)\n", fault: "",
	},
	{
		name: "last_engine_of_a_version_prefills", file: "state/stages/stages.go", pkg: "./state/stages", args: only("TestLastDecodeEngineOfASoftwareVersionPrefills"),
		old: " || len(decodes) > 1 && decodes[e.Software] == 1", fault: "",
	},
	{
		name: "origins_stay_at_one_box", file: "coordination/streams/streams.go", pkg: "./coordination/streams", args: only("TestFind"),
		old: "if box != k.cfg.Self && len(told) < copies {", fault: "if false {",
	},
	{
		name: "origins_are_not_written", file: "coordination/streams/batches.go", pkg: "./coordination/streams", args: only("TestStreamsAreLostWithAllBoxes"),
		old: "		writer.write(ctx, longest)\n", fault: "",
	},
	{
		name: "written_origins_are_not_read", file: "coordination/streams/streams.go", pkg: "./coordination/streams", args: only("TestStreamsAreLostWithAllBoxes"),
		old: "found.Unread = !k.restore(ctx)", fault: "found.Unread = false",
	},
	{
		name: "unread_origins_are_final", file: "coordination/streams/batches.go", pkg: "./coordination/streams", args: only("TestStreamsAreLostWithAllBoxes"),
		old: "		return restored.Equal(tried)\n", fault: "		return !restored.After(now)\n",
	},
	{
		name: "box_that_started_reads_no_origins", file: "coordination/streams/batches.go", pkg: "./coordination/streams", args: only("TestStreamIsLostInASeriesOfRestarts"),
		old: "several && restored.IsZero()", fault: "several && restored.IsZero() && false",
	},
	{
		name: "origins_of_earlier_streams_are_not_written", file: "coordination/streams/batches.go", pkg: "./coordination/streams", args: only("TestStreamsAreLostWithAllBoxes"),
		old: "since: k.cfg.Now().Add(-longest)", fault: "since: k.cfg.Now()",
	},
	{
		name: "newest_batch_is_overwritten", file: "coordination/streams/batches.go", pkg: "./coordination/streams", args: only("TestStreamsAreLostWithAllBoxes"),
		old: "return cmp.Compare(w.revisions[a], w.revisions[b]) })", fault: "return cmp.Compare(w.revisions[b], w.revisions[a]) })",
	},
	{
		name: "origins_are_written_for_one_version", file: "coordination/streams/batches.go", pkg: "./coordination/streams", args: only("TestOriginsAreWrittenWithoutNeed"),
		old: "if len(view.Versions) > 1 {", fault: "if len(view.Versions) > 0 {",
	},
	{
		name: "keys_are_cut_short", file: "platform/software.go", pkg: "./platform", args: only("TestUnreadableBatchHidesOrigins"),
		old: "if len(keys)%keyBytes != 0 || software == \"\" {", fault: "if software == \"\" {",
	},
	{
		name: "box_that_started_knows_all_versions", file: "state/streams/streams.go", pkg: "./state/streams", args: only("TestOnly"),
		old: "case len(all) == 1 && complete:", fault: "case len(all) == 1:",
	},
	{
		name: "ended_versions_are_forgotten", file: "state/directory/directory.go", pkg: "./state/directory", args: only("TestVersions"),
		old: "d.withEndedVersions(now, changed).with(changed)", fault: "d.with(changed)",
	},
	{
		name: "versions_seen_once_are_dropped", file: "coordination/streams/history.go", pkg: "./coordination/streams", args: only("TestSoftwareVersionsAreWritten"),
		old: "if !view.Complete {", fault: "if false {",
	},
}
