// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"testing"
	"time"

	"runridge.example/runridge/state/locality"
)

var apart = locality.New(map[string]string{"z0": "near", "z1": "far"})

func TestMostProbesStayInTheRegion(t *testing.T) {
	cases := map[string]struct {
		regions     locality.Map
		least, most float64
	}{
		"two regions": {regions: apart, least: 0.1, most: 0.3},
		"one region":  {least: 0.4, most: 0.6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newNetworkIn(60, c.regions)
			sent, crossed := 0, 0
			w.lose = func(from, to string) bool {
				sent++
				if w.zones[from] != w.zones[to] {
					crossed++
				}
				return false
			}
			w.run(2 * time.Minute)
			if part := float64(crossed) / float64(sent); part < c.least || part > c.most {
				t.Errorf("%.2f of the messages cross regions, want %.2f to %.2f", part, c.least, c.most)
			}
		})
	}
}

func TestADeathIsKnownInTheOtherRegion(t *testing.T) {
	w := newNetworkIn(60, apart)
	w.run(30 * time.Second)
	w.down["b07"] = true
	w.run(15 * time.Second)
	if wrong := w.disagreement(); wrong != "" {
		t.Errorf("15 s after a box died: %s", wrong)
	}
}

func TestRegionsFindEachOtherAgain(t *testing.T) {
	w := newNetworkIn(40, apart)
	w.run(10 * time.Second)
	w.lose = func(from, to string) bool { return w.zones[from] != w.zones[to] }
	w.run(90 * time.Second)
	near, far := 0, 0
	for _, b := range w.views["b00"].DutyCandidates() {
		if b.Zone == "z0" {
			near++
		} else {
			far++
		}
	}
	if near != 20 || far != 0 {
		t.Errorf("while the regions are partitioned a box takes %d boxes of its own region and %d of the other for live", near, far)
	}
	w.lose = nil
	w.run(30 * time.Second)
	if wrong := w.disagreement(); wrong != "" {
		t.Errorf("30 s after the link is back: %s", wrong)
	}
}
