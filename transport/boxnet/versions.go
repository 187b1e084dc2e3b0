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

// Peer is another box as membership knows it.
type Peer struct {
	Address string
	// Start is the incarnation of its process, and Version what that reads, as it says
	// itself; 0 is not known for both.
	Start   uint64
	Version boxwire.Version
}

// peer is what is known of how one process of a box reads.
type peer struct {
	incarnation uint64
	version     boxwire.Version
	// reads are kinds that it has sent itself, beyond those of its version.
	reads map[boxwire.Kind]bool
	// logged says that a message of its that is not known was logged.
	logged bool
}

// peerVersions knows what the other boxes read, from their greetings or what they have
// membership tell. A box of which neither is known is taken for one whose build tells no version.
type peerVersions struct {
	mutex sync.Mutex
	peers map[string]*peer
}

// greeted takes in the greeting of a box's process. A box may be followed by one of an older
// build, so the last greeting counts.
func (p *peerVersions) greeted(m *boxwire.Hello) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.peers == nil {
		p.peers = make(map[string]*peer)
	}
	known := p.peers[m.Box]
	if known == nil || known.incarnation != m.Incarnation {
		known = &peer{incarnation: m.Incarnation}
		p.peers[m.Box] = known
	}
	known.version = m.Version
}

// forget drops what is known of a box whose process may have ended, and what membership has
// told of that process: one of an older build may have its place.
func (p *peerVersions) forget(box string, told Peer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.peers == nil {
		p.peers = make(map[string]*peer)
	}
	start := told.Start
	if known := p.peers[box]; known != nil {
		start = max(start, known.incarnation)
	}
	p.peers[box] = &peer{incarnation: start}
}

// heard notes that a box has sent a kind: it reads what it sends.
func (p *peerVersions) heard(from boxwire.Owner, k boxwire.Kind) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.peers[from.Box]
	if known == nil || known.incarnation != from.Incarnation || known.version.Reads(k) {
		return
	}
	if known.reads == nil {
		known.reads = make(map[boxwire.Kind]bool)
	}
	known.reads[k] = true
}

// of is the version of a box, and whether it reads a kind. What it has told itself goes before
// what membership tells of the same process.
func (p *peerVersions) of(box string, told Peer, k boxwire.Kind) (v boxwire.Version, reads bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.peers[box]
	if known == nil || known.incarnation < told.Start {
		return told.Version, told.Version.Reads(k)
	}
	return known.version, known.version.Reads(k) || known.reads[k]
}

// first says whether this is the first message of a process that is not known.
func (p *peerVersions) first(from boxwire.Owner) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.peers[from.Box]
	if known == nil || known.logged {
		return false
	}
	known.logged = true
	return true
}

// Version is the version of a box that has greeted this one.
type Version struct {
	Box     string
	Version boxwire.Version
}

// Versions lists the boxes that have greeted this one, by name.
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

// unknownCounts are the messages by kind that this build did not know or could not read.
type unknownCounts [1 << 8]atomic.Uint64

// Unknown counts the messages by kind that this build did not know or could not read.
func (n *Net) Unknown() map[boxwire.Kind]uint64 {
	out := make(map[boxwire.Kind]uint64)
	for k := range n.unknown {
		if count := n.unknown[k].Load(); count > 0 {
			out[boxwire.Kind(k)] = count
		}
	}
	return out
}

// passOver counts a message that is not known, and logs the first of each peer.
func (n *Net) passOver(from boxwire.Owner, m *boxwire.Unknown) {
	n.unknown[m.Code].Add(1)
	if !n.versions.first(from) {
		return
	}
	n.cfg.Log.WithFields(log.Fields{
		"peer": from.Box, "peer_incarnation": from.Incarnation, "kind": uint8(m.Code), "name": m.Code.String(),
	}).WithError(m.Err).Warn("box_message_unknown")
}

// told is what membership tells of a box.
func (n *Net) told(box string) Peer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.peers[box]
}

// forget drops what is known of how a box reads.
func (n *Net) forget(box string) { n.versions.forget(box, n.told(box)) }
