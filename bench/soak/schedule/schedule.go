// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package schedule draws from a seed which faults strike a run, when, where and
// for how long. The same seed and configuration give the same schedule.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults of boxes and links.
const (
	BoxStopped     Kind = "box_stopped"
	BoxKilled      Kind = "box_killed"
	BoxPaused      Kind = "box_paused"
	BoxHangup      Kind = "box_hangup"
	BoxCut         Kind = "box_cut"
	LinkOneWay     Kind = "link_one_way"
	LinkSilent     Kind = "link_silent"
	LinkReset      Kind = "link_reset"
	LinkDelayed    Kind = "link_delayed"
	EndpointCut    Kind = "endpoint_cut"
	CallersReset   Kind = "callers_reset"
	RollingRestart Kind = "rolling_restart"
)

// Kinds of faults of the platform's store, and changes in it.
const (
	StoreBusy        Kind = "store_busy"
	StoreSilent      Kind = "store_silent"
	StoreReset       Kind = "store_reset"
	StoreSlow        Kind = "store_slow"
	StoreRefusesSome Kind = "store_refuses_some"
	StoreLosesWrites Kind = "store_loses_answers"
	StoreWritesLate  Kind = "store_writes_late"
	StoreForgets     Kind = "store_forgets"
	StoreDeaf        Kind = "store_deaf"
	// StoreOlder has the store come back from a copy some seconds old.
	StoreOlder   Kind = "store_comes_back_older"
	TableChanged Kind = "table_changed"
	TableGrown   Kind = "table_grown"
	KeyWithdrawn Kind = "key_withdrawn"
	QuotaChanged Kind = "quota_changed"
	ZoneDrained  Kind = "zone_drained"
)

// Kinds of faults of endpoints.
const (
	EndpointSlow    Kind = "endpoint_slow"
	EndpointMute    Kind = "endpoint_mute"
	EndpointFull    Kind = "endpoint_full"
	EndpointFailing Kind = "endpoint_failing"
	EndpointLost    Kind = "endpoint_loses_answers"
	EndpointBroken  Kind = "endpoint_breaks_answers"
	EndpointTwice   Kind = "endpoint_answers_twice"
	EndpointCrashed Kind = "endpoint_crashed"
	EndpointMoved   Kind = "endpoint_address_reused"
	EndpointLeaving Kind = "endpoint_leaving"
	// PoisonRequest is a request that ends each endpoint that runs it, and comes again.
	PoisonRequest Kind = "poison_request"
	// EndpointLimited names a limit on the requests that it takes from all boxes together.
	EndpointLimited Kind = "endpoint_names_limit"
	// EndpointTired turns requests away and asks each box for a rest; EndpointParting says in
	// its answers that it leaves, later in the store too, and ends.
	EndpointTired   Kind = "endpoint_wants_rest"
	EndpointParting Kind = "endpoint_says_it_leaves"
	// TransfersStalled is of engines that speak the product's own protocol.
	TransfersStalled Kind = "transfers_stalled"
)

// Target is what a kind strikes.
type Target uint8

// Targets. Two faults at once strike neither the same box nor the same place, and
// one strikes the store.
const (
	None Target = iota
	OnBox
	OnPair
	OnPlace
	OnStore
)

// trait is what a kind strikes, how often it is drawn, and for how long it lasts.
type trait struct {
	target        Target
	weight        int
	least, longer time.Duration
	// away says that the box cannot serve meanwhile.
	away bool
}

const s = time.Second

