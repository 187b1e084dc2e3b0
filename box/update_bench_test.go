// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"fmt"
	"testing"
	"time"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/state/table"
)

func benchTable() table.Table {
	return table.Table{Generation: 1, Services: []table.Service{
		{Name: "lm", Kind: table.KindRouted, Engine: &table.EngineLimits{Slots: 16, KVTokens: 43654}},
		{Name: "portal", Kind: table.KindRouted},
	}}
}

func benchEntry(i int) directory.Entry {
	e := directory.Entry{ID: fmt.Sprintf("i-%010x", i*7919), Service: "lm", Address: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250), Zone: []string{"bog-a", "bog-b", "fun-c"}[i%3], Slots: 16, Stage: "decode"}
	if i%8 == 0 {
		e.Service, e.Stage, e.Slots = "portal", "", 6
	}
	if i%8 == 1 {
		e.Stage = "prefill"
	}
	return e
}

// BenchmarkEndpointUpdate measures what one endpoint's update costs a box, from the
// directory to the router. Recomputing everything took 0.26 ms and 158 KB with 30 endpoints
// and 30 boxes, 3.5 ms and 1.8 MB with 300 and 300, and 47 ms and 21.5 MB with 3,000 and
// 300; docs/CAPACITY.md has the current figures.
func BenchmarkEndpointUpdate(b *testing.B) {
	for _, endpoints := range []int{30, 300, 3000} {
		for _, boxes := range []int{30, 100, 300} {
			b.Run(fmt.Sprintf("%d-endpoints/%d-boxes", endpoints, boxes), func(b *testing.B) {
				var list []directory.Entry
				for i := range endpoints {
					list = append(list, benchEntry(i))
				}
				d := directory.Directory{}.WithList(time.Time{}, 1, list)
				var names []string
				for i := range boxes {
					names = append(names, fmt.Sprintf("front-bog-a-%d", i))
				}
				r := home.NewRouter(names[0], nil)
				r.SetLive(rank.Of(names), rank.Of(names))
				g := group.New(benchTable(), d)
				known := boxwire.NewNames(g.Layout().Keys(), d.IDs())
				b.ReportAllocs()
				at := uint64(2)
				for b.Loop() {
					at++
					e := benchEntry(int(at) % endpoints)
					e.Slots = int(at)
					d = d.WithChanges(time.Time{}, at, []directory.Change{{Entry: e}})
					g = g.With(d)
					known.Add(e.ID)
					r.SetLayout(g.Layout())
				}
			})
		}
	}
}
