// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"context"
	"errors"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
)

// call is a call to the platform that the test answers.
type call struct {
	// whole is set for a read of the list; otherwise the call waits for changes after a
	// position.
	whole, mayBeOld bool
	after           uint64
	reply           chan reply
}

type reply struct {
	list    []directory.Entry
	changes []directory.Change
	at      uint64
	err     error
}

type scriptedSource struct{ calls chan call }

func (s scriptedSource) call(ctx context.Context, c call) reply {
	c.reply = make(chan reply, 1)
	select {
	case s.calls <- c:
	case <-ctx.Done():
		return reply{err: ctx.Err()}
	}
	select {
	case r := <-c.reply:
		return r
	case <-ctx.Done():
		return reply{err: ctx.Err()}
	}
}

func (s scriptedSource) Endpoints(ctx context.Context, mayBeOld bool) ([]directory.Entry, uint64, error) {
	r := s.call(ctx, call{whole: true, mayBeOld: mayBeOld})
	return r.list, r.at, r.err
}

func (s scriptedSource) EndpointChanges(ctx context.Context, after uint64, _ bool) ([]directory.Change, uint64, error) {
	r := s.call(ctx, call{after: after})
	return r.changes, r.at, r.err
}

// next returns the next call.
func (s scriptedSource) next() call { return <-s.calls }

func startDiscoverer(t *testing.T) (*Discoverer, scriptedSource) {
	t.Helper()
	s := scriptedSource{calls: make(chan call)}
	d := New(Config{Source: s, Log: log.Discard()})
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() {
		end()
		<-ended
	})
	return d, s
}

var errBusy = errors.New("busy")

func entry(id string) directory.Entry { return directory.Entry{ID: id, Service: "s", Address: id} }

func TestLists(t *testing.T) {
	convey.Convey("A starting box reads a list that may be stale, and the changes since", t, func() {
		d, s := startDiscoverer(t)
		first := s.next()
		convey.So(first.whole && first.mayBeOld, convey.ShouldBeTrue)
		first.reply <- reply{list: []directory.Entry{entry("a")}, at: 5}
		wait := s.next()
		convey.So(wait.after, convey.ShouldEqual, 5)
		wait.reply <- reply{changes: []directory.Change{{Entry: entry("b")}}, at: 8}
		convey.So(s.next().after, convey.ShouldEqual, 8)
		convey.So(d.Directory().Len(), convey.ShouldEqual, 2)
	})
	convey.Convey("If the platform has dropped the changes since, a fresh list is read", t, func() {
		_, s := startDiscoverer(t)
		s.next().reply <- reply{at: 5}
		s.next().reply <- reply{err: adapter.ErrHistoryGone}
		again := s.next()
		convey.So(again.whole, convey.ShouldBeTrue)
		convey.So(again.mayBeOld, convey.ShouldBeFalse)
	})
	convey.Convey("A fresh list that the platform refuses is not requested again at once", t, func() {
		_, s := startDiscoverer(t)
		s.next().reply <- reply{at: 5}
		s.next().reply <- reply{err: adapter.ErrHistoryGone}
		s.next().reply <- reply{err: errBusy}
		again := s.next()
		convey.So(again.whole && again.mayBeOld, convey.ShouldBeTrue)
	})
	convey.Convey("An older list removes nothing", t, func() {
		d, s := startDiscoverer(t)
		s.next().reply <- reply{list: []directory.Entry{entry("a")}, at: 9}
		s.next().reply <- reply{err: adapter.ErrHistoryGone}
		s.next().reply <- reply{err: errBusy}
		s.next().reply <- reply{at: 7}
		convey.So(s.next().after, convey.ShouldEqual, 9)
		w, _ := d.Directory().Status("a")
		convey.So(w.Usable(), convey.ShouldBeTrue)
	})
}
