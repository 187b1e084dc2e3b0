// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slopes

import (
	"fmt"
	"time"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// groupSizes are the engines of one group.
var groupSizes = []int{3, 6, 9, 16}

// cycles is how many requests each group serves.
const cycles = 20_000

// syntheticTable is a table of so many engines, spread over models and zones.
func syntheticTable(t Target, engines int) table.Table {
	var out table.Table
	weights := make(map[string]int)
	for z := range t.Zones {
		name := fmt.Sprintf("zone-%d", z)
		out.Zones = append(out.Zones, table.Zone{Name: name, Region: fmt.Sprintf("region-%d", z%2)})
		weights[name] = 100
	}
	models := min(t.Models, max(engines/t.Zones/2, 1))
	for m := range models {
		name := fmt.Sprintf("model-%02d", m)
		out.Services = append(out.Services, table.Service{
			Name: name, Kind: table.KindModel, FirstTokenMS: 490, FirstTokenMSPer1K: 80, PerTokenMS: 31,
			MaxPromptTokens: 32_000, MaxOutputTokens: 1024, WasteWeight: 0.5,
		})
		for _, role := range []string{table.RolePrefill, table.RoleDecode} {
			out.Pools = append(out.Pools, table.Pool{Name: name + "-" + role, Role: role})
			out.Rows = append(out.Rows, table.Row{Service: name, Pool: name + "-" + role, Weights: weights})
		}
	}
	for i := range engines {
		// Engines of a model go round the zones, prefill and decode in turn.
		m := i % models
		role := []string{table.RolePrefill, table.RoleDecode}[(i/models/t.Zones)%2]
		pool := fmt.Sprintf("model-%02d-%s", m, role)
		out.Endpoints = append(out.Endpoints, table.Endpoint{
			Name: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Zone: fmt.Sprintf("zone-%d", i/models%t.Zones),
			Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Slots: 40, KVTokens: 160_000,
			PrefillTokensPerSecond: 16_000, StepBaseUS: 8000, StepPerRequestUS: 550, KVBytesPerToken: 131_072,
		})
	}
	for a := range t.Accounts {
		out.Accounts = append(out.Accounts, table.Account{Name: fmt.Sprintf("account-%04d", a), Weight: 1, MaxInFlight: 100})
	}
	return out.WithGeneration(1)
}

// requestMessages is what one request says between its box and the home.
func requestMessages() (toHome, toBox []boxwire.Message) {
	id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "box-100", Incarnation: 1_800_000_000_000, Sequence: 123_456}, Number: 1}
	group := "model-07/zone-3"
	a := schedule.Ask{
		ID: id, Box: "box-100", Account: "account-0123", PromptTokens: 1800, OutputTokens: 256,
		Marks: []uint64{1 << 60, 1 << 61, 1 << 62, 1<<62 + 1}, MarkTokens: []int{256, 512, 1024, 2048},
		Waited: 900 * time.Microsecond,
	}
	about := boxwire.NewAbout(group, id)
	toHome = []boxwire.Message{
		boxwire.FromAsk(group, a),
		&boxwire.Prefilled{About: about, Computed: 1800, WorkedMS: 112},
		boxwire.FromReport(group, schedule.Report{ID: id, Finished: true, MoveTime: 20 * time.Millisecond}),
	}
	plan := lifecycle.Plan{Prefill: "model-07-prefill-300", Decode: "model-07-decode-400"}
	toBox = []boxwire.Message{
		boxwire.FromDecision(group, schedule.Queued{Ask: a}),
		boxwire.FromDecision(group, schedule.Grant{Ask: a, Plan: plan, FirstToken: 130 * time.Millisecond, Move: 20 * time.Millisecond}),
	}
	return toHome, toBox
}

func frameBytes(messages []boxwire.Message) (int, error) {
	total := 0
	for _, m := range messages {
		frame, err := boxwire.Append(nil, m)
		if err != nil {
			return 0, err
		}
		total += len(frame)
	}
	return total, nil
}

