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

// list is the platform's list in memory.
type list struct {
	entries map[string]adapter.Box
	version uint64
	joins   int
}

func newList(names ...string) *list {
	l := &list{entries: make(map[string]adapter.Box)}
	for _, name := range names {
		_ = l.Join(context.Background(), adapter.Box{Name: name, Address: name})
	}
	l.joins = 0
	return l
}

func (l *list) Join(_ context.Context, b adapter.Box) error {
	l.version++
	l.joins++
	b.Version = l.version
	l.entries[b.Name] = b
	return nil
}

func (l *list) Remove(_ context.Context, name string, version uint64) error {
	if version > 0 && l.entries[name].Version != version {
		return adapter.ErrConflict
	}
	delete(l.entries, name)
	return nil
}

// keeper is that of box a beside box b, which is dead.
func keeper(l *list, order []string, listed func() map[string]adapter.Box) *Keeper {
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
		// again writes the dead box's entry anew after the list was read; moved
		// gives it another address there.
		again, moved bool
		want         []string
	}{
		"dead for long":            {order: []string{"a"}, wait: 40 * time.Second, want: []string{"a"}},
		"dead for a short time":    {order: []string{"a"}, wait: 15 * time.Second, want: []string{"a", "b"}},
		"another box does it":      {order: []string{"c", "a"}, wait: 40 * time.Second, want: []string{"a", "b"}},
		"it has written anew":      {order: []string{"a"}, wait: 40 * time.Second, again: true, want: []string{"a", "b"}},
		"it is elsewhere now":      {order: []string{"a"}, wait: 40 * time.Second, moved: true, want: []string{"a", "b"}},
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
				k := keeper(l, c.order, func() map[string]adapter.Box { return read })
				run(t, k, c.wait)
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
		"there since before the start": {
			listed: map[string]adapter.Box{"a": {Name: "a", Address: "a"}},
		},
		"there with another address": {
			listed: map[string]adapter.Box{"a": {Name: "a", Address: "elsewhere"}},
			joins:  1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newList("b")
				k := keeper(l, nil, func() map[string]adapter.Box { return c.listed })
				run(t, k, 22*time.Second)
				if l.joins != c.joins {
					t.Errorf("joined %d times, want %d", l.joins, c.joins)
				}
			})
		})
	}
}

// run lets the duty run for a time.
func run(t *testing.T, k *Keeper, d time.Duration) {
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
