// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxnet

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/boxwire"
)

// Peer is another box as known from membership.
type Peer struct {
	Address string
	// Incarnation is the incarnation of the box's process, and Version the wire version that the
	// process announces; 0 is unknown for both.
	Incarnation uint64
	Version     boxwire.Version
}

// peerVersion is what one process of a box can read.
type peerVersion struct {
	incarnation uint64
	version     boxwire.Version
	// reads holds the kinds that the process has sent itself, beyond those of its version.
	reads map[boxwire.Kind]bool
	// logged is true once an unknown message from the process was logged.
	logged bool
}

// peerVersions tracks what the other boxes can read, from their hellos or from membership. A box
// for which neither is known is assumed to run a build that announces no version.
type peerVersions struct {
	mutex sync.Mutex
	peers map[string]*peerVersion
}

// recordHello records the hello of a box's process. The last hello counts, since a box may be
// restarted with an older build.
func (p *peerVersions) recordHello(m *boxwire.Hello) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.peers == nil {
		p.peers = make(map[string]*peerVersion)
	}
	known := p.peers[m.Box]
	if known == nil || known.incarnation != m.Incarnation {
		known = &peerVersion{incarnation: m.Incarnation}
		p.peers[m.Box] = known
	}
	known.version = m.Version
}

// forget drops the version of a box whose process may have ended, including the version that
// membership has for that process, since a process of an older build may have replaced it.
func (p *peerVersions) forget(box string, member Peer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.peers == nil {
		p.peers = make(map[string]*peerVersion)
	}
	start := member.Incarnation
	if known := p.peers[box]; known != nil {
		start = max(start, known.incarnation)
	}
	p.peers[box] = &peerVersion{incarnation: start}
}

// recordKind records that a process has sent a message of a kind, so that it can read that kind, and
// has at least the version that this proves.
func (p *peerVersions) recordKind(from boxwire.Owner, k boxwire.Kind) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.peers[from.Box]
	if known == nil || known.incarnation != from.Incarnation || known.version.Reads(k) {
		return
	}
	if proven := boxwire.ProvenBy(k); proven > boxwire.VersionNone {
		known.version = max(known.version, proven)
		return
	}
	if known.reads == nil {
		known.reads = make(map[boxwire.Kind]bool)
	}
	known.reads[k] = true
}

// of returns the version of a box and whether it reads a kind. The box's own hello takes
// precedence over what membership has for the same process.
func (p *peerVersions) of(box string, member Peer, k boxwire.Kind) (v boxwire.Version, reads bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.peers[box]
	if known == nil || known.incarnation < member.Incarnation {
		return member.Version, member.Version.Reads(k)
	}
	return known.version, known.version.Reads(k) || known.reads[k]
}

// firstUnknown reports whether a process has sent its first unknown message, and marks that as
// logged.
func (p *peerVersions) firstUnknown(from boxwire.Owner) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.peers[from.Box]
	if known == nil || known.logged {
		return false
	}
	known.logged = true
	return true
}

// Version is the wire version of a box.
type Version struct {
	Box     string
	Version boxwire.Version
}

// Versions returns, sorted by name, the versions of the boxes that have sent a hello, and
// VersionNone for those whose version was dropped by forget.
func (n *Net) Versions() []Version {
	n.versions.mutex.Lock()
	defer n.versions.mutex.Unlock()
	out := make([]Version, 0, len(n.versions.peers))
	for box, p := range n.versions.peers {
		out = append(out, Version{Box: box, Version: p.version})
	}
	slices.SortFunc(out, func(a, b Version) int { return strings.Compare(a.Box, b.Box) })
	return out
}

// unknownCounts counts, by kind, the messages that this build did not know or could not read.
type unknownCounts [1 << 8]atomic.Uint64

// Unknown returns, by kind, how many messages this build did not know or could not read.
func (n *Net) Unknown() map[boxwire.Kind]uint64 {
	out := make(map[boxwire.Kind]uint64)
	for k := range n.unknown {
		if count := n.unknown[k].Load(); count > 0 {
			out[boxwire.Kind(k)] = count
		}
	}
	return out
}

// skipUnknown counts an unknown message and logs the first from each process.
func (n *Net) skipUnknown(from boxwire.Owner, m *boxwire.Unknown) {
	n.unknown[m.Code].Add(1)
	if !n.versions.firstUnknown(from) {
		return
	}
	n.cfg.Log.WithFields(log.Fields{
		"peer": from.Box, "peer_incarnation": from.Incarnation, "kind": uint8(m.Code), "name": m.Code.String(),
	}).WithError(m.Err).Warn("box_message_unknown")
}

// peer returns a box as known from membership.
func (n *Net) peer(box string) Peer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.peers[box]
}

// forget drops the known version of a box.
func (n *Net) forget(box string) { n.versions.forget(box, n.peer(box)) }