// runGroup serves requests through one group's scheduler and returns the work
// of one, in microseconds.
func runGroup(t Target, size int) float64 {
	specs := make([]schedule.EngineSpec, size)
	for i := range specs {
		specs[i] = schedule.EngineSpec{
			Name: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%3), Prefill: i%2 == 0, Decode: i%2 == 1,
			Slots: 40, KVTokens: 160_000, PrefillRate: 16_000, StepBase: 8 * time.Millisecond,
			StepPer: 550 * time.Microsecond, KVBytesPerToken: 131_072,
		}
	}
	begin := time.Unix(0, 0)
	g := schedule.New(schedule.Config{
		Targets: schedule.Targets{FirstToken: 490 * time.Millisecond, PerToken: 31 * time.Millisecond},
		Engines: specs, LinkRate: func(string, string) int64 { return 10 << 30 },
	}, begin)
	used := cpu()
	for i := range cycles {
		now := begin.Add(time.Duration(i) * 30 * time.Millisecond)
		id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Sequence: uint64(i)}, Number: 1}
		g.Ask(now, schedule.Ask{
			ID: id, Box: "b", Account: fmt.Sprintf("account-%d", i%t.Accounts), PromptTokens: 400, OutputTokens: 64,
			Marks: []uint64{uint64(i % 500)}, MarkTokens: []int{256},
		})
		g.Prefilled(now.Add(5*time.Millisecond), id, 400, 25*time.Millisecond)
		g.Done(now.Add(10*time.Millisecond), schedule.Report{ID: id, Finished: true, Steps: 40, StepTime: time.Second})
	}
	return float64((cpu() - used).Microseconds()) / cycles
}

func measureHomes(r *Report) error {
	work := Slope{Name: "one request at its home", Unit: "us", Over: "engines in the group", At: 9}
	for _, n := range groupSizes {
		work.Points = append(work.Points, Point{Size: float64(n), Value: runGroup(r.Target, n)})
	}
	r.Slopes = append(r.Slopes, work)
	toHome, toBox := requestMessages()
	up, err := frameBytes(toHome)
	if err != nil {
		return err
	}
	down, err := frameBytes(toBox)
	if err != nil {
		return err
	}
	r.entryAndHome(up, down, len(toHome)+len(toBox))
	return nil
}

// hottest is the share of all requests that the busiest home carries, and the
// number of groups and engines it is home of.
func (r *Report) hottest() (share float64, groups, engines int) {
	t := syntheticTable(r.Target, r.Target.Engines)
	live := make([]string, r.Target.Boxes)
	for i := range live {
		live[i] = fmt.Sprintf("box-%03d", i)
	}
	type load struct{ groups, engines int }
	loads := make(map[string]load)
	all := 0
	var keys []string
	for _, g := range t.Groups() {
		keys = append(keys, g.Key)
	}
	homes := home.Assign(keys, live)
	for _, g := range t.Groups() {
		box := homes[g.Key]
		l := loads[box]
		l.groups++
		l.engines += len(g.Members)
		all += len(g.Members)
		loads[box] = l
	}
	most := load{}
	for _, l := range loads {
		if l.engines > most.engines {
			most = l
		}
	}
	return float64(most.engines) / float64(all), most.groups, most.engines
}

func (r *Report) entryAndHome(up, down, messages int) {
	t := r.Target
	perBox := t.RequestsPerSecond / float64(t.Boxes)
	share, groups, engines := r.hottest()
	atHome := t.RequestsPerSecond * share
	message := r.slope("message over a warm connection").Value()
	schedule := r.slope("one request at its home").Value()
	total := float64(up + down)
	r.Roles = append(
		r.Roles,
		Role{
			Name: "entry path", Mechanism: "one question to the group's home for each request, reports on prefill and end",
			State:          "life cycle, prompt and holds of each request under way",
			MessagesPerSec: perBox * float64(messages), BytesPerSec: perBox * total,
			CorePercent: corePercent(perBox * float64(messages) * message / 2),
			MemoryMB:    perBox * requestSeconds * requestKB / 1024,
			Breaks:      "the box's data path, long before control",
		},
		Role{
			Name: "home of limits", Mechanism: fmt.Sprintf("rendezvous hashing of groups, a zone's engines or a part of them by name; the busiest home has %d groups, %d engines, %.1f requests/s", groups, engines, atHome),
			State:          "slots, memory, links, queue and grants of its groups",
			MessagesPerSec: atHome * float64(messages), BytesPerSec: atHome * total,
			CorePercent: corePercent(atHome * (schedule + float64(messages)*message/2)),
			MemoryMB:    float64(groups) * groupMB,
			Breaks:      "bytes/s on a home of a large group; zoneGroupBound falls as a service grows",
		},
	)
}

const (
	// requestSeconds is how long a request is usually under way.
	requestSeconds = 8
	// requestKB is what control keeps for one beside its prompt.
	requestKB = 12
	// groupMB is a group with a full prefix index; measured as "prefix index".
	groupMB = 0.1
)
