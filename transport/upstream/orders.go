// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/coordination/stages"
	"runridge.example/runridge/state/lifecycle"
)

// maxReport is how much of an engine's report is read, in bytes.
const maxReport = 256 << 10

var _ stages.Engines = (*Client)(nil)

// Report fetches an engine's own report of its stage.
func (c *Client) Report(ctx context.Context, e stages.Engine) (stages.Report, error) {
	a, err := c.control(ctx, e, http.MethodGet, c.cfg.Names.Orders.ReportPath, nil)
	if err != nil {
		return stages.Report{}, err
	}
	defer func() { _ = a.Body.Close() }()
	if a.Status != http.StatusOK {
		return stages.Report{}, fmt.Errorf("report of %s: status %d", e.ID, a.Status)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxReport))
	if err != nil {
		return stages.Report{}, err
	}
	return c.cfg.Names.Orders.ParseReport(body)
}

// Order sends an order to an engine. The error is stages.ErrRefused if the order was certainly
// not carried out: the engine refused it, or it never reached the engine.
func (c *Client) Order(ctx context.Context, e stages.Engine, o stages.Order) error {
	body, err := c.cfg.Names.Orders.MarshalOrder(o)
	if err != nil {
		return err
	}
	a, err := c.control(ctx, e, http.MethodPost, c.cfg.Names.Orders.Path, body)
	if adapter.RanOf(err) == lifecycle.NotRun {
		return fmt.Errorf("%w: %w", stages.ErrRefused, err)
	}
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	switch a.Status {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusMisdirectedRequest:
		return fmt.Errorf("%w: status %d", stages.ErrRefused, a.Status)
	default:
		return fmt.Errorf("order to %s: status %d", e.ID, a.Status)
	}
}

// control sends a control call, one that isn't on behalf of a caller, to one incarnation of an
// engine.
func (c *Client) control(ctx context.Context, e stages.Engine, method, path string, body []byte) (*relay.Answer, error) {
	header := []relay.HeaderField{{Name: c.cfg.Names.Instance, Value: e.ID}}
	if body != nil {
		header = append(header, relay.HeaderField{Name: "Content-Type", Value: "application/json"})
	}
	return c.Send(ctx, relay.Call{
		Endpoint: relay.Endpoint{Service: e.Service, ID: e.ID, Address: e.Address, Born: e.Born},
		Method:   method,
		Target:   path,
		Host:     e.Address,
		Header:   header,
		Body:     body,
		Control:  true,
		// Engines tell the holders of orders apart by the box that an order comes from.
		DirectOnly: true,
	})
}
