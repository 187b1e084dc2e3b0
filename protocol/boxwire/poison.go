// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"time"

	"runridge.example/runridge/state/poison"
)

// Suspects carries requests during which endpoints ended. It holds neither bodies nor keys of
// the requests, only their digests.
type Suspects struct {
	Origin   string
	Suspects []Suspect
}

// Suspect is one suspected request. AgeMS is how long before the message the request was last
// seen; times are sent as ages because boxes do not compare their clocks.
type Suspect struct {
	Fingerprint []byte
	Ends        []End
	AgeMS       int64
}

// End is the end of one incarnation of an endpoint that was running the request, AgeMS before
// the message. RanMS is how long after it was sent to the endpoint the request broke off.
// Cleared reports whether the request has been answered elsewhere since.
type End struct {
	Endpoint uint64
	AgeMS    int64
	RanMS    int64
	Cleared  bool
	// Of identifies the request that broke off; 0 from builds that don't tell.
	Of uint32
}

// SuspectsPull asks for all suspected requests that the receiver knows.
type SuspectsPull struct{}

// Kind returns KindSuspects.
func (*Suspects) Kind() Kind { return KindSuspects }

// Kind returns KindSuspectsPull.
func (*SuspectsPull) Kind() Kind { return KindSuspectsPull }

// FromSuspects converts an update to its message.
func FromSuspects(now time.Time, u poison.Update) *Suspects {
	m := &Suspects{Origin: u.Origin}
	for _, s := range u.Suspects {
		out := Suspect{Fingerprint: s.Fingerprint[:], AgeMS: now.Sub(s.Seen).Milliseconds()}
		for _, e := range s.Ends {
			out.Ends = append(out.Ends, End{
				Endpoint: e.Endpoint, AgeMS: now.Sub(e.At).Milliseconds(), RanMS: e.Ran.Milliseconds(), Cleared: e.Cleared, Of: e.Of,
			})
		}
		m.Suspects = append(m.Suspects, out)
	}
	return m
}

// Update converts the message back to an update and leaves out invalid suspects.
func (m *Suspects) Update(now time.Time) poison.Update {
	u := poison.Update{Origin: m.Origin}
	for _, s := range m.Suspects {
		if len(s.Fingerprint) != len(poison.Fingerprint{}) || len(s.Ends) > poison.MaxEnds || s.AgeMS < 0 || s.AgeMS > poison.Keep.Milliseconds() {
			continue
		}
		out := poison.Suspect{
			Fingerprint: poison.Fingerprint(s.Fingerprint),
			Seen:        now.Add(-time.Duration(s.AgeMS) * time.Millisecond),
		}
		for _, e := range s.Ends {
			out.Ends = append(out.Ends, poison.End{
				Endpoint: e.Endpoint, At: now.Add(-time.Duration(e.AgeMS) * time.Millisecond), Ran: time.Duration(e.RanMS) * time.Millisecond, Cleared: e.Cleared, Of: e.Of,
			})
		}
		u.Suspects = append(u.Suspects, out)
	}
	return u
}
