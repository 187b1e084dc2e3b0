// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metric

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// poisonInstruments creates the instruments for endpoints that terminate and for the poison
// requests that cause it.
func (m *Metrics) poisonInstruments(meter metric.Meter) error {
	var err error
	if m.endpointsEnded, err = meter.Int64Counter("runridge.endpoints.ended", metric.WithUnit("{endpoint}"), metric.WithDescription("Endpoints that ended in the middle of requests of this box, by service.")); err != nil {
		return err
	}
	m.poisonRefused, err = meter.Int64Counter("runridge.poison.refused", metric.WithUnit("{request}"), metric.WithDescription("Requests kept from the endpoints since they end those that run them, by service."))
	return err
}

// EndpointEnded counts an endpoint that terminated while it ran requests of this box.
func (m *Metrics) EndpointEnded(service string) {
	m.endpointsEnded.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// PoisonRefused counts a poison request that was not sent to any endpoint.
func (m *Metrics) PoisonRefused(service string) {
	m.poisonRefused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}
