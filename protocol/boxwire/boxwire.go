// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package boxwire is what boxes say to each other: msgpack messages in frames
// of a kind, a length and a body, over TCP. Each message is one way; answers
// are messages of their own and are matched by attempt. At the two-year size
// the bytes between boxes are the tightest budget, so fields go by position
// and names by their hash.
package boxwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/drain"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/position"
	"runridge.example/runridge/state/table"
)

// Kind tells the messages apart on the wire.
type Kind uint8

// The kinds. Numbers are never used again for something else.
const (
	KindHello Kind = iota + 1
	KindAsk
	KindGrant
	KindRefuse
	KindSlot
	KindPrefilled
	KindDone
	KindWithdraw
	KindMember
	KindAdopt
	KindCheck
	KindQueued
	KindChange
	KindPull
	KindClaim
	KindReply
	KindCopy
	KindCopied
	KindJoin
	KindPiece
	KindUpdate
	KindUpdatePull
	KindQuotaAsk
	KindQuotaAnswer
	KindDrained
	KindDrainedPull
	KindSuspects
	KindSuspectsPull
	KindLimits
	// kindEnd comes after the last.
	kindEnd
)

const (
	// MaxFrame bounds one frame's body, in bytes. Only a whole table and a whole
	// directory come near.
	MaxFrame = 4 << 20
	// maxSmall bounds every other message: an item of a list is a byte on the
	// wire and much more in memory.
	maxSmall = 64 << 10
)

// limit is the most that a message's body may have.
func (k Kind) limit() int {
	if k == KindChange || k == KindUpdate {
		return MaxFrame
	}
	return maxSmall
}

// ErrFrame is returned for a frame that breaks the rules, and ErrNotRead for a message that
// its receiver does not read.
var (
	ErrFrame   = errors.New("bad frame")
	ErrNotRead = errors.New("message is not read there")
)

// Message is one of the message types of this package.
type Message interface {
	Kind() Kind
}

// compressed is a message part of which may be compressed.
type compressed interface {
	// unpacked is the message for builds that do not read that.
	unpacked() (Message, error)
}

// Hello opens a connection and says who speaks.
type Hello struct {
	Box         string
	Incarnation uint64
	// Proof is the HMAC over the greeting when boxes share a key.
	Proof []byte
	// Version is what the box reads.
	Version Version
}

// Member is a message of the membership protocol. Generation is the sender's
// table, so that boxes that missed a change notice, and AgeMS how long ago the
// platform last confirmed it, as far as the sender knows; -1 is not known. Drained is
// the version of the drained zones that it knows, and Suspects the digest of the suspected
// requests.
type Member struct {
	Message    member.Message
	Generation uint64
	AgeMS      int64
	Drained    drain.Version
	Suspects   uint64
	// Packed are the message's updates, compressed, where there are many.
	Packed []byte
	// DrainedEra is the era of Drained's revision.
	DrainedEra Era
	// Version is the operator's number of the sender's table; 0 is not told.
	Version uint64
}

// WithDrained returns the message with the version of the drained zones.
func (m Member) WithDrained(v drain.Version) Member {
	m.DrainedEra = EraOf(v.Revision)
	m.Drained = drain.Version{Revision: position.Revision(v.Revision), Digest: v.Digest}
	return m
}

// DrainedVersion is the version of the drained zones that the message tells to a box which
// knows them as of a position.
func (m *Member) DrainedVersion(as uint64) drain.Version {
	return drain.Version{Revision: m.DrainedEra.position(m.Drained.Revision, as), Digest: m.Drained.Digest}
}

// Table is the sender's table.
func (m *Member) Table() table.Stamp {
	return table.Stamp{Version: m.Version, Generation: m.Generation}
}

// Change carries a change of the table, as compressed JSON: it is read by people in
// traces, and a table is JSON everywhere else.
type Change struct {
	Delta []byte
}

// Pull asks for what came after a table: its generation, and its number by the operator, 0 if
// that is not told.
type Pull struct {
	Have    uint64
	Version uint64
}

// Table is the table that the sender has.
func (m *Pull) Table() table.Stamp { return table.Stamp{Version: m.Version, Generation: m.Have} }

// Update tells what has changed among the endpoints. Generation is the sender's
// table. Many changes are in Packed, compressed.
type Update struct {
	Update     directory.Update
	Generation uint64
	Packed     []byte
	// Era is that of the update's revisions.
	Era Era
	// Version is the operator's number of the sender's table; 0 is not told.
	Version uint64
}

// Table is the sender's table.
func (m *Update) Table() table.Stamp {
	return table.Stamp{Version: m.Version, Generation: m.Generation}
}

// UpdatePull asks for the changes of endpoints after a position; 0 asks for all.
type UpdatePull struct {
	Have uint64
	Era  Era
}

// NewUpdatePull asks for the changes after a position.
func NewUpdatePull(have uint64) *UpdatePull {
	return &UpdatePull{Have: position.Revision(have), Era: EraOf(have)}
}

// Position is that after which a box at a position is asked for changes.
func (m *UpdatePull) Position(as uint64) uint64 { return m.Era.position(m.Have, as) }

