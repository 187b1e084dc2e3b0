// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metric records what a box does with OpenTelemetry and serves it to a Prometheus
// scraper. docs/METRICS.md lists names and units.
package metric

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Config has the functions that are called at each scrape.
type Config struct {
	// Active and Releasing return the number of requests in flight and of holds not
	// released yet.
	Active, Releasing func() int
	// Generation returns the generation of the table in force.
	Generation func() uint64
	// Drained returns the number of drained availability zones and the revision at which
	// this is known.
	Drained func() (zones int, revision uint64)
	// Traffic returns the bytes sent and received between boxes, and the number of messages
	// sent.
	Traffic func() (sent, received, messages uint64)
	// Held returns the bytes held in memory for callers, by purpose.
	Held func() map[string]int64
	// Unknown returns, by kind, the number of messages from other boxes that were not known
	// or could not be read.
	Unknown func() map[string]uint64
	// Unreadable returns, by kind, how often objects of the platform were read that cannot be used.
	Unreadable func() map[string]uint64
	// Flows returns the bytes sent to other boxes, by kind of message and distance.
	Flows func() []Flow
	// LostPaths returns the number of endpoints that this box reaches only through other boxes,
	// and of those that no box reached a moment ago.
	LostPaths func() (throughPeers, unreached int)
	// Overload returns by how much messages of this box take longer than at rest, and the limit on
	// requests of callers per second, 0 while there is none.
	Overload func() (delay time.Duration, perSecond float64)
	// Tunnels returns the number of connections that this box passes on for other boxes.
	Tunnels func() int
}

// Flow is the number of bytes sent in messages of one kind to boxes at one distance.
type Flow struct {
	Kind, Distance string
	Bytes          uint64
}

// Metrics holds the instruments of one box.
type Metrics struct {
	provider         *sdk.MeterProvider
	handler          http.Handler
	requests         metric.Int64Counter
	firstToken       metric.Float64Histogram
	perToken         metric.Float64Histogram
	attempts         metric.Int64Counter
	sends            metric.Int64Counter
	connections      metric.Int64Counter
	retriesDenied    metric.Int64Counter
	brokenExchanges  metric.Int64Counter
	endpointsEnded   metric.Int64Counter
	poisonRefused    metric.Int64Counter
	streamsTakenUp   metric.Int64Counter
	quotaDecisions   metric.Int64Counter
	stageOrders      metric.Int64Counter
	coldGranted      metric.Int64Counter
	coldRefused      metric.Int64Counter
	limitGranted     metric.Int64Counter
	limitRefused     metric.Int64Counter
	accounts         labels
	platformCalls    metric.Int64Counter
	eventGap         metric.Float64Histogram
	platformDuration metric.Float64Histogram
}

// RequestSummary describes a request that ended, for counting.
type RequestSummary struct {
	Service string
	// Outcome is finished, cancelled, not_run, unknown or failed; Reason is the cause, from
	// a fixed set.
	Outcome, Reason string
	Attempts        int
	// FirstToken is 0 without any token, and PerToken with fewer than two.
	FirstToken, PerToken time.Duration
}

// Bucket bounds of the histograms, in seconds, dense around the targets.
var (
	firstTokenBounds = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.49, 0.6, 0.8, 1, 2, 5, 10}
	perTokenBounds   = []float64{0.005, 0.01, 0.015, 0.02, 0.025, 0.031, 0.04, 0.06, 0.1, 0.5}
)

// New creates the instruments of a box.
func New(cfg Config) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	m := &Metrics{
		provider: sdk.NewMeterProvider(sdk.WithReader(reader)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	meter := m.provider.Meter("runridge")
	if m.requests, err = meter.Int64Counter("runridge.requests", metric.WithUnit("{request}"), metric.WithDescription("Requests ended, by service, outcome and reason.")); err != nil {
		return nil, err
	}
	if m.attempts, err = meter.Int64Counter("runridge.attempts", metric.WithUnit("{attempt}"), metric.WithDescription("Attempts made at requests.")); err != nil {
		return nil, err
	}
	if m.firstToken, err = meter.Float64Histogram("runridge.first_token.duration", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(firstTokenBounds...)); err != nil {
		return nil, err
	}
	if m.perToken, err = meter.Float64Histogram("runridge.token.duration", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(perTokenBounds...)); err != nil {
		return nil, err
	}
	if err := m.relayInstruments(meter); err != nil {
		return nil, err
	}
	if err := observePaths(meter, cfg); err != nil {
		return nil, err
	}
	return m, m.observe(meter, cfg)
}

// Bucket bounds of the histograms of pauses in streams and of platform calls, in seconds.
var (
	gapBounds  = []float64{0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.5, 1, 2, 5}
	callBounds = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10}
)

