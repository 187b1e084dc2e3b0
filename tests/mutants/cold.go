// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

const (
	paceFile          = "state/pace/pace.go"
	windowFile        = "state/pace/window.go"
	schedulePaceFile  = "state/schedule/pace.go"
	directoryColdFile = "state/directory/cold.go"
	relayPacedFile    = "coordination/relay/paced.go"
	countedFile       = "state/pace/counted.go"
	homeColdFile      = "coordination/home/cold.go"
	homeRouterFile    = "coordination/home/router.go"

	paceTests  = "./state/pace"
	homeTests  = "./coordination/home"
	relayTests = "./coordination/relay"
)

var paceOracle = []string{"-run", "TestOracle$", "-rapid.checks=3000", "-rapid.nofailfile"}

// coldMutants are faults in the limits on requests to cold endpoints.
var coldMutants = []mutant{
	{
		name: "new_home_gives_all", file: paceFile, pkg: paceTests, args: paceOracle,
		old: "		share = newShare\n", fault: "		share = homeShare\n",
	},
	{
		name: "home_settles_at_once", file: paceFile, pkg: paceTests, args: paceOracle,
		old: "settleTime = viewSpread + OpenTimeout + time.Second", fault: "settleTime = viewSpread",
	},
	{
		name: "open_requests_forgotten_by_the_next_home", file: paceFile, pkg: paceTests, args: paceOracle,
		old: "settleTime = viewSpread + OpenTimeout + time.Second", fault: "settleTime = viewSpread + time.Second",
	},
	{
		name: "new_home_gives_at_once", file: paceFile, pkg: paceTests, args: only("TestGroupSplitAndRejoined"),
		old: "quietTime = Span\n", fault: "quietTime = 0\n",
	},
	{
		name: "each_side_of_a_cut_gives_all", file: paceFile, pkg: paceTests, args: paceOracle,
		old: "*share*part + rounding", fault: "*share + 0*part + rounding",
	},
	{
		name: "lag_not_counted", file: windowFile, pkg: paceTests, args: paceOracle,
		old: "Span = time.Second + MaxSendDelay", fault: "Span = time.Second",
	},
	{
		name: "open_requests_not_counted", file: windowFile, pkg: paceTests, args: paceOracle,
		old: "		if now-granted < OpenTimeout+Span {\n			count++", fault: "		if false && now-granted < OpenTimeout+Span {\n			count++",
	},
	{
		name: "open_request_counts_from_its_grant", file: windowFile, pkg: paceTests, args: paceOracle,
		old: "return w.WithSent(min(now, granted+OpenTimeout))", fault: "return w.WithSent(min(now, granted))",
	},
	{
		name: "cold_engines_not_held_back", file: schedulePaceFile, pkg: scheduleTests, args: only("TestOraclePace"),
		old: "		if v.Paced {\n			v.Prefill", fault: "		if false {\n			v.Prefill",
	},
	{
		name: "decode_of_cold_engines_not_counted", file: schedulePaceFile, pkg: scheduleTests, args: only("TestOraclePace"),
		old: "		e.pacedWindow = e.pacedWindow.WithOpen(time.Duration(gr.grantedAt))\n	}\n}", fault: "		_ = pace.Window{}\n	}\n}",
	},
	{
		name: "withdrawn_requests_count_no_more", file: schedulePaceFile, pkg: scheduleTests, args: only("TestOraclePace"),
		old: "	if gr, ok := g.grants[id]; ok {\n		gr.decodeUnsent = false\n", fault: "	if gr, ok := g.grants[id]; ok {\n		g.noteDecodeSent(gr.grantedAt, gr)\n",
	},
	{
		name: "cold_speed_learnt_for_warm_engines", file: schedulePaceFile, pkg: scheduleTests, args: only("TestColdSpeed"),
		old: "	if e.warmSpeed.prefill.Seen() > 0 {\n", fault: "	if false {\n",
	},
	{
		name: "new_engines_forget_what_they_learnt", file: schedulePaceFile, pkg: scheduleTests, args: only("TestColdSpeed"),
		old: "	if e.warmSpeed.step.Seen() > 0 {\n", fault: "	if true {\n",
	},
	{
		name: "earlier_grants_not_counted", file: schedulePaceFile, pkg: scheduleTests, args: only("TestEarlierGrantsCountForAnEngineThatTurnsCold"),
		old: "			g.seedPacedWindow(t, i)\n", fault: "",
	},
	{
		name: "pace_not_in_the_forecast", file: refuseFile, pkg: scheduleTests, args: only("TestRefusalForPaceIsTrue"),
		old: "return max(g.capacityWaitNS(w, t), g.paceWaitNS(w, t))", fault: "return g.capacityWaitNS(w, t)",
	},
	{
		name: "each_word_extends_a_cold_spell", file: directoryColdFile, pkg: "./state/directory", args: only("TestColdEnd"),
		old: "	case e.ColdFor == w.ColdFor && now.Before(w.ColdUntil):\n		return w.ColdUntil\n", fault: "",
	},
	{
		name: "second_cold_spell_lost", file: directoryColdFile, pkg: "./state/directory", args: only("TestColdEnd"),
		old: "	case e.ColdFor > w.ColdFor:\n", fault: "	case false:\n",
	},
	{
		name: "new_endpoint_is_warm", file: directoryColdFile, pkg: "./state/directory", args: only("TestColdEnd"),
		old: "w.StartedAt.Add(start)", fault: "w.StartedAt",
	},
	{
		name: "alone_box_sends_to_cold_endpoints", file: "coordination/relay/where.go", pkg: relayTests, args: only("TestAloneLeavesColdEndpointsOut"),
		old: "case h.isPaced(w.ID):", fault: "case false:",
	},
	{
		name: "late_grant_sent", file: countedFile, pkg: relayTests, args: only("TestSendsToColdEndpoints"),
		old: "return c.Prefill && now.Sub(c.Granted) <= SendWithin", fault: "return c.Prefill",
	},
	{
		name: "uncounted_request_sent", file: relayPacedFile, pkg: relayTests, args: only("TestSendsToColdEndpoints"),
		old: "return !h.counted.Decode && !h.isPaced(id) ||", fault: "return !h.counted.Decode ||",
	},
	{
		name: "frozen_home_goes_on", file: homeColdFile, pkg: homeTests, args: only("TestColdEndpointsOfAHome"),
		old: "		c.resumed = now\n", fault: "		_ = now\n",
	},
	{
		name: "returned_home_is_an_old_one", file: homeRouterFile, pkg: homeTests, args: only("TestHomeFor"),
		old: "			out[key] = now\n", fault: "			out[key] = now.Add(-10 * time.Second)\n",
	},
	{
		name: "former_home_goes_on_for_ever", file: homeRouterFile, pkg: homeTests, args: only("TestHomeFor"),
		old: "case had && now.Sub(last.ended) <= pace.ReturnTime:", fault: "case had:",
	},
	{
		name: "grants_of_an_ended_group_forgotten", file: "coordination/home/configure.go", pkg: homeTests, args: only("TestGrantsOfARestartedGroup"),
		old: "	cfg.PacedWindows = h.cold.endedGrants\n", fault: "",
	},
	{
		name: "engines_of_other_groups_are_new", file: homeRouterFile, pkg: homeTests, args: only("TestHomeFor"),
		old: "case !known && !ended && !partsChanged:", fault: "case !known && (true || ended) && !partsChanged:",
	},
	{
		name: "parts_of_a_zone_cut_anew_go_on", file: homeRouterFile, pkg: homeTests, args: only("TestHomeOfAZoneSplitAnew"),
		old: "case own && !partsChanged:", fault: "case own:",
	},
	{
		name: "zone_taken_back_is_warm", file: "state/directory/drained.go", pkg: "./state/directory", args: only("TestZonesTakenBack"),
		old: "next = next.WithStart(now)", fault: "_ = now",
	},
}
