// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

// pathMutants are faults by which a box that does not reach an endpoint fails its callers, or others'.
var pathMutants = []mutant{
	{
		name: "no_way_through_others", file: "box/routed.go", pkg: "./tests/routed", args: only("TestBoxThatLostItsLinksToEndpointsFailsItsCallers"),
		old: "		Peers:   tunnelPeers{b},\n", fault: "",
	},
	{
		name: "tunnel_end_looks_complete", file: "transport/boxnet/tunnel.go", pkg: "./transport/boxnet", args: only("TestTunnelMakesCutAnswersLookComplete"),
		old: "return 0, io.ErrUnexpectedEOF", fault: "return 0, io.EOF",
	},
	{
		name: "lost_requests_of_one_box_count", file: "state/health/observers.go", pkg: "./state/health", args: only("TestLostRequestsOfOneBoxCountForAll"),
		old: "return o, others > 0 || !o.AnsweredElsewhere(now, box)", fault: "return o, true",
	},
	{
		name: "one_box_ejects_for_all", file: "state/schedule/learn.go", pkg: "./state/schedule", args: only("TestEngineLostByOneBoxIsEjectedForAll"),
		old: "if r.Unreachable && (r.OthersUnreached > 0 || !e.observers.AnsweredElsewhere(now, box)) {", fault: "if r.Unreachable {",
	},
	{
		name: "tunnels_through_any_region", file: "state/path/peer.go", pkg: "./state/path", args: only("TestBoundRequestsCrossRegionsThatNeitherEndIsIn"),
		old: "!n.near(p) && !n.Allowed.Permits(p.Region)", fault: "p.Name == n.Box",
	},
	{
		name: "region_without_links_stays_alone", file: "state/path/peer.go", pkg: "./state/path", args: only("TestBoundRequestsCrossRegionsThatNeitherEndIsIn"),
		old: "!n.near(p) && !n.Allowed.Permits(p.Region)", fault: "!n.near(p)",
	},
	{
		name: "zone_without_links_is_asked_first", file: "state/path/peer.go", pkg: "./state/path", args: only("TestZoneWithoutLinksIsAskedBeforeAllOthers"),
		old: "inZone[p.Zone] / zonePeers", fault: "0",
	},
	{
		name: "lost_peers_are_forgotten_at_once", file: "transport/upstream/path.go", pkg: "./transport/upstream", args: only("TestLostPathsHangWhileFewPeersReachTheEndpoint"),
		old: "failedPeerTime = 5 * time.Second", fault: "failedPeerTime = time.Second",
	},
	{
		name: "same_lost_peers_are_asked_again", file: "state/path/peer.go", pkg: "./state/path", args: only("TestSameLostPeersAreAskedAgain"),
		old: "a.FailedAt.Compare(b.FailedAt), ", fault: "",
	},
	{
		name: "path_that_hangs_is_waited_for", file: "transport/upstream/race.go", pkg: "./transport/upstream", args: only("TestConnectHangsOnLostPaths"),
		old: "		case <-headStart.C:\n			begin()\n", fault: "",
	},
	{
		name: "stop_cuts_tunnels", file: "box/box.go", pkg: "./tests/routed", args: only("TestStopOfTheBoxBetweenCutsOffRequests"),
		old: "b.routed.server.Delivering() + b.net.Tunnels()", fault: "b.routed.server.Delivering()",
	},
	{
		name: "refusal_of_one_box_is_an_end", file: "transport/upstream/check.go", pkg: "./tests/routed", args: only("TestEndpointThatRefusesOneBoxCountsAsEnded"),
		old: "	if len(tries) == 0 {\n		return err\n", fault: "	if len(tries) >= 0 {\n		return err\n",
	},
}
