// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package boxwire defines the messages that boxes exchange over TCP: msgpack
// bodies in frames of a kind, a length and a body. Messages are one-way; an
// answer is a message of its own and is matched to its question by attempt. At
// the fleet size planned for in two years, the bytes between boxes are the
// tightest budget, so struct fields are encoded by position and names as hashes.
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

// Kind is the message type as written in a frame's header.
type Kind uint8

// Message kinds. The number of a kind is never reused for another one.
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
	KindTunnel
	KindTunnelReply
	KindTunnelData
	KindOrigin
	KindOriginQuestion
	KindOriginAnswer
	KindEcho
	// kindEnd is one above the last kind.
	kindEnd
)

const (
	// MaxFrame is the largest body of a frame, in bytes. Only a whole table and
	// a whole directory of endpoints come near it.
	MaxFrame = 4 << 20
	// maxSmallFrame is the largest body of all kinds but KindChange and KindUpdate,
	// in bytes. It is low because a list item of one byte on the wire takes far
	// more in memory.
	maxSmallFrame = 64 << 10
)

// limit returns the largest body of a message of the kind, in bytes.
func (k Kind) limit() int {
	if k == KindChange || k == KindUpdate {
		return MaxFrame
	}
	return maxSmallFrame
}

// ErrFrame is returned for a malformed or oversized frame, and ErrUnsupportedKind for a message
// of a kind that the receiver's build does not support.
var (
	ErrFrame           = errors.New("bad frame")
	ErrUnsupportedKind = errors.New("message is not read there")
)

// Message is implemented by pointers to all message types of this package.
type Message interface {
	Kind() Kind
}

// compressible is a message that may have a compressed part.
type compressible interface {
	// uncompressed returns the message in plain form, for builds that cannot read the
	// compressed part.
	uncompressed() (Message, error)
}

// Hello is the greeting that opens a connection and identifies the sender.
type Hello struct {
	Box         string
	Incarnation uint64
	// Proof is the HMAC over the greeting; set only if the boxes share a key.
	Proof []byte
	// Version identifies the messages that the box can read.
	Version Version
	// Address is where the box listens for other boxes; empty if not stated.
	Address string
}

// Member is a message of the membership protocol. Generation is that of the
// sender's table, so that boxes that missed a change of it find out. AgeMS is how
// long ago the platform last confirmed that table, as far as the sender knows; -1 means
// unknown. Drained is the version of the drained zones that the sender knows, and Suspects
// the digest of the suspected requests.
type Member struct {
	Message    member.Message
	Generation uint64
	AgeMS      int64
	Drained    drain.Version
	Suspects   uint64
	// Packed holds the message's updates in compressed form if there are many.
	Packed []byte
	// DrainedEra is the era of the revision in Drained.
	DrainedEra Era
	// Version is the version that the operator gave the sender's table; 0 means not stated.
	Version uint64
}

// WithDrained returns a copy of the message that carries the version of the drained zones.
func (m Member) WithDrained(v drain.Version) Member {
	m.DrainedEra = EraOf(v.Revision)
	m.Drained = drain.Version{Revision: position.Revision(v.Revision), Digest: v.Digest}
	return m
}

// DrainedVersion returns the version of the drained zones in the message, for a receiver
// whose own knowledge of them is as of the position receiverAt.
func (m *Member) DrainedVersion(receiverAt uint64) drain.Version {
	return drain.Version{Revision: m.DrainedEra.position(m.Drained.Revision, receiverAt), Digest: m.Drained.Digest}
}

// Table returns the stamp of the sender's table.
func (m *Member) Table() table.Stamp {
	return table.Stamp{Version: m.Version, Generation: m.Generation}
}

// Change carries a change of the table as compressed JSON. It is JSON because people read it
// in traces and a table is JSON everywhere else.
type Change struct {
	Delta []byte
}

// Pull asks for the changes since the table that the sender has. Have is that table's
// generation, and Version the version that the operator gave it; 0 means not stated.
type Pull struct {
	Have    uint64
	Version uint64
}

// Table returns the stamp of the table that the sender has.
func (m *Pull) Table() table.Stamp { return table.Stamp{Version: m.Version, Generation: m.Have} }

