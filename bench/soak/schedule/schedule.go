// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package schedule draws the faults of a soak run from a seed: their kind, start, target and
// duration. The same seed and configuration give the same schedule.
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
	BoxStopped  Kind = "box_stopped"
	BoxKilled   Kind = "box_killed"
	BoxPaused   Kind = "box_paused"
	BoxHangup   Kind = "box_hangup"
	BoxCut      Kind = "box_cut"
	LinkOneWay  Kind = "link_one_way"
	LinkSilent  Kind = "link_silent"
	LinkReset   Kind = "link_reset"
	LinkDelayed Kind = "link_delayed"
	EndpointCut Kind = "endpoint_cut"
	// EndpointsLost cuts one box, all of a zone or all but one from all endpoints, in one of three
	// forms; callers, the store and the other boxes still reach them.
	EndpointsLost  Kind = "box_loses_endpoints"
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
	// StoreOlder restores the store from a copy that is some seconds old.
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
	// EndpointUnlisted removes the entry of an endpoint that serves on and never says that it is draining.
	EndpointUnlisted Kind = "endpoint_unlisted"
	// PoisonRequest is a request that crashes each endpoint that runs it, and is repeated.
	PoisonRequest Kind = "poison_request"
	// EndpointLimited has an endpoint name a limit on the requests from all boxes together.
	EndpointLimited Kind = "endpoint_names_limit"
	// EndpointTired has an endpoint reject requests and ask each box for a rest.
	// EndpointParting has one announce in its answers, and later in the store, that it
	// leaves, and then end.
	EndpointTired   Kind = "endpoint_wants_rest"
	EndpointParting Kind = "endpoint_says_it_leaves"
	// PoisonPart is a part of prompts that crashes each endpoint that begins to answer one; the requests
	// that have it are alike in nothing else.
	PoisonPart Kind = "poison_part"
	// EndpointUnframed has an endpoint send answers without a length or chunks, whole ones, or streams
	// that end within an event.
	EndpointUnframed    Kind = "endpoint_answers_unframed"
	EndpointUnframedCut Kind = "endpoint_cuts_unframed"
	// EndpointMalformed has an endpoint send answers whose heads are malformed.
	EndpointMalformed Kind = "endpoint_answers_malformed"
	// EndpointRefusesAfterRun has an endpoint run requests and answer with statuses by which others reject
	// requests that have not run.
	EndpointRefusesAfterRun Kind = "endpoint_refuses_after_run"
	// CallersCrowd has nearly all callers open new connections to one box.
	CallersCrowd Kind = "callers_crowd_box"
	// StrayEntries has another writer write entries that cannot be read, some of them each second, and
	// one in place of the entry of an endpoint.
	StrayEntries Kind = "stray_entries"
	// EndpointReleased replaces an endpoint by one of another software version, a later or an
	// earlier one.
	EndpointReleased Kind = "endpoint_released"
	// TransfersStalled applies to engines that speak the router's own protocol.
	TransfersStalled Kind = "transfers_stalled"
)

// Target is what a kind of fault affects.
type Target uint8

// Targets. At any time at most one fault makes a given box unavailable, at most one affects a
// given place, and at most one affects the store.
const (
	None Target = iota
	OnBox
	OnPair
	OnPlace
	OnStore
)

// kindSpec holds the target of a kind, the weight with which it is drawn, and its duration:
// minDuration plus a random part below jitter.
type kindSpec struct {
	target              Target
	weight              int
	minDuration, jitter time.Duration
	// unavailable is true if the box can't serve during the fault.
	unavailable bool
}

const second = time.Second

