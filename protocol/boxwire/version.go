// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

// Version identifies the messages that a build can read. A box states its own in its greetings
// and sends each other box only what that box can read. docs/design/versions.md has the rules.
type Version uint16

const (
	// VersionNone is the version of builds whose greetings state none. They read fields by name
	// and skip those that they don't know, or by position if there are exactly as many as they
	// know. A message of a kind that they don't know makes them close the connection.
	VersionNone Version = iota
	// VersionLenient builds read fields by position, however many there are, and skip messages
	// of kinds that they don't know.
	VersionLenient
	// VersionLimits builds also read KindLimits, the limits that endpoints state.
	VersionLimits
	// VersionTunnels builds also read KindTunnel and connect other boxes to endpoints.
	VersionTunnels
	// VersionOrigins builds also keep the software versions that began streams.
	VersionOrigins
	// VersionEchoes builds also read KindEcho and answer it.
	VersionEchoes

	// VersionCurrent is the version of this build.
	VersionCurrent = VersionEchoes
)

// minVersions has the first version that reads a kind, where that is not VersionNone.
var minVersions = map[Kind]Version{
	// Only some of the builds without a version read these two.
	KindSuspects:     VersionLenient,
	KindSuspectsPull: VersionLenient,
	KindLimits:       VersionLimits,
	KindTunnel:       VersionTunnels,
	KindTunnelReply:  VersionTunnels,
	KindTunnelData:   VersionTunnels,

	KindOrigin:         VersionOrigins,
	KindOriginQuestion: VersionOrigins,
	KindOriginAnswer:   VersionOrigins,

	KindEcho: VersionEchoes,
}

// Reads reports whether builds of this version read messages of a kind.
func (v Version) Reads(k Kind) bool { return v >= minVersions[k] }

// ProvenBy returns the version of which a build is at least that sends messages of a kind. The kinds
// that some builds without a version sent prove none.
func ProvenBy(k Kind) Version {
	if v := minVersions[k]; v > VersionLenient {
		return v
	}
	return VersionNone
}

// Unknown stands for a message of an unknown kind or one that this build cannot decode.
type Unknown struct {
	// Code is the kind's number on the wire.
	Code Kind
	// Err is why a message of a known kind cannot be decoded; nil if the kind is unknown.
	Err error
}

// Kind returns the kind as received.
func (u *Unknown) Kind() Kind { return u.Code }
