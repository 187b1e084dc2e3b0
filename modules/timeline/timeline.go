// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package timeline puts the log lines of several boxes that concern one request
// in the order of their times.
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

// Field is a field of the line; empty if there is none.
func (l Line) Field(name string) string { return l.fields[name] }

// beliefs are the events that change what a box takes for true. Those of the
// time of a request are part of its story.
var beliefs = []string{
	"table_in_force", "table_rejected", "directory_changed", "members_changed", "endpoint_list_failed",
	"endpoint_list_regained", "endpoint_history_gone", "platform_watch_failed", "home_started", "home_ended",
	"box_leaving", "own_pause_noticed", "settings_reloaded", "starting",
	"stages_planned", "stage_ordered", "stage_order_unanswered", "quota_home_started", "quota_home_ended", "endpoint_watch_changed", "endpoint_entries_in_grace", "engine_ejected",
	"endpoint_limit_told", "endpoint_limit_changed",
}

// around is how long before a request's first line a changed belief counts as
// part of its story.
const around = 2 * time.Second

// pair is one key=value of a line; a quoted value may hold blanks.
var pair = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parse reads one line; what stands before its first pair is kept in the text.
func parse(text string) (Line, bool) {
	l := Line{Text: text, fields: make(map[string]string)}
	for _, m := range pair.FindAllStringSubmatch(text, -1) {
		l.fields[m[1]] = strings.Trim(m[2], `"`)
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	l.Time = at
	return l, err == nil
}

// Read reads the lines of a log; others are passed over.
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

// Of picks the lines of one request out of all boxes' lines, in the order of
// their times: its own, those of the homes that were asked for it, and the
// changed beliefs of the boxes concerned in its time.
func Of(request string, lines []Line) []Line {
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
	first, last := own[0].Time.Add(-around), own[len(own)-1].Time
	for _, l := range lines {
		inTime := !l.Time.Before(first) && !l.Time.After(last)
		if inTime && boxes[l.Field(log.FieldBox)] && slices.Contains(beliefs, l.Field("msg")) {
			own = append(own, l)
		}
	}
	byTime(own)
	return own
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
