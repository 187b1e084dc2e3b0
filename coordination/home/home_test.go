// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/example"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
)

// answers drops what a home says; this box is home of every group.
type answers struct{}

func (answers) Answer(string, string, schedule.Decision)            {}
func (answers) Check(string, string, string, []lifecycle.AttemptID) {}
func (answers) HomeOf(string) string                                { return "self" }

func TestProcessesThatAreNoMore(t *testing.T) {
	cases := map[string]struct {
		lost Lost
		want int
	}{
		"the box is dead":                  {lost: Lost{Dead: []string{"b"}}, want: 0},
		"it started anew":                  {lost: Lost{Starts: map[string]uint64{"b": 8}}, want: 0},
		"the same process goes on":         {lost: Lost{Starts: map[string]uint64{"b": 7}}, want: 1},
		"its start has not been heard yet": {lost: Lost{Starts: map[string]uint64{"b": 0}}, want: 1},
		"another box started anew":         {lost: Lost{Starts: map[string]uint64{"c": 8}}, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				table, _ := example.Table(example.Bogota)
				h := New(Config{Self: "self", Answers: answers{}, Log: log.Discard()})
				h.configure(table.WithGeneration(1))
				group := table.Groups()[0].Key
				id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Incarnation: 7, Sequence: 1}, Number: 1}
				h.handle(Command{From: "b", Group: group, Body: schedule.Ask{ID: id, Box: "b", PromptTokens: 100, OutputTokens: 10}})
				convey.So(h.groups[group].Granted(), convey.ShouldEqual, 1)
				h.LiveChanged(c.lost)
				h.retire()
				convey.So(h.groups[group].Granted(), convey.ShouldEqual, c.want)
			})
		})
	}
}
