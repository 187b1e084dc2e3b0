// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package registry

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/coordination/adapter"
	members "runridge.example/runridge/coordination/member"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/member"
)

// memoryList is the platform's list in memory.
type memoryList struct {
	entries map[string]adapter.Box
	version uint64
	joins   int
}

func newList(names ...string) *memoryList {
	l := &memoryList{entries: make(map[string]adapter.Box)}
	for _, name := range names {
		_ = l.Join(context.Background(), adapter.Box{Name: name, Address: name})
	}
	l.joins = 0
	return l
}

func (l *memoryList) Join(_ context.Context, b adapter.Box) error {
	l.version++
	l.joins++
	b.Version = l.version
	l.entries[b.Name] = b
	return nil
}

func (l *memoryList) Remove(_ context.Context, name string, version uint64) error {
	if version > 0 && l.entries[name].Version != version {
		return adapter.ErrConflict
	}
	delete(l.entries, name)
	return nil
}

// newKeeper returns the Keeper of box a, which sees box b as dead.
func newKeeper(l *memoryList, order []string, listed func() map[string]adapter.Box) *Keeper {
	view := func() members.Snapshot {
		return members.Snapshot{
			All:    []member.Box{{Name: "a", Address: "a"}, {Name: "b", Address: "b", State: member.Dead}},
			Listed: listed(),
		}
	}
	return New(Config{
		Self:     adapter.Box{Name: "a", Address: "a"},
		Platform: l,
		Members:  view,
		Ranked:   func(string) []string { return order },
		Log:      log.Discard(),
	})
}

func TestDeadBoxesAreTakenOff(t *testing.T) {
	cases := map[string]struct {
		order []string
		wait  time.Duration
		// again rewrites the dead box's entry after the list was read; moved gives the box
		// another address on the list.
		again, moved bool
		want         []string
	}{
		"dead for long":            {order: []string{"a"}, wait: 40 * time.Second, want: []string{"a"}},
		"dead for a short time":    {order: []string{"a"}, wait: 15 * time.Second, want: []string{"a", "b"}},
		"another box removes it":   {order: []string{"c", "a"}, wait: 40 * time.Second, want: []string{"a", "b"}},
		"it has rejoined":          {order: []string{"a"}, wait: 40 * time.Second, again: true, want: []string{"a", "b"}},
		"it has moved":             {order: []string{"a"}, wait: 40 * time.Second, moved: true, want: []string{"a", "b"}},
		"no box knows the others ": {wait: 40 * time.Second, want: []string{"a", "b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newList("a", "b")
				read := map[string]adapter.Box{"a": l.entries["a"], "b": l.entries["b"]}
				if c.moved {
					read["b"] = adapter.Box{Name: "b", Address: "elsewhere", Version: 9}
				}
				if c.again {
					_ = l.Join(t.Context(), adapter.Box{Name: "b", Address: "b"})
				}
				k := newKeeper(l, c.order, func() map[string]adapter.Box { return read })
				runFor(t, k, c.wait)
				var got []string
				for name := range l.entries {
					got = append(got, name)
				}
				slices.Sort(got)
				if !slices.Equal(got, c.want) {
					t.Errorf("listed: %v, want %v", got, c.want)
				}
			})
		})
	}
}

func TestBoxThatIsMissingJoinsAgain(t *testing.T) {
	cases := map[string]struct {
		listed map[string]adapter.Box
		joins  int
	}{
		"not on the list":     {listed: map[string]adapter.Box{"b": {Name: "b"}}, joins: 3},
		"on the list":         {listed: map[string]adapter.Box{"a": {Name: "a"}}, joins: 1},
		"list never read yet": {joins: 1},
		"listed since before the start": {
			listed: map[string]adapter.Box{"a": {Name: "a", Address: "a"}},
		},
		"listed with another address": {
			listed: map[string]adapter.Box{"a": {Name: "a", Address: "elsewhere"}},
			joins:  1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newList("b")
				k := newKeeper(l, nil, func() map[string]adapter.Box { return c.listed })
				runFor(t, k, 22*time.Second)
				if l.joins != c.joins {
					t.Errorf("joined %d times, want %d", l.joins, c.joins)
				}
			})
		})
	}
}

// runFor runs a Keeper for a while.
func runFor(t *testing.T, k *Keeper, d time.Duration) {
	t.Helper()
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = k.Run(ctx)
	}()
	time.Sleep(d)
	end()
	<-ended
}
