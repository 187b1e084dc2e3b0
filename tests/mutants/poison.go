// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

const (
	blockFile    = "state/poison/block.go"
	ledgerFile   = "state/poison/ledger.go"
	checkFile    = "coordination/quarantine/check.go"
	suspectsFile = "coordination/quarantine/share.go"

	poisonTests     = "./state/poison"
	quarantineTests = "./coordination/quarantine"
)

// poisonMutants are faults in the detection and blocking of requests that crash endpoints.
var poisonMutants = []mutant{
	{
		name: "poison_explains_nothing", file: blockFile, pkg: poisonTests, args: only("TestBlocked"),
		old: "		explained = append(explained, found.Ends...)\n", fault: "",
	},
	{
		name: "poison_by_longest_run", file: blockFile, pkg: poisonTests, args: only("TestBlocked|TestOthersAreNotBlocked"),
		old: "cmp.Compare(e.ran, o.ran)", fault: "cmp.Compare(o.ran, e.ran)",
	},
	{
		name: "poison_although_answered", file: ledgerFile, pkg: poisonTests, args: only("TestBlocked"),
		old: "		e.Cleared = true\n", fault: "",
	},
	{
		name: "poison_answer_forgotten", file: ledgerFile, pkg: poisonTests, args: only("TestCountRestartsAfterAnswer|TestBoxesAgree"),
		old: "	e.Cleared = e.Cleared || o.Cleared\n", fault: "",
	},
	{
		name: "poison_not_renewed", file: ledgerFile, pkg: poisonTests, args: only("TestRepeatedSuspectIsKept"),
		old: "return l.With(now, Suspect{Fingerprint: f, Seen: now})", fault: "return l, nil",
	},
	{
		name: "poison_by_broken_connections", file: checkFile, pkg: quarantineTests, args: only("TestWhatEndsAnEndpoint"),
		old: "		c.state = stateListening\n", fault: "		k.markEnded(c, \"broken\")\n",
	},
	{
		name: "poison_behind_forwarders", file: "transport/reach/reach.go", pkg: "./transport/reach", args: only("TestListens"),
		old: "errors.Join(p.staysOpen(ctx, c), c.Close())", fault: "c.Close()",
	},
	{
		name: "poison_by_planned_ends", file: "coordination/quarantine/quarantine.go", pkg: quarantineTests, args: only("TestWhatEndsAnEndpoint"),
		old: "if !known || !status.Usable() && !status.Replaced {", fault: "if !known {",
	},
	{
		name: "poison_missed_for_ever", file: suspectsFile, pkg: quarantineTests, args: only("TestMissedEndsAreAskedFor"),
		old: "pull := digest != 0 && digest != k.digest", fault: "pull := false && digest != k.digest",
	},
	{
		name: "poison_not_passed_on", file: suspectsFile, pkg: quarantineTests, args: only("TestEndsAtDifferentBoxesBlockOnAll"),
		old: "if u.Origin != \"\" && len(news) > 0 {", fault: "if len(news) < 0 {",
	},
	{
		name: "poison_that_waited_is_sent", file: "coordination/relay/exchange.go", pkg: relayTests, args: only("TestPoisonReachesNoEndpoint"),
		old: "	case h.suspect().Poisonous():\n		return reasonPoison\n", fault: "",
	},
}

// partMutants are faults by which parts of prompts end endpoint after endpoint, or sound ones are blamed.
var partMutants = []mutant{
	{
		name: "parts_are_not_recorded", file: "coordination/quarantine/check.go", pkg: "./tests/routed", args: only("TestPartOfPromptsCrashesEngineAfterEngine"),
		old: "for _, part := range l.parts {", fault: "for _, part := range l.parts[:0] {",
	},
	{
		name: "any_part_of_a_group_blocks", file: "state/poison/block.go", pkg: "./state/poison", args: only("TestPartsThatEndEndpointsAreBlocked"),
		old: "			if s.alwaysWith(found) {", fault: "			if false {",
	},
	{
		name: "parts_stay_blocked", file: "state/poison/ledger.go", pkg: "./state/poison", args: only("TestPartsThatEndEndpointsAreBlocked"),
		old: "now.Sub(g.lastEnd) < retryParts", fault: "retryParts > 0",
	},
	{
		name: "one_request_blames_its_parts", file: "state/poison/block.go", pkg: "./state/poison", args: only("TestPartsThatEndEndpointsAreBlocked"),
		old: "compareBool(e.fingerprint.IsPart(), o.fingerprint.IsPart())", fault: "compareBool(o.fingerprint.IsPart(), e.fingerprint.IsPart())",
	},
	{
		name: "empty_stream_looks_whole", file: "coordination/relay/answer.go", pkg: "./tests/routed", args: only("TestUnframedStreamThatBreaksOffLooksWhole"),
		old: `case a.Unframed && first.IsZero() && (h.reply != nil || h.lastEvent == ""):`, fault: "case false:",
	},
	{
		name: "half_event_blames_nobody", file: "coordination/relay/answer.go", pkg: "./tests/routed", args: only("TestUnframedStreamThatBreaksOffLooksWhole"),
		old: `noteBreak(ctx, io.ErrUnexpectedEOF, result{kind: failed, endpoint: id, reason: "stream_ended_in_event"})`, fault: `noteBreak(ctx, io.ErrUnexpectedEOF, result{kind: failed, reason: "stream_ended_in_event"})`,
	},
	{
		name: "sound_parts_are_forgotten", file: "coordination/quarantine/check.go", pkg: "./coordination/quarantine", args: only("TestPartThatIsAnsweredIsBlamedForTheEndsOfOthers"),
		old: "k.isSound(part)", fault: "false",
	},
}
