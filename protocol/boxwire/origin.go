// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"time"

	origins "runridge.example/runridge/coordination/streams"
	"runridge.example/runridge/state/streams"
)

// Origin tells another box which software version began a stream.
type Origin struct {
	Key      uint64
	Software string
}

// OriginQuestion asks which software version began a stream, at most HorizonMS ago.
type OriginQuestion struct {
	Sequence  uint64
	Service   string
	Key       uint64
	HorizonMS int64
}

// OriginAnswer answers an OriginQuestion. Versions are the software versions that the service had
// within the horizon as the sender knows, and Complete reports whether it knows all of them.
type OriginAnswer struct {
	Sequence uint64
	Known    bool
	Software string
	Versions []string
	Complete bool
}

// Kind returns KindOrigin.
func (*Origin) Kind() Kind { return KindOrigin }

// Kind returns KindOriginQuestion.
func (*OriginQuestion) Kind() Kind { return KindOriginQuestion }

// Kind returns KindOriginAnswer.
func (*OriginAnswer) Kind() Kind { return KindOriginAnswer }

// FromOrigin converts an origin to its message.
func FromOrigin(o streams.Origin) *Origin { return &Origin{Key: uint64(o.Key), Software: o.Software} }

// Origin converts the message back.
func (m *Origin) Origin() streams.Origin {
	return streams.Origin{Key: streams.Key(m.Key), Software: m.Software}
}

// FromOriginQuestion converts a question to its message.
func FromOriginQuestion(q origins.Question) *OriginQuestion {
	return &OriginQuestion{Sequence: q.Sequence, Service: q.Service, Key: uint64(q.Key), HorizonMS: q.Horizon.Milliseconds()}
}

// Question converts the message back.
func (m *OriginQuestion) Question() origins.Question {
	horizon := min(max(m.HorizonMS, 0), streams.Keep.Milliseconds())
	return origins.Question{
		Sequence: m.Sequence, Service: m.Service, Key: streams.Key(m.Key), Horizon: time.Duration(horizon) * time.Millisecond,
	}
}

// FromOriginAnswer converts an answer to its message.
func FromOriginAnswer(a origins.Answer) *OriginAnswer {
	return &OriginAnswer{Sequence: a.Sequence, Known: a.Known, Software: a.Software, Versions: a.View.Versions, Complete: a.View.Complete}
}

// Answer converts the message back.
func (m *OriginAnswer) Answer() origins.Answer {
	return origins.Answer{
		Sequence: m.Sequence, Known: m.Known, Software: m.Software,
		View: streams.View{Versions: m.Versions, Complete: m.Complete},
	}
}
