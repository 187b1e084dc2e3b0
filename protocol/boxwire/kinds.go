// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

// Kinds is the number of kinds, counting 0, which means none.
const Kinds = int(kindEnd)

var kindNames = [Kinds]string{
	KindHello:       "hello",
	KindAsk:         "ask",
	KindGrant:       "grant",
	KindRefuse:      "refuse",
	KindSlot:        "slot",
	KindPrefilled:   "prefilled",
	KindDone:        "done",
	KindWithdraw:    "withdraw",
	KindMember:      "member",
	KindAdopt:       "adopt",
	KindCheck:       "check",
	KindQueued:      "queued",
	KindChange:      "change",
	KindPull:        "pull",
	KindClaim:       "claim",
	KindReply:       "reply",
	KindCopy:        "copy",
	KindCopied:      "copied",
	KindJoin:        "join",
	KindPiece:       "piece",
	KindUpdate:      "update",
	KindUpdatePull:  "update_pull",
	KindQuotaAsk:    "quota_ask",
	KindQuotaAnswer: "quota_answer",
	KindDrained:     "drained",
	KindDrainedPull: "drained_pull",

	KindSuspects:     "suspects",
	KindSuspectsPull: "suspects_pull",

	KindLimits: "limits",

	KindTunnel:      "tunnel",
	KindTunnelReply: "tunnel_reply",
	KindTunnelData:  "tunnel_data",

	KindOrigin:         "origin",
	KindOriginQuestion: "origin_question",
	KindOriginAnswer:   "origin_answer",

	KindEcho: "echo",
}

// String returns the name of the kind for logs and metrics.
func (k Kind) String() string {
	if int(k) >= Kinds || kindNames[k] == "" {
		return "unknown"
	}
	return kindNames[k]
}
