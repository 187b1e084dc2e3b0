// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"context"

	"runridge.example/runridge/transport/reach"
)

// prober returns what checks from this box alone whether an endpoint listens.
func (b *Box) prober() reach.Prober { return reach.Prober{Dial: b.options.DialEndpoint} }

// endpointProber probes endpoints that may have ended.
type endpointProber struct{ b *Box }

// Listens checks whether an endpoint listens. One of routed services that refuses this box is probed
// by others too, because only this box may not reach it.
func (p endpointProber) Listens(ctx context.Context, id, address string) error {
	if p.b.routed != nil {
		if e, err := tunnelEndpoints(p).find(id); err == nil && e.Address == address {
			return p.b.routed.endpoints.ListensConfirmed(ctx, e)
		}
	}
	return p.b.prober().Listens(ctx, address)
}
