// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metric

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// pathInstruments creates the instruments for connections to endpoints.
func (m *Metrics) pathInstruments(meter metric.Meter) error {
	var err error
	m.connections, err = meter.Int64Counter("runridge.endpoint.connections", metric.WithUnit("{connection}"), metric.WithDescription("Connections to endpoints of routed services, by service and way: direct, peer, or none if no box reached the endpoint."))
	return err
}

// observePaths creates the instruments that are read at each scrape.
func observePaths(meter metric.Meter, cfg Config) error {
	lost, err := meter.Int64ObservableGauge("runridge.endpoint.paths.lost", metric.WithUnit("{endpoint}"), metric.WithDescription("Endpoints that this box does not reach directly, by whether a peer or nobody reaches them."))
	if err != nil {
		return err
	}
	tunnels, err := meter.Int64ObservableGauge("runridge.tunnels", metric.WithUnit("{connection}"), metric.WithDescription("Connections to endpoints that this box passes on for other boxes."))
	if err != nil {
		return err
	}
	delay, err := meter.Float64ObservableGauge("runridge.box.delay", metric.WithUnit("s"), metric.WithDescription("By how much messages of this box take longer than at rest."))
	if err != nil {
		return err
	}
	limit, err := meter.Float64ObservableGauge("runridge.callers.request_limit", metric.WithUnit("{request}/s"), metric.WithDescription("Limit on requests of callers; 0 while there is none."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		throughPeers, unreached := cfg.LostPaths()
		o.ObserveInt64(lost, int64(throughPeers), metric.WithAttributes(attribute.String("reached_by", "peer")))
		o.ObserveInt64(lost, int64(unreached), metric.WithAttributes(attribute.String("reached_by", "nobody")))
		o.ObserveInt64(tunnels, int64(cfg.Tunnels()))
		own, perSecond := cfg.Overload()
		o.ObserveFloat64(delay, own.Seconds())
		o.ObserveFloat64(limit, perSecond)
		return nil
	}, lost, tunnels, delay, limit)
	return err
}

// EndpointConnected counts a connection to an endpoint by the way on which it was made: direct, peer,
// or none if the endpoint was not reached.
func (m *Metrics) EndpointConnected(service, way string) {
	m.connections.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("way", way)))
}
