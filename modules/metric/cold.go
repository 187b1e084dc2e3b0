// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metric

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// coldInstruments creates the instruments for cold endpoints.
func (m *Metrics) coldInstruments(meter metric.Meter) error {
	var err error
	if m.coldGranted, err = meter.Int64Counter("runridge.cold.granted", metric.WithUnit("{request}"), metric.WithDescription("Requests granted for cold endpoints by this box's homes, by service.")); err != nil {
		return err
	}
	m.coldRefused, err = meter.Int64Counter("runridge.cold.refused", metric.WithUnit("{request}"), metric.WithDescription("Refusals by this box's homes while cold endpoints were held back, by service."))
	return err
}

// ColdGranted counts requests granted for cold endpoints of a service.
func (m *Metrics) ColdGranted(service string, requests int) {
	m.coldGranted.Add(context.Background(), int64(requests), metric.WithAttributes(attribute.String("service", service)))
}

// ColdRefused counts a refusal while cold endpoints of a service were held back.
func (m *Metrics) ColdRefused(service string) {
	m.coldRefused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}
