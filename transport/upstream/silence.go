// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"errors"
	"time"

	"runridge.example/runridge/coordination/adapter"
)

// watchSilence starts the checks of the path that are made while the endpoint sends nothing.
func (x *exchange) watchSilence() {
	if x.conn.pool == nil || x.client.cfg.Peers == nil {
		return
	}
	c := x.client
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x.conn.pool.active[x] = struct{}{}
	x.silence = time.AfterFunc(silentAfter, x.checkSilence)
}

// endWatch ends the checks of the path.
func (x *exchange) endWatch() {
	c := x.client
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if x.silence == nil {
		return
	}
	x.silence.Stop()
	delete(x.conn.pool.active, x)
}

// heard returns when the endpoint last sent anything over the exchange's connection, at least when
// the exchange began.
func (x *exchange) heard() time.Time {
	if at := time.Unix(0, x.conn.heardAt.Load()); at.After(x.begun) {
		return at
	}
	return x.begun
}

// checkSilence checks the path if nothing came from the endpoint for silentAfter.
func (x *exchange) checkSilence() {
	heard := x.conn.pool.heard()
	if x.begun.After(heard) {
		heard = x.begun
	}
	c := x.client
	next := silentAfter - time.Since(heard)
	if next <= 0 {
		next = silentAfter
		c.checkPath(x.conn.key, x.call.Endpoint)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, active := x.conn.pool.active[x]; active {
		x.silence.Reset(next)
	}
}

// explain adds to the error of an interrupted exchange that the path was lost, not the endpoint. Unless
// the caller interrupted it, the path is checked, and the check awaited for at most the given time.
func (x *exchange) explain(ctx context.Context, err error, patience time.Duration) error {
	if x.conn.via != "" || ctx.Err() != nil {
		return err
	}
	if !x.pathLost.Load() {
		if done := x.client.checkPath(x.conn.key, x.call.Endpoint); done != nil && patience > 0 {
			wait := time.NewTimer(patience)
			defer wait.Stop()
			select {
			case <-done:
			case <-wait.C:
			case <-ctx.Done():
			}
		}
	}
	if x.pathLost.Load() || x.client.pathIsLost(x.conn.key) {
		return errors.Join(err, adapter.ErrPathLost)
	}
	return err
}