// Kind is KindUpdate.
func (*Update) Kind() Kind { return KindUpdate }

// Kind is KindUpdatePull.
func (*UpdatePull) Kind() Kind { return KindUpdatePull }

// Kind is KindHello.
func (*Hello) Kind() Kind { return KindHello }

// Kind is KindMember.
func (*Member) Kind() Kind { return KindMember }

// Kind is KindChange.
func (*Change) Kind() Kind { return KindChange }

// Kind is KindPull.
func (*Pull) Kind() Kind { return KindPull }

// blanks makes an empty message of each kind.
var blanks = map[Kind]func() Message{
	KindHello:      func() Message { return &Hello{} },
	KindAsk:        func() Message { return &Ask{} },
	KindGrant:      func() Message { return &Grant{} },
	KindRefuse:     func() Message { return &Refuse{} },
	KindSlot:       func() Message { return &Slot{} },
	KindPrefilled:  func() Message { return &Prefilled{} },
	KindDone:       func() Message { return &Done{} },
	KindWithdraw:   func() Message { return &Withdraw{} },
	KindMember:     func() Message { return &Member{} },
	KindAdopt:      func() Message { return &Adopt{} },
	KindCheck:      func() Message { return &Check{} },
	KindQueued:     func() Message { return &Queued{} },
	KindChange:     func() Message { return &Change{} },
	KindPull:       func() Message { return &Pull{} },
	KindClaim:      func() Message { return &Claim{} },
	KindReply:      func() Message { return &Reply{} },
	KindCopy:       func() Message { return &Copy{} },
	KindCopied:     func() Message { return &Copied{} },
	KindJoin:       func() Message { return &Join{} },
	KindPiece:      func() Message { return &Piece{} },
	KindUpdate:     func() Message { return &Update{} },
	KindUpdatePull: func() Message { return &UpdatePull{} },

	KindQuotaAsk:    func() Message { return &QuotaAsk{} },
	KindQuotaAnswer: func() Message { return &QuotaAnswer{} },

	KindDrained:     func() Message { return &Drained{} },
	KindDrainedPull: func() Message { return &DrainedPull{} },

	KindSuspects:     func() Message { return &Suspects{} },
	KindSuspectsPull: func() Message { return &SuspectsPull{} },

	KindLimits: func() Message { return &Limits{} },
}

// Append adds the frame of a message to buf, as builds of a version read it.
func Append(buf []byte, m Message, v Version) ([]byte, error) {
	if !v.Reads(m.Kind()) {
		return buf, fmt.Errorf("%w: kind %s, version %d", ErrNotRead, m.Kind(), v)
	}
	if p, ok := m.(compressed); ok && v == VersionNone {
		var err error
		if m, err = p.unpacked(); err != nil {
			return buf, err
		}
	}
	var body bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&body)
	// Fields go by position: names would be most of a small message.
	encoder.UseArrayEncodedStructs(v != VersionNone)
	encoder.SetOmitEmpty(v == VersionNone)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(m); err != nil {
		return buf, fmt.Errorf("encode message kind %d: %w", m.Kind(), err)
	}
	if body.Len() > m.Kind().limit() {
		return buf, fmt.Errorf("%w: body of %d bytes, allowed: at most %d", ErrFrame, body.Len(), m.Kind().limit())
	}
	buf = append(buf, byte(m.Kind()))
	buf = binary.AppendUvarint(buf, uint64(body.Len()))
	return append(buf, body.Bytes()...), nil
}

// Reader is what messages are read from; a bufio.Reader is one.
type Reader interface {
	io.Reader
	io.ByteReader
}

// Read takes one message from r. It reads no more than MaxFrame and the header. A message
// that this build does not know, or cannot read, is an Unknown; an error is a frame that
// cannot be cut, after which nothing can be read.
func Read(r Reader) (Message, error) {
	code, err := r.ReadByte()
	if err != nil {
		return nil, err
	}
	kind := Kind(code)
	blank, known := blanks[kind]
	limit := MaxFrame
	if known {
		limit = kind.limit()
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, fmt.Errorf("%w: length: %w", ErrFrame, err)
	}
	if length > uint64(limit) {
		return nil, fmt.Errorf("%w: body of %d bytes, allowed: at most %d", ErrFrame, length, limit)
	}
	if !known {
		if _, err := io.CopyN(io.Discard, r, int64(length)); err != nil {
			return nil, err
		}
		return &Unknown{Code: kind}, nil
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	m := blank()
	if err := decode(body, m); err != nil {
		return &Unknown{Code: kind, Err: err}, nil
	}
	return m, nil
}

// decode reads a value from the bytes of a body.
func decode(body []byte, into any) error {
	// The library makes room for as many items as a list says that it has. So
	// the body is walked first: a list that says more than is there ends here.
	if err := msgpack.NewDecoder(bytes.NewReader(body)).Skip(); err != nil {
		return err
	}
	return decodeLoose(msgpack.NewDecoder(bytes.NewReader(body)), reflect.ValueOf(into).Elem())
}