var kindSpecs = map[Kind]kindSpec{
	BoxStopped:     {target: OnBox, weight: 3, minDuration: 4 * second, jitter: second, unavailable: true},
	BoxKilled:      {target: OnBox, weight: 3, minDuration: 2 * second, jitter: 2 * second, unavailable: true},
	BoxPaused:      {target: OnBox, weight: 3, minDuration: second / 2, jitter: 3 * second, unavailable: true},
	BoxHangup:      {target: OnBox, weight: 1},
	BoxCut:         {target: OnBox, weight: 3, minDuration: second, jitter: 4 * second, unavailable: true},
	LinkOneWay:     {target: OnPair, weight: 3, minDuration: second, jitter: 4 * second},
	LinkSilent:     {target: OnPair, weight: 2, minDuration: second, jitter: 4 * second},
	LinkReset:      {target: OnPair, weight: 2},
	LinkDelayed:    {target: OnPair, weight: 2, minDuration: second, jitter: 4 * second},
	EndpointCut:    {target: OnPlace, weight: 2, minDuration: second, jitter: 3 * second},
	EndpointsLost:  {target: OnBox, weight: 4, minDuration: 6 * second, jitter: 4 * second},
	CallersReset:   {target: OnBox, weight: 1},
	RollingRestart: {target: OnBox, weight: 1, minDuration: 10 * second, jitter: 2 * second, unavailable: true},

	StoreBusy:        {target: OnStore, weight: 1, minDuration: second / 2, jitter: 3 * second},
	StoreSilent:      {target: OnStore, weight: 1, minDuration: second / 2, jitter: 3 * second},
	StoreReset:       {target: OnStore, weight: 1, minDuration: second / 2, jitter: 3 * second},
	StoreSlow:        {target: OnStore, weight: 1, minDuration: second, jitter: 4 * second},
	StoreRefusesSome: {target: OnStore, weight: 1, minDuration: second, jitter: 4 * second},
	StoreLosesWrites: {target: OnStore, weight: 1, minDuration: second, jitter: 3 * second},
	StoreWritesLate:  {target: OnStore, weight: 1, minDuration: second, jitter: 3 * second},
	StoreDeaf:        {target: OnStore, weight: 1, minDuration: second, jitter: 3 * second},
	StoreOlder:       {target: OnStore, weight: 6, minDuration: 4 * second, jitter: 4 * second},
	StoreForgets:     {weight: 1},
	TableChanged:     {weight: 3},
	TableGrown:       {weight: 1},
	KeyWithdrawn:     {weight: 2},
	QuotaChanged:     {weight: 1},
	ZoneDrained:      {target: OnStore, weight: 2, minDuration: 12 * second, jitter: 4 * second},

	EndpointSlow:    {target: OnPlace, weight: 1, minDuration: second, jitter: 4 * second},
	EndpointMute:    {target: OnPlace, weight: 1, minDuration: second, jitter: 4 * second},
	EndpointFull:    {target: OnPlace, weight: 1, minDuration: second, jitter: 3 * second},
	EndpointFailing: {target: OnPlace, weight: 1, minDuration: second, jitter: 3 * second},
	EndpointLost:    {target: OnPlace, weight: 1, minDuration: second, jitter: 3 * second},
	EndpointBroken:  {target: OnPlace, weight: 1, minDuration: second, jitter: 3 * second},
	EndpointTwice:   {target: OnPlace, weight: 1, minDuration: second, jitter: 3 * second},
	EndpointCrashed: {target: OnPlace, weight: 3, minDuration: second, jitter: 2 * second},
	EndpointMoved:   {target: OnPlace, weight: 1, minDuration: second, jitter: second},
	EndpointLeaving: {target: OnPlace, weight: 2, minDuration: 9 * second, jitter: 2 * second},

	PoisonRequest:           {weight: 2, minDuration: 10 * second, jitter: 4 * second},
	EndpointLimited:         {target: OnPlace, weight: 6, minDuration: 8 * second, jitter: 8 * second},
	EndpointTired:           {target: OnPlace, weight: 4, minDuration: 4 * second, jitter: 8 * second},
	EndpointParting:         {target: OnPlace, weight: 4, minDuration: 6 * second, jitter: 4 * second},
	PoisonPart:              {weight: 3, minDuration: 20 * second, jitter: 4 * second},
	EndpointUnframed:        {target: OnPlace, weight: 2, minDuration: second, jitter: 4 * second},
	EndpointUnframedCut:     {target: OnPlace, weight: 2, minDuration: second, jitter: 4 * second},
	EndpointMalformed:       {target: OnPlace, weight: 4, minDuration: second, jitter: 4 * second},
	EndpointRefusesAfterRun: {target: OnPlace, weight: 4, minDuration: second, jitter: 4 * second},
	CallersCrowd:            {target: OnBox, weight: 4, minDuration: 6 * second, jitter: 4 * second},
	EndpointReleased:        {target: OnPlace, weight: 6, minDuration: 4 * second, jitter: 2 * second},
	EndpointUnlisted:        {target: OnPlace, weight: 4, minDuration: 6 * second, jitter: 4 * second},
	StrayEntries:            {target: OnPlace, weight: 4, minDuration: 6 * second, jitter: 4 * second},
	TransfersStalled:        {weight: 2},
}

