// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package socket creates TCP dialers that detect unresponsive peers, and connections that report resets.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts sets after which times an unresponsive peer's connection is closed.
type Timeouts struct {
	// Dial bounds the time to open a connection.
	Dial time.Duration
	// Unacknowledged bounds how long sent bytes may remain unacknowledged.
	Unacknowledged time.Duration
	// KeepAlive is the idle time before the first keep-alive probe and the interval between
	// probes; Probes is how many may stay unanswered.
	KeepAlive time.Duration
	Probes    int
}

// Dialer returns a dialer whose connections have these timeouts.
func (p Timeouts) Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         p.Dial,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: p.KeepAlive, Interval: p.KeepAlive, Count: p.Probes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var option error
			err := raw.Control(func(fd uintptr) {
				option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.Unacknowledged.Milliseconds()))
			})
			return errors.Join(err, option)
		},
	}
}
