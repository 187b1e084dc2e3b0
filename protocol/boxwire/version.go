// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

// Version is what a build reads. A box tells its own in its greetings, and sends each other
// box only what that one reads. docs/design/versions.md has the rules.
type Version uint16

const (
	// VersionNone is that of builds whose greetings tell none. They read fields by name and
	// pass over those that they don't know, or by position where there are as many as they
	// know; a kind that they don't know ends their connection.
	VersionNone Version = iota
	// VersionLoose builds read fields by position, however many there are, and pass over
	// kinds that they don't know.
	VersionLoose
	// VersionLimits builds know of the limits that endpoints name.
	VersionLimits

	// VersionNow is that of this build.
	VersionNow = VersionLimits
)

// since is the first version that reads a kind, where that is not VersionNone.
var since = map[Kind]Version{
	// Some builds without a version read these two.
	KindSuspects:     VersionLoose,
	KindSuspectsPull: VersionLoose,
	KindLimits:       VersionLimits,
}

// Reads says whether builds of this version read messages of a kind.
func (v Version) Reads(k Kind) bool { return v >= since[k] }

// Unknown stands for a message that this build does not know, or cannot read.
type Unknown struct {
	// Code is the kind's number on the wire.
	Code Kind
	// Err tells why a message of a known kind cannot be read; nil is a kind not known.
	Err error
}

// Kind is the kind as it came.
func (u *Unknown) Kind() Kind { return u.Code }
