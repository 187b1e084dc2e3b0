// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

const (
	relayAccountFile = "coordination/relay/account.go"
	quotaHomeFile    = "coordination/quota/home.go"
	quotaFile        = "state/quota/quota.go"
	quotaTests       = "./coordination/quota"
	leaseFile        = "coordination/stages/lease.go"
	orderFile        = "coordination/stages/order.go"
	stagesTests      = "./coordination/stages"
)

// stageMutants are faults in the orders that make engines change their stage.
var stageMutants = []mutant{
	{
		name: "lease_not_waited_out", file: leaseFile, pkg: stagesTests, args: only("TestOrders"),
		old: "return 2*r.Lease + r.Thaw + callTimeout", fault: "return 0*(2*r.Lease+r.Thaw) + callTimeout",
	},
	{
		name: "own_lease_taken_for_waited_out", file: leaseFile, pkg: stagesTests, args: only("TestOrders"),
		old: "	if found.Revision == 0 {", fault: "	if found.Revision == 0 || found.Holder == k.cfg.Self {",
	},
	{
		name: "order_after_the_lease", file: orderFile, pkg: stagesTests, args: only("TestOrders"),
		old: "if !time.Now().Before(until) {", fault: "if time.Now().IsZero() {",
	},
	{
		name: "order_again_after_a_lost_answer", file: orderFile, pkg: stagesTests, args: only("TestOrders"),
		old: "k.unanswered[e.ID] = time.Now().Add(unansweredFor)", fault: "k.unanswered[e.ID] = time.Now().Add(0 * unansweredFor)",
	},
	{
		name: "two_orders_at_a_time", file: orderFile, pkg: stagesTests, args: manyCases("TestOracleHolders"),
		old: "if k.ordering[engine] || ", fault: "if ",
	},
	{
		name: "orders_of_an_earlier_home_forgotten", file: orderFile, pkg: stagesTests, args: only("TestEnginesOfAnEarlierHome"),
		old: "case report.Changing || !report.Prefill:", fault: "case report.Changing && !report.Prefill:",
	},
	{
		name: "stage_of_an_engine_that_changes", file: "state/schedule/stage.go", pkg: "./state/schedule", args: only("TestStagesOfAGroup"),
		old: "e.spec.Prefill != changing,", fault: "e.spec.Prefill,",
	},
}

// accountMutants are faults in the handling of client accounts: their keys and quotas.
var accountMutants = []mutant{
	{
		name: "key_passed_on", file: relayExchangeFile, pkg: routedTests, args: only("TestKeysStayInside"),
		old: "if keyed || len(h.request.Credential.Opaque) == 0 {", fault: "if keyed && false || len(h.request.Credential.Opaque) == 0 {",
	},
	{
		name: "account_of_callers", file: "protocol/relayapi/relayapi.go", pkg: routedTests, args: only("TestKeys"),
		old: "n.Stage, n.Source, n.Account} {", fault: "n.Stage, n.Source} {",
	},
	{
		name: "key_not_checked_again", file: relayAccountFile, pkg: routedTests, args: only("TestKeyTakenAway"),
		old: "if a == nil && !anonymous {\n		return true", fault: "if a == nil && !anonymous {\n		return false",
	},
	{
		name: "unknown_key_refused_for_good", file: "coordination/follow/confirm.go", pkg: routedTests, args: only("TestUnknownKeyOfABoxThatIsBehind"),
		old: "return !f.newestNamed.NewerThan(f.table.Stamp()) && age", fault: "return age",
	},
	{
		name: "two_keys_taken", file: "transport/relayhttp/credential.go", pkg: routedTests, args: only("TestKeys"),
		old: "if len(fields) != 1 {", fault: "if len(fields) < 1 {",
	},
	{
		name: "key_in_a_table", file: "platform/tenant.go", pkg: "./platform", args: only("TestAccounts"),
		old: "*k = keySpec(account.DigestOf([]byte(key)).Hex())", fault: "*k = keySpec(key + account.DigestOf(nil).Hex()[len(key):])",
	},
	{
		name: "new_home_starts_full", file: quotaFile, pkg: "./state/quota", args: only("TestBucket"),
		old: "level: min(t.Start, t.Burst), at: now", fault: "level: t.Burst, at: now",
	},
	{
		name: "cut_off_home_gives_all", file: quotaFile, pkg: quotaTests, args: only("TestHalvesCutApart"),
		old: "if seen >= all {", fault: "if true {",
	},
	{
		name: "loans_never_end", file: "state/quota/purse.go", pkg: "./state/quota", args: only("TestPurse"),
		old: "if now >= p.expires {\n		p.balance = 0", fault: "if now >= 100*p.expires {\n		p.balance = 0",
	},
	{
		name: "second_does_not_find_out", file: quotaHomeFile, pkg: quotaTests, args: only("TestSecondInRank"),
		old: "if k.silent(ranked[0]) {", fault: "if true {",
	},
	{
		name: "late_answer_of_the_home_is_lost", file: "coordination/quota/admit.go", pkg: quotaTests, args: only("TestLateAnswerOfTheHomeIsLost"),
		old: "		v.From = k.choose(u.Account)\n", fault: "		v.From = k.choose(u.Account)\n		k.stopWaiting(u.ID)\n",
	},
	{
		name: "pause_not_noticed", file: "coordination/quota/quota.go", pkg: quotaTests, args: only("TestPausedHome"),
		old: "k.drop(name, \"own_pause\")", fault: "_ = name",
	},
	{
		name: "lent_and_not_counted", file: quotaFile, pkg: "./state/quota", args: only("TestBucket"),
		old: "	b.level -= more\n", fault: "",
	},
}