// optional are the kinds that are drawn only if they are asked for. Kinds that were added
// later are here too, so that a seed still draws the schedule that it drew before.
var optional = []Kind{ZoneDrained, TransfersStalled, PoisonRequest, EndpointLimited, EndpointTired, EndpointParting, StoreOlder, EndpointsLost, EndpointReleased, PoisonPart, EndpointUnframed, EndpointUnframedCut, CallersCrowd, StrayEntries, EndpointUnlisted, EndpointMalformed, EndpointRefusesAfterRun}

// ByDefault returns the kinds that are drawn for routed services unless others are asked for:
// all except those that need an optional feature of a deployment and those that were added
// later.
func ByDefault() []Kind {
	var out []Kind
	for _, k := range All() {
		if !slices.Contains(optional, k) {
			out = append(out, k)
		}
	}
	return out
}

// All returns all kinds, sorted.
func All() []Kind {
	out := make([]Kind, 0, len(kindSpecs))
	for k := range kindSpecs {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Event is one fault of a schedule.
type Event struct {
	At, For time.Duration
	Kind    Kind
	// Box and Other are indexes of boxes and Place is the index of a place; -1 is none.
	Box, Other, Place int
	// Draw is a random number from which the remaining details of the fault derive.
	Draw uint64
}

// String formats the event as in a schedule file.
func (e Event) String() string {
	return fmt.Sprintf("%8.3fs %-24s for %6.3fs box %d other %d place %d draw %d",
		e.At.Seconds(), e.Kind, e.For.Seconds(), e.Box, e.Other, e.Place, e.Draw)
}

// Unavailable reports whether the event's box can't serve while the event lasts.
func (e Event) Unavailable() bool { return kindSpecs[e.Kind].unavailable }

// Config holds the seed and the limits of a schedule.
type Config struct {
	Seed          uint64
	Boxes, Places int
	// Begin and End bound the start times of faults.
	Begin, End time.Duration
	Faults     int
	Kinds      []Kind
}

// Draw draws a schedule, sorted by start time.
func Draw(cfg Config) []Event {
	d := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1))}
	times := make([]time.Duration, cfg.Faults)
	for i := range times {
		times[i] = cfg.Begin + time.Duration(d.random.Int64N(int64(max(cfg.End-cfg.Begin, 1))))
	}
	slices.Sort(times)
	for _, at := range times {
		d.draw(at)
	}
	return d.events
}

type generator struct {
	cfg    Config
	random *rand.Rand
	events []Event
}

// maxTries is how many kinds and targets are drawn for a time until one fits.
const maxTries = 20

// draw adds one event that starts at a time, unless no draw fits.
func (d *generator) draw(at time.Duration) {
	for range maxTries {
		k := d.kind()
		t := kindSpecs[k]
		e := Event{At: at, Kind: k, For: t.minDuration, Box: -1, Other: -1, Place: -1, Draw: d.random.Uint64()}
		if t.jitter > 0 {
			e.For += time.Duration(d.random.Int64N(int64(t.jitter)))
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
			d.events = append(d.events, e)
			return
		}
	}
}

// kind draws a kind with probability proportional to its weight.
func (d *generator) kind() Kind {
	total := 0
	for _, k := range d.cfg.Kinds {
		total += kindSpecs[k].weight
	}
	n := d.random.IntN(max(total, 1))
	for _, k := range d.cfg.Kinds {
		if n -= kindSpecs[k].weight; n < 0 {
			return k
		}
	}
	return d.cfg.Kinds[0]
}

const (
	// maxAffected is the fraction of the boxes that may be unavailable at once, and of
	// the places that may be affected at once, so that a majority stays up.
	maxAffected = 1.0 / 3
	// quietTime is how long after its end a fault still excludes others of its target.
	quietTime = 2 * time.Second
)

// fits reports whether an event is compatible with those that last at its start.
func (d *generator) fits(e Event) bool {
	t := kindSpecs[e.Kind]
	away, places := 0, 0
	for _, o := range d.events {
		other := kindSpecs[o.Kind]
		if o.At+o.For+quietTime < e.At {
			continue
		}
		switch {
		case t.target == OnStore && other.target == OnStore:
			return false
		case e.Kind == EndpointsLost && o.Kind == EndpointsLost:
			return false
		case t.unavailable && other.unavailable && o.Box == e.Box:
			return false
		case e.Place >= 0 && o.Place == e.Place:
			return false
		}
		if other.unavailable {
			away++
		}
		if o.Place >= 0 {
			places++
		}
	}
	if t.unavailable && away >= max(int(maxAffected*float64(d.cfg.Boxes)), 1) {
		return false
	}
	return e.Place < 0 || places < max(int(maxAffected*float64(d.cfg.Places)), 1)
}