// Update spreads changes of endpoints. Generation is that of the sender's table. If
// there are many changes, they are in Packed, compressed, and not in Update.
type Update struct {
	Update     directory.Update
	Generation uint64
	Packed     []byte
	// Era is the era of the update's revisions.
	Era Era
	// Version is the version that the operator gave the sender's table; 0 means not stated.
	Version uint64
}

// Table returns the stamp of the sender's table.
func (m *Update) Table() table.Stamp {
	return table.Stamp{Version: m.Version, Generation: m.Generation}
}

// UpdatePull asks for the changes of endpoints after the revision Have; 0 asks for all.
type UpdatePull struct {
	Have uint64
	Era  Era
}

// NewUpdatePull returns a message that asks for the changes after a position.
func NewUpdatePull(have uint64) *UpdatePull {
	return &UpdatePull{Have: position.Revision(have), Era: EraOf(have)}
}

// Position returns the position after which changes are asked for; receiverAt is the
// receiver's own position.
func (m *UpdatePull) Position(receiverAt uint64) uint64 { return m.Era.position(m.Have, receiverAt) }

// Kind returns KindUpdate.
func (*Update) Kind() Kind { return KindUpdate }

// Kind returns KindUpdatePull.
func (*UpdatePull) Kind() Kind { return KindUpdatePull }

// Kind returns KindHello.
func (*Hello) Kind() Kind { return KindHello }

// Kind returns KindMember.
func (*Member) Kind() Kind { return KindMember }

// Kind returns KindChange.
func (*Change) Kind() Kind { return KindChange }

// Kind returns KindPull.
func (*Pull) Kind() Kind { return KindPull }

// emptyMessages has a constructor of an empty message for each kind.
var emptyMessages = map[Kind]func() Message{
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

	KindTunnel:      func() Message { return &Tunnel{} },
	KindTunnelReply: func() Message { return &TunnelReply{} },
	KindTunnelData:  func() Message { return &TunnelData{} },

	KindOrigin:         func() Message { return &Origin{} },
	KindOriginQuestion: func() Message { return &OriginQuestion{} },
	KindOriginAnswer:   func() Message { return &OriginAnswer{} },

	KindEcho: func() Message { return &Echo{} },
}

// Append appends the frame of a message to buf, encoded for a receiver of version v. It
// returns ErrUnsupportedKind if that version does not read the kind, and ErrFrame if the body is
// too large.
func Append(buf []byte, m Message, v Version) ([]byte, error) {
	if !v.Reads(m.Kind()) {
		return buf, fmt.Errorf("%w: kind %s, version %d", ErrUnsupportedKind, m.Kind(), v)
	}
	return AppendKnown(buf, m, v)
}

// AppendKnown is Append for a receiver that is known to read the kind, whatever its version.
func AppendKnown(buf []byte, m Message, v Version) ([]byte, error) {
	if p, ok := m.(compressible); ok && v == VersionNone {
		var err error
		if m, err = p.uncompressed(); err != nil {
			return buf, err
		}
	}
	var body bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&body)
	// Encode fields by position: their names would be most of a small message.
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

// Reader is a source of frames, such as a bufio.Reader.
type Reader interface {
	io.Reader
	io.ByteReader
}

// Read reads one message from r, at most the header and MaxFrame bytes. It returns an Unknown
// for a message of an unknown kind or one whose body this build cannot decode; reading may go on
// after it. After an error the boundaries of frames are lost and nothing more can be read from r.
func Read(r Reader) (Message, error) {
	code, err := r.ReadByte()
	if err != nil {
		return nil, err
	}
	kind := Kind(code)
	blank, known := emptyMessages[kind]
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

// decode decodes the bytes of a body into the value that into points to.
func decode(body []byte, into any) error {
	// The library allocates as many items as a list's header claims. So skip
	// through the body first: a list that claims more items than it has fails here.
	if err := msgpack.NewDecoder(bytes.NewReader(body)).Skip(); err != nil {
		return err
	}
	return decodeLenient(msgpack.NewDecoder(bytes.NewReader(body)), reflect.ValueOf(into).Elem())
}
