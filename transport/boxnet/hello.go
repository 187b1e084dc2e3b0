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
	m := &boxwire.Hello{Box: n.cfg.Box, Incarnation: n.cfg.Incarnation, Version: boxwire.VersionCurrent}
	m.Proof = n.proof(m, to)
	// The version of the process that listens there now is unknown before its own hello
	// arrives, so this one is encoded for the oldest.
	return boxwire.Append(nil, m, boxwire.VersionNone)
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
