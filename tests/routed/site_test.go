// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routed tests complete boxes that serve routed services, against a
// stand-in for the objects platform.
package routed

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"runridge.example/runridge/bench/soak/proxy"
	"runridge.example/runridge/box"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/setting"
	"runridge.example/runridge/platform"
	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/transport/reach"
)

// patience is the time limit of every wait in these tests.
const patience = 20 * time.Second

const (
	host         = "desk.example"
	plainService = "plain-service"
	modelService = "model-service"
)

// site is a test deployment: the platform's store, endpoints and boxes.
type site struct {
	t          *testing.T
	retrySlack float64
	// coldLimit limits the requests that boxes send to cold endpoints.
	coldLimit pace.Bound
	// heldLimit is how much boxes may buffer for callers, in bytes; 0 selects their default.
	heldLimit int64
	// dialEndpoint has, by the box's name, how boxes open connections to endpoints; others do over
	// TCP.
	dialEndpoint map[string]reach.Dial
	// overloadDelayMS is the bound on the delay of boxes' messages; 0 selects one that no load of this
	// machine reaches.
	overloadDelayMS int
	// boxProxies has, by the box's name, the proxies through which other boxes reach a box; the others
	// are reached directly.
	boxProxies map[string]*proxy.Proxy
	// laterBuild makes each box receive the messages of the others as a later build would send them.
	laterBuild bool
	// logs collects the log lines of all boxes.
	logs      *logBuffer
	store     *standin.Store
	boxes     []*runningBox
	endpoints map[string]*standin.Endpoint
	// zones has the zone of each box that is not in zone-a, by the box's name.
	zones map[string]string
}

// regions maps the zones of these tests to their regions.
var regions = map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "south"}

// runningBox is a started box with its addresses.
type runningBox struct {
	*box.Box
	stop       context.CancelFunc
	done       chan struct{}
	callerAddr string
	readyAddr  string
}

// logBuffer is a buffer for the logs of boxes, safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write appends p to the buffer.
func (j *logBuffer) Write(p []byte) (int, error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.text.Write(p)
}

// String returns everything written so far.
func (j *logBuffer) String() string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.text.String()
}

// ampleRetrySlack is a slack of the retry budget that no test uses up.
const ampleRetrySlack = 500_000

// newSite starts a store with a configuration, the endpoints and the boxes, and waits until the boxes are ready.
func newSite(t *testing.T, boxes int, endpoints ...standin.EndpointConfig) *site {
	t.Helper()
	return newSiteWith(t, ampleRetrySlack, boxes, endpoints...)
}

// newSiteWith is newSite with another slack for the retry budget.
func newSiteWith(t *testing.T, slack float64, boxes int, endpoints ...standin.EndpointConfig) *site {
	t.Helper()
	s := &site{t: t, retrySlack: slack, logs: &logBuffer{}, store: standin.NewStore(), endpoints: make(map[string]*standin.Endpoint)}
	t.Cleanup(s.close)
	s.store.Put("config", "main", configuration(1))
	for _, cfg := range endpoints {
		s.add(cfg)
	}
	for i := range boxes {
		s.start(fmt.Sprintf("box-%d", i+1))
	}
	for _, b := range s.boxes {
		s.eventually("the box is ready", func() bool { return b.Ready() })
	}
	return s
}

func (s *site) close() {
	for _, b := range s.boxes {
		b.stop()
	}
	for _, e := range s.endpoints {
		e.Close()
	}
	for _, b := range s.boxes {
		<-b.done
	}
	s.store.Close()
}

func (s *site) add(cfg standin.EndpointConfig) { s.announce(standin.NewEndpoint(cfg)) }

// announce adds an endpoint to the site and registers it in the store.
func (s *site) announce(e *standin.Endpoint) {
	s.endpoints[e.ID] = e
	s.store.Put("servers", e.ID, e.Spec(false))
}

// start starts a box that reads the site's store.
func (s *site) start(name string) *runningBox {
	s.t.Helper()
	return s.startAt(name, s.store.Address())
}

