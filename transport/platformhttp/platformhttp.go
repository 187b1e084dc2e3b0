// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platformhttp is the HTTP client for the platform's object API.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/httphead"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/protocol/platformapi"
)

// watchMargin is how long before the context's deadline the platform is asked to answer a watch, so
// that the answer isn't lost.
const watchMargin = 500 * time.Millisecond

// maxAnswer limits an answer, in bytes. It leaves room for a value of the largest size and the JSON
// around it.
const maxAnswer = 2 * platformapi.MaxValue

// kindBoxes is the kind under which entries of boxes are observed.
const kindBoxes = "boxes"

// Client is an adapter.Platform over HTTP.
type Client struct {
	address string
	http    *http.Client
	// observer may be nil.
	observer adapter.ObjectObserver
}

var _ adapter.Platform = (*Client)(nil)

// New returns a client for the API at address, an IP address and port.
func New(address string) *Client {
	return &Client{address: address, http: &http.Client{Transport: httphead.Check(&http.Transport{}, adapter.MaxAnswerHead)}}
}

// Observe sets the observer of the objects that are read. It is called before all other methods.
func (c *Client) Observe(o adapter.ObjectObserver) { c.observer = o }

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get reads an object. If after is not 0, it first waits for a version above after.
func (c *Client) Get(ctx context.Context, name string, after uint64) (adapter.Object, error) {
	query := url.Values{}
	if after > 0 {
		query.Set(platformapi.QueryAfter, strconv.FormatUint(after, 10))
		if deadline, ok := ctx.Deadline(); ok {
			wait := max(time.Until(deadline)-watchMargin, 0)
			query.Set(platformapi.QueryWaitMS, strconv.FormatInt(wait.Milliseconds(), 10))
		}
	}
	var o platformapi.Object
	err := c.do(ctx, http.MethodGet, platformapi.PathObjects+name, query, nil, &o)
	return adapter.Object{Version: o.Version, Value: o.Value}, err
}

// GetStale reads an object. It is the same as Get without a wait, since this platform has only one
// kind of read.
func (c *Client) GetStale(ctx context.Context, name string) (adapter.Object, error) {
	return c.Get(ctx, name, 0)
}

// Put writes an object if its version is still the given one, and returns the new version.
// Otherwise it returns adapter.ErrConflict.
func (c *Client) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	query := url.Values{platformapi.QueryVersion: {strconv.FormatUint(version, 10)}}
	var o platformapi.Object
	err := c.do(ctx, http.MethodPut, platformapi.PathObjects+name, query, value, &o)
	return o.Version, err
}

// Boxes reads the list of boxes and leaves out entries that cannot be read.
func (c *Client) Boxes(ctx context.Context) ([]adapter.Box, error) {
	var list struct {
		Boxes []json.RawMessage `json:"boxes"`
	}
	if err := c.do(ctx, http.MethodGet, platformapi.PathBoxes, nil, nil, &list); err != nil {
		return nil, err
	}
	out := make([]adapter.Box, 0, len(list.Boxes))
	for _, data := range list.Boxes {
		b, err := parseBox(data)
		if c.observer != nil {
			c.observer.ObjectRead(kindBoxes, b.Name, err)
		}
		if err == nil {
			out = append(out, adapter.Box{Name: b.Name, Address: b.Address, Zone: b.Zone, Leaving: b.Leaving})
		}
	}
	return out, nil
}

// parseBox decodes an entry of the list of boxes. The name is returned also with an error, if it is known.
func parseBox(data []byte) (platformapi.Box, error) {
	var b platformapi.Box
	if err := json.Unmarshal(data, &b); err != nil {
		return b, err
	}
	if b.Name == "" {
		return b, errNoName
	}
	return b, invalid.CheckAddress("address", b.Address)
}

var errNoName = errors.New("the entry has no name")

// do sends a request and decodes the JSON answer into out.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, out any) error {
	target := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(data, out)
	case http.StatusConflict:
		return adapter.ErrConflict
	default:
		return adapter.Shorten(errors.New("platform: " + resp.Status + ": " + string(data)))
	}
}
