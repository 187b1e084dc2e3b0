// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"bufio"
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/drain"
	"runridge.example/runridge/state/example"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

var owner = Owner{Box: "box-1", Incarnation: 1_800_000_000_123}

func attempt() lifecycle.AttemptID {
	request := lifecycle.RequestID{Box: owner.Box, Incarnation: owner.Incarnation, Sequence: 77}
	return lifecycle.AttemptID{Request: request, Number: 2}
}

// samples returns messages that decode to equal messages after they are encoded.
func samples() []Message {
	id := attempt()
	return []Message{
		&Hello{Box: "box-1", Incarnation: 5, Proof: []byte{1, 2}},
		FromAsk("lm-porta", schedule.Ask{ID: id, Box: owner.Box, Account: "mesa-sur", PromptTokens: 100, Marks: []uint64{9}, MarkTokens: []int{256}}),
		FromDecision("lm-porta", schedule.Grant{Ask: schedule.Ask{ID: id}, Plan: lifecycle.Plan{Prefill: "lm-porta-prefill-1"}, Move: time.Second, PacedPrefill: true, QueueTime: 20 * time.Millisecond}),
		FromDecision("lm-porta", schedule.Refusal{Ask: schedule.Ask{ID: id}, Reason: lifecycle.ReasonTargetUnreachable, RetryAfter: time.Second}),
		FromDecision("lm-porta", schedule.DecodeAssignment{Ask: schedule.Ask{ID: id}, Decode: "lm-porta-decode-1"}),
		FromDecision("lm-porta", schedule.Queued{Ask: schedule.Ask{ID: id}}),
		FromReport("lm-porta", schedule.Report{ID: id, Finished: true, Steps: 3, StepTime: time.Second}),
		FromAdopted("lm-porta", schedule.Adopted{Ask: schedule.Ask{ID: id, Box: owner.Box}, Prefilled: true}),
		FromCheck("lm-porta", "lm-porta-decode-1", []lifecycle.AttemptID{id}),
		&Member{Message: member.Message{Kind: member.Ping, Sequence: 3, Updates: []member.Box{{Name: "a", State: member.Dead}}}, Generation: 8, Drained: drain.Version{Revision: 5, Digest: 9}, Suspects: 11},
		&Change{Delta: []byte("{}")},
		&Pull{Have: 4},
		&Update{Update: directory.Update{Origin: "box-1", Sequence: 7, After: 3, At: 9, Changes: []directory.Change{{Entry: directory.Entry{ID: "e", Draining: true}, Gone: true}}}, Generation: 2},
		&UpdatePull{},
		&Drained{Update: drain.Update{Origin: "box-1", At: 9, Revision: 7, Drained: []drain.Zone{{Name: "a", Revision: 7}}}},
		&DrainedPull{},
		&Suspects{Origin: "box-1", Suspects: []Suspect{{Fingerprint: []byte("0123456789abcdef"), Ends: []End{{Endpoint: 9, AgeMS: 8, RanMS: 40, Cleared: true}}, AgeMS: 7}}},
		&SuspectsPull{},
	}
}

func TestKindsHaveNames(t *testing.T) {
	for k := range emptyMessages {
		if int(k) >= Kinds || k.String() == "unknown" {
			t.Errorf("kind %d has the name %q, of %d kinds", k, k, Kinds)
		}
	}
}

func TestMessagesComeBackAsTheyWere(t *testing.T) {
	for _, m := range samples() {
		convey.Convey(reflect.TypeOf(m).String(), t, func() {
			frame, err := Append([]byte("before"), m, VersionCurrent)
			convey.So(err, convey.ShouldBeNil)
			back, err := Read(bufio.NewReader(bytes.NewReader(frame[len("before"):])))
			convey.So(err, convey.ShouldBeNil)
			convey.So(back, convey.ShouldResemble, m)
		})
	}
}

// tableNames returns the names of the groups, endpoints and accounts of a table.
func tableNames(t table.Table) []string {
	var out []string
	for _, g := range t.Groups() {
		out = append(out, g.Key)
	}
	for _, e := range t.Endpoints {
		out = append(out, e.Name)
	}
	for _, a := range t.Accounts {
		out = append(out, a.Name)
	}
	return out
}

func TestNamesAndAttemptsComeBack(t *testing.T) {
	convey.Convey("An ask", t, func() {
		table, _ := example.Table(example.Bogota)
		names := NewNames(tableNames(table))
		want := schedule.Ask{
			ID: attempt(), Box: owner.Box, Account: "mesa-sur", PromptTokens: 900, OutputTokens: 64,
			Marks: []uint64{11, 12}, MarkTokens: []int{256, 512}, Elapsed: 3 * time.Millisecond,
			Avoid: []string{"lm-porta-decode-2"}, KeptBy: "lm-porta-prefill-1", Resume: true,
			Patience: 4 * time.Second, Spill: true,
			Excluded: []string{"lm-porta-decode-1", "lm-porta-prefill-2"}, Leaving: []string{"lm-porta-decode-1"},
		}
		convey.Convey("comes back whole", func() {
			got, known := FromAsk("lm-porta", want).Ask(names, owner)
			convey.So(known, convey.ShouldBeTrue)
			convey.So(got, convey.ShouldResemble, want)
		})
		convey.Convey("of an earlier process is not taken for the present one's", func() {
			later := Owner{Box: owner.Box, Incarnation: owner.Incarnation + 1}
			got, _ := FromAsk("lm-porta", want).Ask(names, later)
			convey.So(got.ID, convey.ShouldNotResemble, want.ID)
		})
		convey.Convey("that names an engine which the table lacks is not known", func() {
			want.KeptBy = "no-such-engine"
			_, known := FromAsk("lm-porta", want).Ask(names, owner)
			convey.So(known, convey.ShouldBeFalse)
		})
	})
}

// FuzzRead checks that no input makes Read panic or exceed its bound, and that
// messages that were read can be encoded again.
func FuzzRead(f *testing.F) {
	for _, m := range samples() {
		frame, err := Append(nil, m, VersionCurrent)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{byte(KindAsk), 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Read(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		if _, err := Append(nil, m, VersionCurrent); err != nil && !errors.Is(err, ErrFrame) {
			t.Fatal(err)
		}
	})
}
