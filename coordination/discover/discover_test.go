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

// call is one call to the platform; the test answers it.
type call struct {
	// whole is a list, else a wait for changes after a position.
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

type scripted struct{ calls chan call }

func (s scripted) ask(ctx context.Context, c call) reply {
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

func (s scripted) Endpoints(ctx context.Context, mayBeOld bool) ([]directory.Entry, uint64, error) {
	r := s.ask(ctx, call{whole: true, mayBeOld: mayBeOld})
	return r.list, r.at, r.err
}

func (s scripted) EndpointChanges(ctx context.Context, after uint64, _ bool) ([]directory.Change, uint64, error) {
	r := s.ask(ctx, call{after: after})
	return r.changes, r.at, r.err
}

// next is the next call that is not a repeat of a wait that timed out.
func (s scripted) next() call { return <-s.calls }

func begin(t *testing.T) (*Discoverer, scripted) {
	t.Helper()
	s := scripted{calls: make(chan call)}
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
	convey.Convey("A start takes a list that may be old, and the changes since", t, func() {
		d, s := begin(t)
		first := s.next()
		convey.So(first.whole && first.mayBeOld, convey.ShouldBeTrue)
		first.reply <- reply{list: []directory.Entry{entry("a")}, at: 5}
		wait := s.next()
		convey.So(wait.after, convey.ShouldEqual, 5)
		wait.reply <- reply{changes: []directory.Change{{Entry: entry("b")}}, at: 8}
		convey.So(s.next().after, convey.ShouldEqual, 8)
		convey.So(d.Directory().Len(), convey.ShouldEqual, 2)
	})
	convey.Convey("Where the changes since are forgotten, the list is read fresh", t, func() {
		_, s := begin(t)
		s.next().reply <- reply{at: 5}
		s.next().reply <- reply{err: adapter.ErrHistoryGone}
		again := s.next()
		convey.So(again.whole, convey.ShouldBeTrue)
		convey.So(again.mayBeOld, convey.ShouldBeFalse)
	})
	convey.Convey("A fresh list that the platform turns away is not asked for again at once", t, func() {
		_, s := begin(t)
		s.next().reply <- reply{at: 5}
		s.next().reply <- reply{err: adapter.ErrHistoryGone}
		s.next().reply <- reply{err: errBusy}
		again := s.next()
		convey.So(again.whole && again.mayBeOld, convey.ShouldBeTrue)
	})
	convey.Convey("An older list takes nothing back", t, func() {
		d, s := begin(t)
		s.next().reply <- reply{list: []directory.Entry{entry("a")}, at: 9}
		s.next().reply <- reply{err: adapter.ErrHistoryGone}
		s.next().reply <- reply{err: errBusy}
		s.next().reply <- reply{at: 7}
		convey.So(s.next().after, convey.ShouldEqual, 9)
		w, _ := d.Directory().Status("a")
		convey.So(w.Usable(), convey.ShouldBeTrue)
	})
}