// startAt starts a box that reaches the store at the given address.
func (s *site) startAt(name, store string) *runningBox {
	s.t.Helper()
	names := platform.Names()
	logger, err := log.New(log.Config{Level: "trace", Output: s.logs})
	if err != nil {
		s.t.Fatal(err)
	}
	way := s.newLaterBuildProxy()
	advertised := way.address()
	link := s.boxProxies[name]
	if link != nil {
		advertised = link.Addr()
	}
	b, err := box.New(setting.Box{
		Name: name, Zone: cmp.Or(s.zones[name], "zone-a"), Regions: regions,
		BoxListen: "127.0.0.1:0", BoxAdvertise: advertised, OperatorListen: "127.0.0.1:0",
		Platform: store, PlatformProtocol: setting.PlatformObjects, StopSeconds: 3,
		OverloadDelayMS: cmp.Or(s.overloadDelayMS, setting.MaxOverloadDelayMS),
		Relay: setting.Relay{
			Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0",
			RetryRatio: 0.2, RetrySlack: s.retrySlack, RetryWindowSeconds: 10,
			QuotaOverage: 0.1, QuotaSlack: 1000, QuotaWindowSeconds: 8,
			Stages: setting.StagesPlanned, PrefillPart: 0.25, LeaseMS: 400, ThawMS: 50,
			ColdOverage: s.coldLimit.Overage, ColdSlack: s.coldLimit.Slack,
		},
	}, box.Options{Log: logger, Platform: platform.New(store), Names: &names, HeldBytes: s.heldLimit, DialEndpoint: s.dialEndpoint[name]})
	if err != nil {
		s.t.Fatal(err)
	}
	way.serve(b.BoxAddr())
	if link != nil {
		link.SetTarget(b.BoxAddr())
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningBox{Box: b, stop: stop, done: make(chan struct{}), callerAddr: b.RelayAddr(), readyAddr: b.ReadyAddr()}
	s.boxes = append(s.boxes, r)
	go func() {
		defer close(r.done)
		if err := b.Run(ctx); err != nil {
			s.t.Errorf("box %s: %v", name, err)
		}
	}()
	return r
}

// eventually waits until holds returns true and fails the test after patience.
func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// knowsUnusable reports whether a box knows that an endpoint must not receive further requests. One
// answer from another endpoint does not show it, since a box rotates among endpoints.
func (b *runningBox) knowsUnusable(id string) bool {
	word, known := b.Directory().Status(id)
	return known && !word.Usable()
}

// configuration returns the configuration with one route of each kind; each version after
// the first adds a route.
func configuration(version int) map[string]any {
	route := func(name, kind, service string, more map[string]any) map[string]any {
		out := map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind,
			"timeout_ms": 5000, "target_latency_ms": 2000, "priority": 1, "service": service, "max_attempts": 2,
		}
		for k, v := range more {
			out[k] = v
		}
		return out
	}
	routes := []any{
		route("safe", "safe", plainService, nil),
		route("unsafe", "unsafe", plainService, map[string]any{"max_attempts": 1}),
		route("long", "safe", plainService, map[string]any{"timeout_ms": 600_000}),
		route("short", "unsafe", plainService, map[string]any{"timeout_ms": 300}),
		route("stream", "streaming", modelService, map[string]any{"max_attempts": 1, "target_gap_ms": 300}),
		route("resumable", "streaming", modelService, map[string]any{"resumable": true, "target_gap_ms": 300}),
		route("retried", "streaming", modelService, map[string]any{"resumable": true, "target_gap_ms": 300, "max_attempts": 3}),
	}
	for v := 2; v <= version; v++ {
		routes = append(routes, route("added-"+strconv.Itoa(v), "safe", plainService, nil))
	}
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": plainService, "health_path": "/health", "max_connections": 100},
			map[string]any{"name": modelService, "health_path": "/health", "max_connections": 300, "engine": map[string]any{
				"slots": 8, "kv_capacity_tokens": 90000, "token_kv_bytes": 1000, "link_mbps": 100000, "kv_hold_s": 5, "role_switch_s": 0.2,
			}},
		},
		"limits": map[string]any{
			"max_header_bytes": 8192, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
}

func plainEndpoints() []standin.EndpointConfig {
	return []standin.EndpointConfig{
		{ID: "p1", Service: plainService, Zone: "zone-a"},
		{ID: "p2", Service: plainService, Zone: "zone-a"},
		{ID: "p3", Service: plainService, Zone: "zone-a"},
	}
}

func modelEndpoints() []standin.EndpointConfig {
	return []standin.EndpointConfig{
		{ID: "pre1", Service: modelService, Zone: "zone-a", Stage: "prefill", Events: 6},
		{ID: "dec1", Service: modelService, Zone: "zone-a", Stage: "decode", Events: 6},
		{ID: "dec2", Service: modelService, Zone: "zone-a", Stage: "decode", Events: 6},
	}
}

var ids atomic.Int64

// answer is what a caller received; its status is 0 if there was no answer.
type answer struct {
	status int
	header http.Header
	body   string
	// complete reports that the body was read to the end that its framing declares.
	complete bool
	id       string
}

// send sends a request on a new connection.
func (s *site) send(b *runningBox, method, path, body string, header map[string]string) answer {
	s.t.Helper()
	id := fmt.Sprintf("request-%d", ids.Add(1))
	req, err := http.NewRequest(method, "http://"+b.callerAddr+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Token-Usage", "100,20")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	resp, err := client.Do(req)
	if err != nil {
		s.t.Logf("request %s got no answer: %v", id, err)
		return answer{id: id}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), complete: err == nil, id: id}
}

// startRequest sends a request on a new connection without waiting for the answer.
func (s *site) startRequest(b *runningBox, path, id string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", b.callerAddr)
	if err != nil {
		s.t.Fatal(err)
	}
	const form = "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Token-Usage: 100,20\r\n\r\n"
	if _, err := fmt.Fprintf(c, form, path, host, id); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// sendRaw sends text unchanged on a new connection and reads one answer.
func (s *site) sendRaw(b *runningBox, text string) answer {
	s.t.Helper()
	c, err := net.Dial("tcp", b.callerAddr)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), complete: err == nil}
}

// runs returns how many times all endpoints together have run a request.
func (s *site) runs(id string) int {
	count := 0
	for _, e := range s.endpoints {
		for _, r := range e.Runs() {
			if r.ID == id {
				count++
			}
		}
	}
	return count
}

// allRuns returns the number of runs on all endpoints together.
func (s *site) allRuns() int {
	count := 0
	for _, e := range s.endpoints {
		count += len(e.Runs())
	}
	return count
}
