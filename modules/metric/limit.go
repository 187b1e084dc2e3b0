// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metric

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// limitInstruments creates the instruments for endpoints that announce a limit.
func (m *Metrics) limitInstruments(meter metric.Meter) error {
	var err error
	if m.limitGranted, err = meter.Int64Counter("runridge.limit.granted", metric.WithUnit("{request}"), metric.WithDescription("Requests granted by this box's homes for endpoints that name a limit, by service.")); err != nil {
		return err
	}
	m.limitRefused, err = meter.Int64Counter("runridge.limit.refused", metric.WithUnit("{request}"), metric.WithDescription("Refusals by this box's homes while endpoints were held back by the limits that they name, by service."))
	return err
}

// LimitGranted counts requests granted for endpoints of a service that announce a limit.
func (m *Metrics) LimitGranted(service string, requests int) {
	m.limitGranted.Add(context.Background(), int64(requests), metric.WithAttributes(attribute.String("service", service)))
}

// LimitRefused counts a refusal while endpoints of a service were held back by the limits
// that they announce.
func (m *Metrics) LimitRefused(service string) {
	m.limitRefused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}
