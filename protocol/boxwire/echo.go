// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

// Echo asks another box to send its sequence number back at once, or sends it back.
type Echo struct {
	Sequence uint64
	Reply    bool
}

// Kind returns KindEcho.
func (*Echo) Kind() Kind { return KindEcho }
