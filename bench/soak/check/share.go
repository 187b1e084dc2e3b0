// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

// Share counts requests and those of them that were answered.
type Share struct{ Asked, Answered int }

// Add counts a request.
func (s *Share) Add(answered bool) {
	s.Asked++
	if answered {
		s.Answered++
	}
}

// Ratio returns the part of the requests that was answered; 0 without requests.
func (s Share) Ratio() float64 { return float64(s.Answered) / float64(max(s.Asked, 1)) }
