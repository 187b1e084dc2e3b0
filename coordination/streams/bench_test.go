// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package streams

import (
	"fmt"
	"testing"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/state/streams"
)

// nowhere drops all messages.
type nowhere struct{}

func (nowhere) SendOrigin(string, streams.Origin)   {}
func (nowhere) SendOriginQuestion(string, Question) {}
func (nowhere) SendOriginAnswer(string, Answer)     {}

// BenchmarkBegin records the origin of a stream, without the network.
func BenchmarkBegin(b *testing.B) {
	for _, boxes := range []int{7, 400} {
		b.Run(fmt.Sprint(boxes, " boxes"), func(b *testing.B) {
			var names []string
			for i := range boxes {
				names = append(names, fmt.Sprintf("box-%d", i))
			}
			ranked := rank.Of(names)
			k := New(Config{Self: "box-0", Peers: nowhere{}, Ranked: ranked.First, Log: log.Discard()})
			b.ReportAllocs()
			for i := range b.N {
				k.Begin("reader", fmt.Sprint("attempt-", i), "v1.1")
			}
		})
	}
}
