// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"errors"
	"sync/atomic"
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
	x.silence = time.AfterFunc(c.patience(silentAfter), x.checkSilence)
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

// silent returns how long the endpoint has sent nothing since the exchange began, given when it last
// sent anything, in nanoseconds since 1970.
func (x *exchange) silent(heardAt *atomic.Int64) time.Duration {
	return min(time.Since(x.begun), time.Since(time.Unix(0, heardAt.Load())))
}

// checkSilence checks the path if nothing came from the endpoint for silentAfter.
func (x *exchange) checkSilence() {
	c := x.client
	patience := c.patience(silentAfter)
	next := patience - x.silent(&x.conn.pool.heardAt)
	if next <= 0 {
		next = patience
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
func (x *exchange) explain(err error, patience time.Duration) error {
	if x.conn.via != "" || x.ctx.Err() != nil {
		return err
	}
	if !x.pathLost.Load() {
		if done := x.client.checkPath(x.conn.key, x.call.Endpoint); done != nil && patience > 0 {
			wait := time.NewTimer(patience)
			defer wait.Stop()
			select {
			case <-done:
			case <-wait.C:
			case <-x.ctx.Done():
			}
		}
	}
	if x.pathLost.Load() || x.client.pathIsLost(x.conn.key) {
		return errors.Join(err, adapter.ErrPathLost)
	}
	return err
}
