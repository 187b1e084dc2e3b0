// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"runridge.example/runridge/coordination/cleanup"
	"runridge.example/runridge/coordination/dedup"
	"runridge.example/runridge/coordination/dispatch"
	"runridge.example/runridge/coordination/follow"
	"runridge.example/runridge/coordination/home"
	members "runridge.example/runridge/coordination/member"
	"runridge.example/runridge/coordination/owner"
	"runridge.example/runridge/coordination/watch"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/protocol/boxwire"
	records "runridge.example/runridge/state/dedup"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/transport/boxnet"
	"runridge.example/runridge/transport/callerhttp"
)

// minKeyBytes is the minimum length of the key that boxes share.
const minKeyBytes = 16

func readKey(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("setting box_key_file: %w", err)
	}
	if len(key) < minKeyBytes {
		return nil, invalid.FieldError{Field: "setting box_key_file", Value: path, Allowed: fmt.Sprintf("a file of at least %d bytes", minKeyBytes)}
	}
	return key, nil
}

// assemble creates the parts of the box and connects them.
func (b *Box) assemble(key []byte) {
	s, o := b.settings, b.options
	b.net = boxnet.New(b.netCtx, boxnet.Config{
		Box:         s.Name,
		Incarnation: o.Incarnation,
		Address:     b.advertised(),
		Key:         key,
		Handler:     b.receive,
		OnRefused:   func(box string) { b.members.Refused(box) },
		DistanceTo:  b.distanceTo,
		Endpoints:   b.endpoints(),
		Log:         o.Log,
	})
	others := peers{
		net:      b.net,
		table:    func() table.Stamp { return b.follower.Table().Stamp() },
		age:      func() time.Duration { return b.follower.Age() },
		drained:  b.drainedVersion,
		suspects: func() uint64 { return b.quarantine.Digest() },
	}
	b.others = others
	b.router = home.NewRouter(s.Name, others)
	b.setSpread([]member.Box{{Name: s.Name, Zone: s.Zone}})
	b.follower = follow.New(follow.Config{
		Self:     s.Name,
		Platform: b.platform,
		Peers:    others,
		Ranked:   b.nearRanked,
		Tree:     b.tree,
		Settle:   b.settle(),
		Alone:    b.alone,
		Reads:    b.tableReads(),
		Turn:     b.tableTurn(),
		Wait:     b.tableWait(),
		Log:      o.Log,

		FirstMayBeStale: b.routed != nil,
	})
	owners := owner.New(owner.Config{
		Members: func() members.Snapshot { return b.members.Snapshot() },
		Prober:  b.net,
	})
	b.quarantine = b.newQuarantine()
	b.overload = b.newOverload()
	b.gateCallers()
	b.keeper = dedup.NewKeeper(dedup.Config{
		Self:        s.Name,
		Incarnation: o.Incarnation,
		Store:       records.Config{Window: o.Window},
		Sender:      dedupMessages{b},
		Rank:        func(key string, boxes []string) []string { return rank.Of(boxes).First(key, recordReplicas) },
	})
	b.claimer = dedup.NewClaimer(dedup.ClaimerConfig{
		Incarnation: o.Incarnation,
		Asker:       dedupMessages{b},
		Ranked:      b.router.Ranked,
	})
	b.releaser = cleanup.New(cleanup.Config{Engine: b.engine, Log: o.Log})
	b.watch = watch.New(watch.Config{
		Engine:   b.engine,
		Homes:    homesRef{b},
		Checker:  b.router,
		Owners:   owners,
		Releaser: b.releaser,
		Log:      o.Log,
	})
	b.homes = home.New(home.Config{
		Self:    s.Name,
		Answers: b.router,
		Watch:   b.watchSetter(),
		Stages:  b.stages(),
		Policy:  o.Policy,
		Log:     o.Log,
		Seed:    xxhash.Sum64String(s.Name) ^ o.Incarnation,

		ColdBound: coldBoundOf(s.Relay),
		Standing:  b.standing,
		Metrics:   b.metrics,
	})
	b.dispatch = dispatch.New(dispatch.Config{
		Box:         s.Name,
		Incarnation: o.Incarnation,
		Zone:        s.Zone,
		Region:      b.regions.Of(s.Zone),
		Engine:      b.engine,
		Homes:       b.router,
		Releaser:    b.releaser,
		Tables:      b.follower,
		Keys:        b.claimer,
		Owners:      owners,
		Window:      o.Window,
		Notices:     b.notices,
		Metrics:     b.metrics,
		Quarantine:  b.quarantine,
		MaxAttempts: uint32(s.Limits.MaxAttempts),
		StepTimeout: time.Duration(s.Limits.StepTimeoutMS) * time.Millisecond,
		Log:         o.Log,
	})
	b.members = members.New(members.Config{
		View: member.Config{
			Self: member.Box{
				Name: s.Name, Address: b.advertised(), Zone: s.Zone,
				Start: o.Incarnation, Incarnation: o.Incarnation, Wire: uint16(boxwire.VersionCurrent),
			},
			Regions: b.regions,
			Period:  o.ProbePeriod,
			Timeout: o.ProbePeriod / probeShare,
			Seed:    xxhash.Sum64String(s.Name) ^ o.Incarnation,
		},
		Sender:   others,
		Platform: b.platform,
		Poll:     o.PollBoxes,
		OnChange: b.membersChanged,
		OnPause: func() {
			b.homes.NotePause()
			b.pauseRouted()
			b.keeper.ReportGap()
		},
		Log: o.Log,
	})
	b.names.Store(boxwire.NewNames())
	b.decisions = decisions{dispatch: b.dispatch, notices: b.notices}
	if b.routed != nil {
		b.assembleRouted(o.relayNames())
		b.decisions.relay = b.routed.relay
	}
	b.router.Connect(b.homes, b.decisions, b.notices)
	b.follower.OnChange(b.setTable)
	b.callers = callerhttp.New(callerhttp.Config{
		Dispatcher:    b.dispatch,
		Plain:         b.plain,
		Tables:        b.follower,
		Ready:         b.Ready,
		Zone:          s.Zone,
		MaxBody:       s.Limits.MaxBodyBytes,
		MaxHeaders:    s.Limits.MaxHeaderBytes,
		MaxConcurrent: s.Limits.MaxConcurrent,
		BytesPerToken: s.Limits.BytesPerToken,
		Admission:     b.overload,
		Held:          b.held,
		Log:           o.Log,
	})
}

// homesRef gives the watch access to the homes, which are created after it.
type homesRef struct{ b *Box }

// Offer queues a command for the box's homes.
func (h homesRef) Offer(c home.Command) ring.Outcome { return h.b.homes.Offer(c) }
