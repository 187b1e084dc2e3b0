// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxnet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"runridge.example/runridge/protocol/boxwire"
)

// hello is the frame that opens a connection to a box. The proof covers both
// names, so that a greeting to one box opens nothing at another.
func (n *Net) hello(to string) ([]byte, error) {
	m := &boxwire.Hello{Box: n.cfg.Box, Incarnation: n.cfg.Incarnation, Version: boxwire.VersionNow}
	m.Proof = n.proof(m, to)
	// Which build is there now shows only in its own greeting.
	return boxwire.Append(nil, m, boxwire.VersionNone)
}

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

// trusts checks a greeting against the shared key.
func (n *Net) trusts(m *boxwire.Hello) bool {
	if m.Box == "" {
		return false
	}
	return len(n.cfg.Key) == 0 || hmac.Equal(m.Proof, n.proof(m, n.cfg.Box))
}