var traits = map[Kind]trait{
	BoxStopped:     {target: OnBox, weight: 3, least: 4 * s, longer: s, away: true},
	BoxKilled:      {target: OnBox, weight: 3, least: 2 * s, longer: 2 * s, away: true},
	BoxPaused:      {target: OnBox, weight: 3, least: s / 2, longer: 3 * s, away: true},
	BoxHangup:      {target: OnBox, weight: 1},
	BoxCut:         {target: OnBox, weight: 3, least: s, longer: 4 * s, away: true},
	LinkOneWay:     {target: OnPair, weight: 3, least: s, longer: 4 * s},
	LinkSilent:     {target: OnPair, weight: 2, least: s, longer: 4 * s},
	LinkReset:      {target: OnPair, weight: 2},
	LinkDelayed:    {target: OnPair, weight: 2, least: s, longer: 4 * s},
	EndpointCut:    {target: OnPlace, weight: 2, least: s, longer: 3 * s},
	CallersReset:   {target: OnBox, weight: 1},
	RollingRestart: {target: OnBox, weight: 1, least: 10 * s, longer: 2 * s, away: true},

	StoreBusy:        {target: OnStore, weight: 1, least: s / 2, longer: 3 * s},
	StoreSilent:      {target: OnStore, weight: 1, least: s / 2, longer: 3 * s},
	StoreReset:       {target: OnStore, weight: 1, least: s / 2, longer: 3 * s},
	StoreSlow:        {target: OnStore, weight: 1, least: s, longer: 4 * s},
	StoreRefusesSome: {target: OnStore, weight: 1, least: s, longer: 4 * s},
	StoreLosesWrites: {target: OnStore, weight: 1, least: s, longer: 3 * s},
	StoreWritesLate:  {target: OnStore, weight: 1, least: s, longer: 3 * s},
	StoreDeaf:        {target: OnStore, weight: 1, least: s, longer: 3 * s},
	StoreOlder:       {target: OnStore, weight: 6, least: 4 * s, longer: 4 * s},
	StoreForgets:     {weight: 1},
	TableChanged:     {weight: 3},
	TableGrown:       {weight: 1},
	KeyWithdrawn:     {weight: 2},
	QuotaChanged:     {weight: 1},
	ZoneDrained:      {target: OnStore, weight: 2, least: 12 * s, longer: 4 * s},

	EndpointSlow:    {target: OnPlace, weight: 1, least: s, longer: 4 * s},
	EndpointMute:    {target: OnPlace, weight: 1, least: s, longer: 4 * s},
	EndpointFull:    {target: OnPlace, weight: 1, least: s, longer: 3 * s},
	EndpointFailing: {target: OnPlace, weight: 1, least: s, longer: 3 * s},
	EndpointLost:    {target: OnPlace, weight: 1, least: s, longer: 3 * s},
	EndpointBroken:  {target: OnPlace, weight: 1, least: s, longer: 3 * s},
	EndpointTwice:   {target: OnPlace, weight: 1, least: s, longer: 3 * s},
	EndpointCrashed: {target: OnPlace, weight: 3, least: s, longer: 2 * s},
	EndpointMoved:   {target: OnPlace, weight: 1, least: s, longer: s},
	EndpointLeaving: {target: OnPlace, weight: 2, least: 9 * s, longer: 2 * s},

	PoisonRequest:    {weight: 2, least: 10 * s, longer: 4 * s},
	EndpointLimited:  {target: OnPlace, weight: 6, least: 8 * s, longer: 8 * s},
	EndpointTired:    {target: OnPlace, weight: 4, least: 4 * s, longer: 8 * s},
	EndpointParting:  {target: OnPlace, weight: 4, least: 6 * s, longer: 4 * s},
	TransfersStalled: {weight: 2},
}

// asked are the kinds that are drawn only if asked for. Those of a later build stand here too:
// a seed draws what it drew before.
var asked = []Kind{ZoneDrained, TransfersStalled, PoisonRequest, EndpointLimited, EndpointTired, EndpointParting, StoreOlder}

// ByDefault are the kinds that are drawn for routed services unless others are asked
// for: all but those that need parts of the product that a deployment switches on, and those
// that came later.
func ByDefault() []Kind {
	var out []Kind
	for _, k := range All() {
		if !slices.Contains(asked, k) {
			out = append(out, k)
		}
	}
	return out
}

