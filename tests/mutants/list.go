// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

const lifecycleFile = "state/lifecycle/machine.go"

const keeperFile = "coordination/dedup/keeper.go"

var dedupArgs = []string{"-rapid.checks=150000", "-rapid.nofailfile"}

var lifecycleArgs = []string{"-rapid.checks=20000", "-rapid.nofailfile"}

// protocolMutants are faults in the life cycle of requests and in the deduplication of repeated ones.
var protocolMutants = []mutant{
	{
		name: "not_run_while_in_flight", file: lifecycleFile, pkg: "./state/lifecycle", args: lifecycleArgs,
		old: "m.Ran == MayHaveRun || inFlight:", fault: "m.Ran == MayHaveRun && inFlight:",
	},
	{
		name: "token_of_older_attempt", file: lifecycleFile, pkg: "./state/lifecycle", args: lifecycleArgs,
		old: "ev.Attempt != m.Attempt || !generating || ev.Index < m.Emitted", fault: "!generating || ev.Index < m.Emitted",
	},
	{
		name: "earlier_run_forgotten", file: lifecycleFile, pkg: "./state/lifecycle", args: lifecycleArgs,
		old: "m.Ran = max(m.Ran, ev.Ran)", fault: "m.Ran = ev.Ran",
	},
	{
		name: "once_runs_again", file: lifecycleFile, pkg: "./state/lifecycle", args: lifecycleArgs,
		old: "if m.Once && m.Ran != NotRun {", fault: "if m.Once && m.Ran == NotRun {",
	},
	{
		name: "token_twice", file: lifecycleFile, pkg: "./state/lifecycle", args: lifecycleArgs,
		old: "!generating || ev.Index < m.Emitted", fault: "!generating",
	},
	{
		name: "holds_left", file: lifecycleFile, pkg: "./state/lifecycle", args: lifecycleArgs,
		old: "if h != m.Kept {", fault: "if h == m.Kept {",
	},
	{
		name: "answered_again", file: lifecycleFile, pkg: "./state/lifecycle", args: lifecycleArgs,
		old: "if m.Phase.Ended() {", fault: "if m.Phase == Finished {",
	},
	{
		name: "record_undone_by_repeat", file: keeperFile, pkg: "./coordination/dedup", args: dedupArgs,
		old: "\t\tk.store.Confirm(c.Record.Key, c.Record.Owner)\n\t}\n\tk.cfg", fault: "\t}\n\tk.cfg",
	},
	{
		name: "copy_undone_by_claim", file: keeperFile, pkg: "./coordination/dedup", args: dedupArgs,
		old: "\t\tk.store.Confirm(c.Record.Key, c.Record.Owner)\n\t\t// The first", fault: "\t\t// The first",
	},
	{
		name: "answer_of_earlier_process", file: keeperFile, pkg: "./coordination/dedup", args: dedupArgs,
		old: "sequence: cfg.Incarnation << incarnationShift,", fault: "sequence: cfg.Incarnation >> 62,",
	},
	{
		name: "lost_records_forgotten", file: keeperFile, pkg: "./coordination/dedup", args: dedupArgs,
		old: "if !covered && c.Record.Once && !replaced {", fault: "if !covered && c.Record.Once && replaced {",
	},
	{
		name: "one_copy_only", file: keeperFile, pkg: "./coordination/dedup", args: dedupArgs,
		old: "if i < 0 {\n\t\tk.decide", fault: "if i < 9 {\n\t\tk.decide",
	},
	{
		name: "second_box_not_asked_who_it_is", file: "state/dedup/dedup.go", pkg: "./coordination/dedup", args: dedupArgs,
		old: "if !slices.Contains(s.Holders(r.Key), s.self) {", fault: "if len(s.Holders(r.Key)) == 0 {",
	},
}