// relayInstruments creates the instruments for routed services and for the platform.
func (m *Metrics) relayInstruments(meter metric.Meter) error {
	var err error
	if m.sends, err = meter.Int64Counter("runridge.sends", metric.WithUnit("{send}"), metric.WithDescription("Arrivals at endpoints of routed services, by purpose.")); err != nil {
		return err
	}
	if m.retriesDenied, err = meter.Int64Counter("runridge.retries.denied", metric.WithUnit("{retry}"), metric.WithDescription("Retries that the budget did not allow.")); err != nil {
		return err
	}
	if m.brokenExchanges, err = meter.Int64Counter("runridge.exchanges.broken", metric.WithUnit("{exchange}"), metric.WithDescription("Exchanges with endpoints that broke off, by service and how.")); err != nil {
		return err
	}
	if m.streamsTakenUp, err = meter.Int64Counter("runridge.streams.taken_up", metric.WithUnit("{request}"), metric.WithDescription("Streams that callers took up, by service and how the software version that began them was found.")); err != nil {
		return err
	}
	if m.quotaDecisions, err = meter.Int64Counter("runridge.quota.decisions", metric.WithUnit("{request}"), metric.WithDescription("Decisions on accounts' quotas, by account and outcome.")); err != nil {
		return err
	}
	if m.stageOrders, err = meter.Int64Counter("runridge.stage.orders", metric.WithUnit("{order}"), metric.WithDescription("Orders to engines to change their stage, by stage and outcome.")); err != nil {
		return err
	}
	if err := m.pathInstruments(meter); err != nil {
		return err
	}
	if err := m.poisonInstruments(meter); err != nil {
		return err
	}
	if err := m.limitInstruments(meter); err != nil {
		return err
	}
	if err := m.coldInstruments(meter); err != nil {
		return err
	}
	if m.platformCalls, err = meter.Int64Counter("runridge.platform.calls", metric.WithUnit("{call}"), metric.WithDescription("Calls to the platform, by call and result.")); err != nil {
		return err
	}
	if m.eventGap, err = meter.Float64Histogram("runridge.event.gap", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(gapBounds...)); err != nil {
		return err
	}
	m.platformDuration, err = meter.Float64Histogram("runridge.platform.duration", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(callBounds...))
	return err
}

// EndpointRequests counts a request's exchanges with endpoints: those for an answer and those for a
// prefill only.
func (m *Metrics) EndpointRequests(service string, answers, prefills int) {
	ctx := context.Background()
	name := attribute.String("service", service)
	m.sends.Add(ctx, int64(answers), metric.WithAttributes(name, attribute.String("purpose", "answer")))
	m.sends.Add(ctx, int64(prefills), metric.WithAttributes(name, attribute.String("purpose", "prefill")))
}

// StreamGap records the longest pause in a stream.
func (m *Metrics) StreamGap(service string, longest time.Duration) {
	m.eventGap.Record(context.Background(), longest.Seconds(), metric.WithAttributes(attribute.String("service", service)))
}

// StreamTakenUp counts a stream that its caller takes up; found is how the software version that
// began it was found.
func (m *Metrics) StreamTakenUp(service, found string) {
	m.streamsTakenUp.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("found", found)))
}

// BudgetDenied counts a retry that the budget did not allow.
func (m *Metrics) BudgetDenied(service string) {
	m.retriesDenied.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// ExchangeBroken counts an exchange with an endpoint that was interrupted; how is the kind of
// interruption.
func (m *Metrics) ExchangeBroken(service, how string) {
	m.brokenExchanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("how", how)))
}

// QuotaDecided counts a decision on an account's quota. Accounts beyond the first
// maxLabels are counted together.
func (m *Metrics) QuotaDecided(account, outcome string) {
	m.quotaDecisions.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("account", m.accounts.limit(account)), attribute.String("outcome", outcome)))
}

// StageOrdered counts an order to an engine to change its stage.
func (m *Metrics) StageOrdered(stage, outcome string) {
	m.stageOrders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("stage", stage), attribute.String("outcome", outcome)))
}

// PlatformCalled counts a call to the platform.
func (m *Metrics) PlatformCalled(call, result string, took time.Duration) {
	ctx := context.Background()
	name := attribute.String("call", call)
	m.platformCalls.Add(ctx, 1, metric.WithAttributes(name, attribute.String("result", result)))
	m.platformDuration.Record(ctx, took.Seconds(), metric.WithAttributes(name))
}