// All are all kinds.
func All() []Kind {
	out := make([]Kind, 0, len(traits))
	for k := range traits {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Event is one fault of a schedule.
type Event struct {
	At, For time.Duration
	Kind    Kind
	// Box and Other are numbers of boxes, and Place of a place; -1 is none.
	Box, Other, Place int
	// Draw decides what is left to decide.
	Draw uint64
}

// String is the event as it stands in a schedule's file.
func (e Event) String() string {
	return fmt.Sprintf("%8.3fs %-24s for %6.3fs box %d other %d place %d draw %d",
		e.At.Seconds(), e.Kind, e.For.Seconds(), e.Box, e.Other, e.Place, e.Draw)
}

// Away says that the event's box cannot serve while it lasts.
func (e Event) Away() bool { return traits[e.Kind].away }

// Config says what to draw.
type Config struct {
	Seed          uint64
	Boxes, Places int
	// Begin and End bound when faults begin.
	Begin, End time.Duration
	Faults     int
	Kinds      []Kind
}

// Make draws a schedule, in the order of time.
func Make(cfg Config) []Event {
	d := drawer{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1))}
	times := make([]time.Duration, cfg.Faults)
	for i := range times {
		times[i] = cfg.Begin + time.Duration(d.random.Int64N(int64(max(cfg.End-cfg.Begin, 1))))
	}
	slices.Sort(times)
	for _, at := range times {
		d.draw(at)
	}
	return d.out
}

type drawer struct {
	cfg    Config
	random *rand.Rand
	out    []Event
}

// tries is how often another kind or target is drawn where one does not fit.
const tries = 20

// draw adds one event at a time, if one fits.
func (d *drawer) draw(at time.Duration) {
	for range tries {
		k := d.kind()
		t := traits[k]
		e := Event{At: at, Kind: k, For: t.least, Box: -1, Other: -1, Place: -1, Draw: d.random.Uint64()}
		if t.longer > 0 {
			e.For += time.Duration(d.random.Int64N(int64(t.longer)))
		}
		switch t.target {
		case OnBox:
			e.Box = d.random.IntN(d.cfg.Boxes)
		case OnPair:
			e.Box = d.random.IntN(d.cfg.Boxes)
			e.Other = (e.Box + 1 + d.random.IntN(max(d.cfg.Boxes-1, 1))) % d.cfg.Boxes
		case OnPlace:
			e.Place = d.random.IntN(d.cfg.Places)
		}
		if d.fits(e) {
			d.out = append(d.out, e)
			return
		}
	}
}

// kind draws a kind by weight.
func (d *drawer) kind() Kind {
	total := 0
	for _, k := range d.cfg.Kinds {
		total += traits[k].weight
	}
	n := d.random.IntN(max(total, 1))
	for _, k := range d.cfg.Kinds {
		if n -= traits[k].weight; n < 0 {
			return k
		}
	}
	return d.cfg.Kinds[0]
}

const (
	// mostAway is the part of the boxes, and of the places, that may be struck at
	// once: the others stay a majority.
	mostAway = 1.0 / 3
	// rest is how long a box or place is left alone between two faults.
	rest = 2 * time.Second
)

// fits says whether an event may come beside those that last.
func (d *drawer) fits(e Event) bool {
	t := traits[e.Kind]
	away, places := 0, 0
	for _, o := range d.out {
		other := traits[o.Kind]
		if o.At+o.For+rest < e.At {
			continue
		}
		switch {
		case t.target == OnStore && other.target == OnStore:
			return false
		case t.away && other.away && o.Box == e.Box:
			return false
		case e.Place >= 0 && o.Place == e.Place:
			return false
		}
		if other.away {
			away++
		}
		if o.Place >= 0 {
			places++
		}
	}
	if t.away && away >= max(int(mostAway*float64(d.cfg.Boxes)), 1) {
		return false
	}
	return e.Place < 0 || places < max(int(mostAway*float64(d.cfg.Places)), 1)
}
