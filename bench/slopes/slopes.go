// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package slopes reads the figures of a sweep (one day at several fleet sizes) from an entry of
// the journal and computes how each figure grows with the size.
package slopes

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// Sweep holds the figures of one day at several fleet sizes.
type Sweep struct {
	Site    string
	Boxes   []float64
	Figures []Figure
}

// Figure holds the values of one figure by fleet size; NaN where a size has no value.
type Figure struct {
	Name            string
	Middle, Busiest []float64
}

// journalEntry holds the fields used of an entry of the journal.
type journalEntry struct {
	Cmd    string `json:"cmd"`
	Site   string `json:"site"`
	Digest string `json:"digest"`
}

// valuePair matches "middle / busiest", or a dash where a size has no value; headerLine matches
// the line above the table.
var (
	valuePair  = regexp.MustCompile(`([0-9.]+) / ([0-9.]+)|\s-(?:\s|$)`)
	headerLine = regexp.MustCompile(`(?m)^middle / busiest.*$`)
)

// nameWidth is the width of the name column.
const nameWidth = 41

// Read reads a sweep from the file of a journal entry.
func Read(path string) (Sweep, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Sweep{}, err
	}
	var e journalEntry
	if err := json.Unmarshal(data, &e); err != nil {
		return Sweep{}, fmt.Errorf("%s: %w", path, err)
	}
	if e.Cmd != "sweep" {
		return Sweep{}, fmt.Errorf("%s is an entry of command %q, allowed: sweep", path, e.Cmd)
	}
	s, err := Parse(e.Digest)
	s.Site = e.Site
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse parses the table of a sweep. It errors if there is no table or it has fewer than two
// sizes.
func Parse(text string) (Sweep, error) {
	at := headerLine.FindStringIndex(text)
	if at == nil {
		return Sweep{}, fmt.Errorf("no table of figures by size")
	}
	lines := strings.Split(strings.TrimLeft(text[at[1]:], "\n"), "\n")
	var s Sweep
	for _, word := range strings.Fields(lines[0]) {
		n, err := strconv.ParseFloat(word, 64)
		if err != nil {
			// The sizes are followed by text on the size to which the figures are
			// extrapolated, which may be missing.
			break
		}
		s.Boxes = append(s.Boxes, n)
	}
	if len(s.Boxes) < 2 {
		return s, fmt.Errorf("a table with %d sizes, allowed: 2 or more", len(s.Boxes))
	}
	for _, line := range lines[1:] {
		if f, ok := parseFigure(line, len(s.Boxes)); ok {
			s.Figures = append(s.Figures, f)
		}
	}
	return s, nil
}

// parseFigure parses one line of the table. It returns false if the line holds no figure with a
// value for each size.
func parseFigure(line string, sizes int) (Figure, bool) {
	if len(line) <= nameWidth || !strings.Contains(line, " / ") {
		return Figure{}, false
	}
	f := Figure{Name: strings.TrimPrefix(strings.TrimSpace(line[:nameWidth]), "router: ")}
	for _, m := range valuePair.FindAllStringSubmatch(line[nameWidth:], sizes) {
		middle, busiest := math.NaN(), math.NaN()
		if m[1] != "" {
			middle, _ = strconv.ParseFloat(m[1], 64)
			busiest, _ = strconv.ParseFloat(m[2], 64)
		}
		f.Middle, f.Busiest = append(f.Middle, middle), append(f.Busiest, busiest)
	}
	return f, len(f.Busiest) == sizes
}

// Fit is a power law through the points above 0: value = One * boxes^Power.
type Fit struct{ One, Power float64 }

// At returns the value for a number of boxes.
func (f Fit) At(boxes float64) float64 { return f.One * math.Pow(boxes, f.Power) }

// FitOf fits a power law to the positive values by least squares on the logarithms. It returns
// false if there are fewer than two such values.
func FitOf(boxes, values []float64) (Fit, bool) {
	n, sx, sy, sxx, sxy := 0.0, 0.0, 0.0, 0.0, 0.0
	for i, v := range values {
		if math.IsNaN(v) || v <= 0 {
			continue
		}
		x, y := math.Log(boxes[i]), math.Log(v)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if n < 2 {
		return Fit{}, false
	}
	power := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return Fit{One: math.Exp((sy - power*sx) / n), Power: power}, true
}
