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

// Refused reports whether a connection to an address was refused, which proves that nothing
// listens there. A timeout or any other failure proves nothing.
func (n *Net) Refused(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	closeConn(c)
	return errors.Is(err, syscall.ECONNREFUSED)
}

// dialFailed handles a failed dial to a box. Only a refused connection shows that the box's
// process is gone, and then OnRefused is called; after any other failure, such as a timeout, the
// known version of the process is kept.
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

// suspect checks at once, in the background, whether a box whose connection broke still listens.
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
