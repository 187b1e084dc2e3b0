// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxnet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"runridge.example/runridge/protocol/boxwire"
)

// hello returns the frame that opens a connection to a box. Its proof covers the names of both
// boxes, so that a hello to one box can't be replayed to another.
func (n *Net) hello(to string) ([]byte, error) {
	// The version of the process that listens there now is unknown before its own hello
	// arrives, so this one is encoded for the oldest.
	return boxwire.Append(nil, n.newHello(to), boxwire.VersionNone)
}

func (n *Net) newHello(to string) *boxwire.Hello {
	m := &boxwire.Hello{Box: n.cfg.Box, Incarnation: n.cfg.Incarnation, Version: boxwire.VersionCurrent, Address: n.cfg.Address}
	m.Proof = n.proof(m, to)
	return m
}

// greetBack sends a hello over the open link to a box that has opened a connection. Such a box may have
// forgotten the version of this one, because a connection to it broke, and would not hear it again
// while the link stays open. Builds without origins do not expect a hello later on.
func (n *Net) greetBack(m *boxwire.Hello) {
	if m.Version < boxwire.VersionOrigins {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if l := n.links[m.Box]; l != nil {
		// A hello that does not fit into the queue is sent when the next connection opens.
		_ = l.queue.Offer(n.newHello(m.Box))
	}
}

// proof returns the HMAC-SHA256 of a hello to a box under the shared key; nil without a key.
func (n *Net) proof(m *boxwire.Hello, to string) []byte {
	if len(n.cfg.Key) == 0 {
		return nil
	}
	mac := hmac.New(sha256.New, n.cfg.Key)
	// A hash's Write never fails.
	_, _ = mac.Write([]byte(m.Box + "\x00" + to + "\x00"))
	_, _ = mac.Write(binary.BigEndian.AppendUint64(nil, m.Incarnation))
	return mac.Sum(nil)
}

// verify reports whether a hello names its box and, if a key is set, was made with that key.
func (n *Net) verify(m *boxwire.Hello) bool {
	if m.Box == "" {
		return false
	}
	return len(n.cfg.Key) == 0 || hmac.Equal(m.Proof, n.proof(m, n.cfg.Box))
}
