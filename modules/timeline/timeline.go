// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package timeline collects the log lines of several boxes that concern one request and
// sorts them by time.
package timeline

import (
	"bufio"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"runridge.example/runridge/modules/log"
)

// Line is one line of a box's log.
type Line struct {
	Time   time.Time
	Text   string
	fields map[string]string
}

// Field returns a field of the line, or an empty string if it has none.
func (l Line) Field(name string) string { return l.fields[name] }

// stateEvents are the events that change what a box knows. Those close to a request are
// included in its timeline. Event names of older builds stay in the list.
var stateEvents = []string{
	"table_in_force", "table_rejected", "directory_changed", "members_changed", "endpoint_list_failed",
	"endpoint_list_regained", "endpoint_history_gone", "platform_watch_failed", "home_started", "home_ended",
	"box_leaving", "own_pause_noticed", "settings_reloaded", "starting",
	"stages_planned", "stage_ordered", "stage_order_unanswered", "quota_home_started", "quota_home_ended", "endpoint_watch_changed", "endpoint_entries_in_grace", "engine_ejected",
	"endpoint_limit_told", "endpoint_limit_changed", "endpoint_path_lost", "endpoint_path_regained", "endpoint_unreached",
	"endpoint_out_of_use", "endpoint_kept_in_grace", "platform_object_unreadable", "overload_limit",
}

// leadTime is how long before a request's first line a state event still belongs to its
// timeline.
const leadTime = 2 * time.Second

// pairPattern matches one key=value of a line; a quoted value may contain spaces.
var pairPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parse reads one line and reports whether it has a valid time. Text before its first pair
// stays in Text only.
func parse(text string) (Line, bool) {
	l := Line{Text: text, fields: make(map[string]string)}
	for _, m := range pairPattern.FindAllStringSubmatch(text, -1) {
		l.fields[m[1]] = strings.Trim(m[2], `"`)
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	l.Time = at
	return l, err == nil
}

// Read reads the lines of a log and skips those that have no valid time.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}

// ForRequest returns the lines of one request out of all boxes' lines, sorted by time: its own
// lines, those of the homes that were asked for it, and the state events of the boxes
// involved around that time.
func ForRequest(request string, lines []Line) []Line {
	asks := make(map[string]bool)
	boxes := make(map[string]bool)
	var own []Line
	for _, l := range lines {
		if l.Field(log.FieldRequest) == request {
			own = append(own, l)
			boxes[l.Field(log.FieldBox)] = true
			if ask := l.Field(log.FieldAsk); ask != "" {
				asks[ask] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	for _, l := range lines {
		if asks[l.Field(log.FieldAsk)] && l.Field(log.FieldRequest) != request {
			own = append(own, l)
			boxes[l.Field(log.FieldBox)] = true
		}
	}
	byTime(own)
	first, last := own[0].Time.Add(-leadTime), own[len(own)-1].Time
	for _, l := range lines {
		inTime := !l.Time.Before(first) && !l.Time.After(last)
		if inTime && boxes[l.Field(log.FieldBox)] && slices.Contains(stateEvents, l.Field("msg")) {
			own = append(own, l)
		}
	}
	byTime(own)
	return own
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