// observe registers the instruments that are read at each scrape.
func (m *Metrics) observe(meter metric.Meter, cfg Config) error {
	active, err := meter.Int64ObservableGauge("runridge.requests.active", metric.WithUnit("{request}"))
	if err != nil {
		return err
	}
	releasing, err := meter.Int64ObservableGauge("runridge.holds.releasing", metric.WithUnit("{hold}"))
	if err != nil {
		return err
	}
	generation, err := meter.Int64ObservableGauge("runridge.table.generation", metric.WithUnit("1"))
	if err != nil {
		return err
	}
	drained, err := meter.Int64ObservableGauge("runridge.zones.drained", metric.WithUnit("{zone}"))
	if err != nil {
		return err
	}
	drainRevision, err := meter.Int64ObservableGauge("runridge.zones.revision", metric.WithUnit("1"))
	if err != nil {
		return err
	}
	control, err := meter.Int64ObservableCounter("runridge.control.io", metric.WithUnit("By"))
	if err != nil {
		return err
	}
	messages, err := meter.Int64ObservableCounter("runridge.control.messages", metric.WithUnit("{message}"))
	if err != nil {
		return err
	}
	flows, err := meter.Int64ObservableCounter("runridge.control.sent", metric.WithUnit("By"))
	if err != nil {
		return err
	}
	held, err := meter.Int64ObservableGauge("runridge.held", metric.WithUnit("By"), metric.WithDescription("Bytes held in memory for callers, by what for."))
	if err != nil {
		return err
	}
	unknown, err := meter.Int64ObservableCounter("runridge.control.unknown", metric.WithUnit("{message}"), metric.WithDescription("Messages of other boxes that this build does not know or cannot read."))
	if err != nil {
		return err
	}
	unreadable, err := meter.Int64ObservableCounter("runridge.platform.unreadable", metric.WithUnit("{read}"), metric.WithDescription("Reads of objects of the platform that cannot be used, by kind."))
	if err != nil {
		return err
	}
	sentBy := metric.WithAttributes(attribute.String("direction", "transmit"))
	receivedBy := metric.WithAttributes(attribute.String("direction", "receive"))
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(active, int64(cfg.Active()))
		o.ObserveInt64(releasing, int64(cfg.Releasing()))
		o.ObserveInt64(generation, int64(cfg.Generation()))
		zones, revision := cfg.Drained()
		o.ObserveInt64(drained, int64(zones))
		o.ObserveInt64(drainRevision, int64(revision))
		sent, received, count := cfg.Traffic()
		o.ObserveInt64(control, int64(sent), sentBy)
		o.ObserveInt64(control, int64(received), receivedBy)
		o.ObserveInt64(messages, int64(count))
		for kind, n := range cfg.Held() {
			o.ObserveInt64(held, n, metric.WithAttributes(attribute.String("kind", kind)))
		}
		for kind, n := range cfg.Unknown() {
			o.ObserveInt64(unknown, int64(n), metric.WithAttributes(attribute.String("kind", kind)))
		}
		for kind, n := range cfg.Unreadable() {
			o.ObserveInt64(unreadable, int64(n), metric.WithAttributes(attribute.String("kind", kind)))
		}
		for _, f := range cfg.Flows() {
			o.ObserveInt64(flows, int64(f.Bytes), metric.WithAttributes(
				attribute.String("kind", f.Kind), attribute.String("distance", f.Distance)))
		}
		return nil
	}, active, releasing, generation, drained, drainRevision, control, messages, flows, held, unknown, unreadable)
	return err
}

// RequestEnded counts a request that ended. It has no account label: there are too many
// accounts.
func (m *Metrics) RequestEnded(e RequestSummary) {
	ctx := context.Background()
	service := attribute.String("service", e.Service)
	m.requests.Add(ctx, 1, metric.WithAttributes(service, attribute.String("outcome", e.Outcome), attribute.String("reason", e.Reason)))
	m.attempts.Add(ctx, int64(e.Attempts), metric.WithAttributes(service))
	if e.FirstToken > 0 {
		m.firstToken.Record(ctx, e.FirstToken.Seconds(), metric.WithAttributes(service))
	}
	if e.PerToken > 0 {
		m.perToken.Record(ctx, e.PerToken.Seconds(), metric.WithAttributes(service))
	}
}

// Handler serves the metrics to a scraper.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Close shuts the instruments down.
func (m *Metrics) Close(ctx context.Context) error {
	return m.provider.Shutdown(ctx)
}
