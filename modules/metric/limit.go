// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metric

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// limitInstruments makes those of endpoints that name a limit.
func (m *Metrics) limitInstruments(meter metric.Meter) error {
	var err error
	if m.limited, err = meter.Int64Counter("runridge.limit.granted", metric.WithUnit("{request}"), metric.WithDescription("Requests granted by this box's homes for endpoints that name a limit, by service.")); err != nil {
		return err
	}
	m.limitDenied, err = meter.Int64Counter("runridge.limit.refused", metric.WithUnit("{request}"), metric.WithDescription("Refusals by this box's homes while endpoints were held back by the limits that they name, by service."))
	return err
}

// LimitGranted counts requests granted for endpoints of a service that name a limit.
func (m *Metrics) LimitGranted(service string, requests int) {
	m.limited.Add(context.Background(), int64(requests), metric.WithAttributes(attribute.String("service", service)))
}

// LimitRefused counts a refusal while endpoints of a service were held back by their limits.
func (m *Metrics) LimitRefused(service string) {
	m.limitDenied.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}
