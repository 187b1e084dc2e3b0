// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"time"

	"runridge.example/runridge/coordination/dedup"
	records "runridge.example/runridge/state/dedup"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/drain"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/member"
)

// golden returns a message of each kind that all recorded builds know, with the fields that all
// of them have. testdata/record.sh compiles this file in those builds too.
func golden() map[string]Message {
	about := About{Group: 0x90abcdef, Request: 0x12345678, Number: 3}
	request := lifecycle.RequestID{Box: "front-bog-a-1", Incarnation: 1_800_000_000_123, Sequence: 77}
	record := records.Record{Key: "key", Digest: 1 << 60, Owner: request, Once: true}
	box := member.Box{
		Name: "front-bog-b-2", Address: "10.1.0.36:7660", Zone: "bog-b",
		Start: 1_800_000_000_123, Incarnation: 1_800_000_000_124, State: member.Suspect,
	}
	entry := directory.Entry{
		ID: "i-29c12d8e", Service: "lm-porta", Address: "10.2.0.9:8061", Zone: "bog-b", Stage: directory.StageDecode,
		Slots: 24, Draining: true, ColdFor: 3 * time.Second,
	}
	ask := Ask{
		About: about, Account: 9, Priority: -2, PromptTokens: 5200, OutputTokens: 69, Marks: []uint32{7, 8}, MarkTokens: 256,
		WaitedMS: 4, DeadlineMS: 900, Resume: true, Avoid: []Ref{11, 12}, Kept: 13, PatienceMS: 288, Spill: true, Late: true,
		GiveUpMS: 4000, TravelMS: 9,
	}
	return map[string]Message{
		"hello":        &Hello{Box: "front-bog-a-1", Incarnation: 1_800_000_000_123, Proof: []byte{1, 2, 3}},
		"ask":          &ask,
		"ask, empty":   &Ask{},
		"grant":        &Grant{About: about, Mode: 1, Prefill: 14, Decode: 15, Reuse: true, MoveMS: 6, PacedPrefill: true, PacedDecode: true, HeldMS: 21},
		"refuse":       &Refuse{About: about, Reason: "target_cannot_be_met", RetryAfterMS: 1026},
		"slot":         &Slot{About: about, Decode: 15, MoveMS: 6},
		"queued":       &Queued{About: about},
		"prefilled":    &Prefilled{About: about, Computed: 5200, WorkedMS: 94},
		"done":         &Done{About: about, Finished: true, Failed: 16, Steps: 69, StepTimeMS: 410, MoveTimeMS: 6, Unreached: true, Running: true, Full: true, Answered: true},
		"withdraw":     &Withdraw{About: about},
		"adopt":        &Adopt{Ask: ask, Mode: 1, Prefill: 14, Decode: 15, Prefilled: true},
		"check":        &Check{Group: 1, Engine: 15, IDs: []Attempt{{Request: 1, Number: 2}, {Request: 3, Number: 4}}},
		"member":       &Member{Message: member.Message{Kind: member.PingRequest, Sequence: 3, For: "a", Target: "b", Updates: []member.Box{box, {Name: "c"}}}, Generation: 8, AgeMS: -1, Drained: drain.Version{Revision: 5, Digest: 9}},
		"change":       &Change{Delta: []byte("{}")},
		"pull":         &Pull{Have: 4},
		"update":       &Update{Update: directory.Update{Origin: "a", Sequence: 7, After: 3, At: 9, Lost: true, Changes: []directory.Change{{Entry: entry}, {Entry: directory.Entry{ID: "e"}, Gone: true}}}, Generation: 2},
		"update_pull":  &UpdatePull{Have: 6},
		"claim":        &Claim{Body: dedup.Claim{Sequence: 1, Record: record, Replace: request}},
		"reply":        &Reply{Body: dedup.Reply{Sequence: 1, Verdict: dedup.VerdictJoin, Owner: request, Once: true}},
		"copy":         &Copy{Body: dedup.Copy{Sequence: 1, Record: record, Replace: request}},
		"copied":       &Copied{Body: dedup.Copied{Sequence: 1, Status: 1, Record: record, Covers: true}},
		"join":         &Join{Body: dedup.Join{Sequence: 1, ID: request, From: 5}},
		"piece":        &Piece{Body: dedup.Piece{Sequence: 1, Found: true, From: 5, Tokens: []string{"a", "b"}, Ended: true, Phase: 1, Ran: 1, Reason: "r", RetryAfterMS: 9}},
		"quota_ask":    &QuotaAsk{Attempt: Attempt{Request: 1, Number: 2}, Account: "huka270", Cost: 3270, More: 9000, WaitMS: 5, PatienceMS: 80},
		"quota_answer": &QuotaAnswer{Attempt: Attempt{Request: 1, Number: 2}, Outcome: 1, More: 9000, WaitMS: 5, RetryMS: 85},
		"drained":      &Drained{Update: drain.Update{Origin: "a", At: 9, Revision: 7, Drained: []drain.Zone{{Name: "bog-a", Revision: 7}}}},
		"drained_pull": &DrainedPull{},
	}
}
