// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"reflect"
	"testing"
	"time"

	"runridge.example/runridge/state/poison"
)

// fullSuspect returns a suspect with as many ends as allowed. Its times are whole milliseconds
// apart, as on the wire.
func fullSuspect(seen time.Time) poison.Suspect {
	s := poison.Suspect{Fingerprint: poison.FingerprintOf(poison.Request{Target: "/a"}), Seen: seen}
	for i := range poison.MaxEnds {
		s.Ends = append(s.Ends, poison.End{Endpoint: ^uint64(0) - uint64(i), At: seen.Add(-time.Minute), Ran: time.Duration(i) * time.Second, Cleared: i%2 == 0})
	}
	return s
}

func TestSuspectsComeBack(t *testing.T) {
	sent := time.Date(2026, 3, 12, 3, 0, 0, 0, time.UTC)
	want := poison.Update{Origin: "box-1", Suspects: []poison.Suspect{fullSuspect(sent.Add(-4 * time.Second))}}
	received := sent.Add(time.Hour)
	got := FromSuspects(sent, want).Update(received)
	want.Suspects[0].Seen = received.Add(-4 * time.Second)
	for i := range want.Suspects[0].Ends {
		want.Suspects[0].Ends[i].At = received.Add(-4*time.Second - time.Minute)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestSuspectsFit checks that the highest number of suspects in a message fits into a frame.
func TestSuspectsFit(t *testing.T) {
	now := time.Date(2026, 3, 12, 3, 0, 0, 0, time.UTC)
	u := poison.Update{Origin: "a box with a long name"}
	for range poison.MaxSent {
		u.Suspects = append(u.Suspects, fullSuspect(now.Add(-poison.Keep/2)))
	}
	frame, err := Append(nil, FromSuspects(now, u), VersionCurrent)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d suspects with %d ends each take %d bytes", poison.MaxSent, poison.MaxEnds, len(frame))
}

func TestSuspectsThatNoBoxSends(t *testing.T) {
	now := time.Date(2026, 3, 12, 3, 0, 0, 0, time.UTC)
	valid := func() Suspect {
		return FromSuspects(now, poison.Update{Suspects: []poison.Suspect{fullSuspect(now)}}).Suspects[0]
	}
	cases := map[string]func(s *Suspect){
		"a short fingerprint": func(s *Suspect) { s.Fingerprint = s.Fingerprint[1:] },
		"none":                func(s *Suspect) { s.Fingerprint = nil },
		"too many ends":       func(s *Suspect) { s.Ends = append(s.Ends, End{}) },
		"seen in the future":  func(s *Suspect) { s.AgeMS = -1 },
		"seen long ago":       func(s *Suspect) { s.AgeMS = 1 << 62 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			bad := valid()
			change(&bad)
			m := Suspects{Suspects: []Suspect{bad, valid()}}
			if got := m.Update(now); len(got.Suspects) != 1 {
				t.Errorf("%d suspects are accepted, want only the valid one", len(got.Suspects))
			}
		})
	}
}
