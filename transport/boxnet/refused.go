// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxnet

import (
	"context"
	"errors"
	"net"
	"syscall"

	"runridge.example/runridge/modules/log"
)

// Refused says whether a machine answered that nothing listens at an address.
// No answer, or any other failure, is no proof.
func (n *Net) Refused(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	closeConn(c)
	return errors.Is(err, syscall.ECONNREFUSED)
}

// dialFailed tells of a box whose process is gone. A time-out does not show that: what is
// known of how the process reads stands.
func (n *Net) dialFailed(box string, err error) {
	n.cfg.Log.WithFields(log.Fields{"peer": box}).WithError(err).Debug("box_dial_failed")
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	n.forget(box)
	if n.cfg.OnRefused != nil {
		n.cfg.OnRefused(box)
	}
}

// suspect looks at once whether a box whose connection broke is still there.
func (n *Net) suspect(box string) {
	n.forget(box)
	n.mutex.Lock()
	address, ended := n.peers[box].Address, n.ended
	n.mutex.Unlock()
	if address == "" || ended || n.cfg.OnRefused == nil {
		return
	}
	go func() {
		if n.Refused(n.ctx, address) {
			n.cfg.OnRefused(box)
		}
	}()
}
