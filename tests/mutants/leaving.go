// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

// leavingMutants are faults by which requests reach endpoints that left.
var leavingMutants = []mutant{
	{
		name: "departure_during_dial", file: "transport/upstream/upstream.go", pkg: "./tests/routed", args: only("TestRequestIsSentAfterItsEndpointLeftDuringTheDial"),
		old: "if call.MaySend != nil && !call.MaySend() {", fault: "if false {",
	},
	{
		name: "dial_is_not_in_the_deadline", file: "transport/upstream/upstream.go", pkg: "./transport/upstream", args: only("TestDeadlineContainsTheTimeOfTheDial"),
		old: "call.Remaining-time.Since(begin)", fault: "call.Remaining-0*time.Since(begin)",
	},
	{
		name: "engine_leaving_by_the_table", file: "coordination/dispatch/paced.go", pkg: "./coordination/dispatch", args: only("TestOrderIsSentToAnEngineThatLeftAfterItsGrant"),
		old: "known && e.Leaving", fault: "known && false && e.Leaving",
	},
	{
		name: "order_not_checked_after_the_dial", file: "transport/httpcall/httpcall.go", pkg: "./transport/httpcall",
		old: "if err := adapter.CheckSend(ctx); err != nil {", fault: "if err := adapter.CheckSend(ctx); false {",
	},
	{
		name: "orders_without_a_check", file: "coordination/dispatch/paced.go", pkg: "./coordination/dispatch", args: only("TestOrderIsSentToAnEngineThatLeftAfterItsGrant"),
		old: "return adapter.WithSendCheck(ctx, func() string { return d.leaving(engine) })", fault: "_ = adapter.WithSendCheck\n\treturn ctx",
	},
	{
		name: "start_at_another_address_stays_replaced", file: directoryFile, pkg: "./state/directory", args: only("TestEndpointThatStartedAgainStaysReplaced"),
		old: "old.Replaced && (c.Gone || c.Entry.Born == old.Born && c.Entry.Address == old.Address)", fault: "old.Replaced",
	},
	{
		name: "former_address_replaces_a_start", file: directoryFile, pkg: "./state/directory", args: only("TestEndpointThatStartedAgainStaysReplaced"),
		old: "w.Replaced || w.Address != address", fault: "w.Replaced || address == \"\"",
	},
}
