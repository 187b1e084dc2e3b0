// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package example provides an example table for each of the two users, with their sizes and
// names. Rates are placeholders until the users' own values are known; boxes learn the real
// ones.
package example

import (
	"fmt"

	"runridge.example/runridge/state/table"
)

// Names of the example tables.
const (
	Bogota  = "bogota"
	Kolkata = "kolkata"
)

// Names lists the names of the example tables.
func Names() []string {
	return []string{Bogota, Kolkata}
}

// Table returns the example table with a name, and whether there is one.
func Table(name string) (table.Table, bool) {
	switch name {
	case Bogota:
		return bogota(), true
	case Kolkata:
		return kolkata(), true
	default:
		return table.Table{}, false
	}
}

// site holds the values in which the two examples differ.
type site struct {
	region              string
	zones               []string
	model, plain        string
	route               string
	prefill             int
	decode              int
	plainCount          int
	service             table.Service
	zoneLink, crossLink int64
	accounts            []string
}

func bogota() table.Table {
	return build(site{
		region:     "co-centro",
		zones:      []string{"bog-a", "bog-b", "fun-c"},
		model:      "lm-porta",
		plain:      "portal-franq",
		route:      "/portal",
		prefill:    4,
		decode:     5,
		plainCount: 3,
		service: table.Service{
			FirstTokenMS: 490, FirstTokenMSPer1K: 80, PerTokenMS: 31,
			WasteWeight: 0.2, MaxPromptTokens: 32_000, MaxOutputTokens: 512,
		},
		zoneLink:  20 << 30,
		crossLink: 6 << 30,
		accounts:  []string{"mesa-norte", "mesa-sur", "franquicia", "respuestas"},
	})
}

func kolkata() table.Table {
	return build(site{
		region:     "in-bengal",
		zones:      []string{"howrah-hall", "saltlake-hall", "barasat-hall"},
		model:      "order-reader",
		plain:      "dispatch-desk",
		route:      "/dispatch",
		prefill:    5,
		decode:     4,
		plainCount: 3,
		service: table.Service{
			FirstTokenMS: 490, FirstTokenMSPer1K: 80, PerTokenMS: 31,
			WasteWeight: 0.8, MaxPromptTokens: 32_000, MaxOutputTokens: 512,
		},
		zoneLink:  10 << 30,
		crossLink: 2 << 30,
		accounts:  []string{"schools", "hostels", "shops"},
	})
}

// Values of the placeholder engines.
const (
	slots        = 40
	kvTokens     = 160_000
	prefillRate  = 16_000
	stepBaseUS   = 8_000
	stepPerUS    = 550
	kvBytes      = 128 << 10
	plainSlots   = 16
	basePort     = 9000
	zoneWeight   = 100
	addressBlock = 10
)

func build(s site) table.Table {
	t := table.Table{}
	weights := make(map[string]int)
	for _, z := range s.zones {
		t.Zones = append(t.Zones, table.Zone{Name: z, Region: s.region})
		weights[z] = zoneWeight
	}
	s.service.Name = s.model
	s.service.Kind = table.KindModel
	t.Services = []table.Service{s.service, {Name: s.plain, Kind: table.KindPlain, Route: s.route}}
	pools := []struct {
		name, role string
		service    string
		count      int
	}{
		{s.model + "-prefill", table.RolePrefill, s.model, s.prefill},
		{s.model + "-decode", table.RoleDecode, s.model, s.decode},
		{s.plain, table.RolePlain, s.plain, s.plainCount},
	}
	for _, p := range pools {
		t.Pools = append(t.Pools, table.Pool{Name: p.name, Role: p.role})
		t.Rows = append(t.Rows, table.Row{Service: p.service, Pool: p.name, Weights: weights})
		for i := range p.count {
			t.Endpoints = append(t.Endpoints, endpoint(p.name, p.role, s.zones[i%len(s.zones)], i, len(t.Endpoints)))
		}
	}
	for i, from := range s.zones {
		for _, to := range s.zones[i:] {
			rate := s.crossLink
			if from == to {
				rate = s.zoneLink
			}
			t.Links = append(t.Links, table.Link{From: from, To: to, BytesPerSecond: rate})
		}
	}
	for _, a := range s.accounts {
		t.Accounts = append(t.Accounts, table.Account{Name: a, Weight: 1})
	}
	return t
}

func endpoint(pool, role, zone string, i, n int) table.Endpoint {
	e := table.Endpoint{
		Name:    fmt.Sprintf("%s-%d", pool, i+1),
		Pool:    pool,
		Zone:    zone,
		Address: fmt.Sprintf("10.%d.0.%d:%d", addressBlock, n+1, basePort),
		Slots:   slots,
	}
	if role == table.RolePlain {
		e.Slots = plainSlots
		return e
	}
	e.KVTokens = kvTokens
	e.PrefillTokensPerSecond = prefillRate
	e.StepBaseUS = stepBaseUS
	e.StepPerRequestUS = stepPerUS
	e.KVBytesPerToken = kvBytes
	return e
}
