// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routed tests whole boxes that serve routed services, against a
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

	"runridge.example/runridge/box"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/setting"
	"runridge.example/runridge/platform"
	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/state/pace"
)

// patience bounds every wait for a state in these tests.
const patience = 20 * time.Second

const (
	host         = "desk.example"
	plainService = "plain-service"
	modelService = "model-service"
)

// site is a store, endpoints and boxes.
type site struct {
	t     *testing.T
	slack float64
	// cold bounds what cold endpoints get.
	cold pace.Bound
	// held is what boxes may hold for callers, in bytes; 0 is their own choice.
	held int64
	// later has the boxes hear each other as builds of the future.
	later bool
	// logs has what all boxes wrote.
	logs  *journal
	store *standin.Store
	boxes []*running
	ends  map[string]*standin.Endpoint
	// zones are those of boxes that do not stand in zone-a.
	zones map[string]string
}

// regions are those of the zones in these tests.
var regions = map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "south"}

// running is a box that runs.
type running struct {
	*box.Box
	stop   context.CancelFunc
	ended  chan struct{}
	caller string
	ready  string
}

// journal gathers what boxes write.
type journal struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write adds to it.
func (j *journal) Write(p []byte) (int, error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.text.Write(p)
}

// String is all that was written.
func (j *journal) String() string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.text.String()
}

// amply is a retry slack that no test uses up.
const amply = 500_000

// newSite starts a store with a configuration, the endpoints and the boxes.
func newSite(t *testing.T, boxes int, endpoints ...standin.EndpointConfig) *site {
	t.Helper()
	return newSiteWith(t, amply, boxes, endpoints...)
}

// newSiteWith starts a site whose boxes share a retry slack.
func newSiteWith(t *testing.T, slack float64, boxes int, endpoints ...standin.EndpointConfig) *site {
	t.Helper()
	s := &site{t: t, slack: slack, logs: &journal{}, store: standin.NewStore(), ends: make(map[string]*standin.Endpoint)}
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
	for _, e := range s.ends {
		e.Close()
	}
	for _, b := range s.boxes {
		<-b.ended
	}
	s.store.Close()
}

func (s *site) add(cfg standin.EndpointConfig) { s.announce(standin.NewEndpoint(cfg)) }

// announce puts an endpoint on the store's list.
func (s *site) announce(e *standin.Endpoint) {
	s.ends[e.ID] = e
	s.store.Put("servers", e.ID, e.Spec(false))
}

// start runs a box on ports of its own.
func (s *site) start(name string) *running {
	s.t.Helper()
	return s.startAt(name, s.store.Address())
}

// startAt runs a box that reaches the store at an address.
func (s *site) startAt(name, store string) *running {
	s.t.Helper()
	names := platform.Names()
	logger, err := log.New(log.Config{Level: "trace", Output: s.logs})
	if err != nil {
		s.t.Fatal(err)
	}
	way := s.newLaterWay()
	b, err := box.New(setting.Box{
		Name: name, Zone: cmp.Or(s.zones[name], "zone-a"), Regions: regions,
		BoxListen: "127.0.0.1:0", BoxAdvertise: way.address(), OperatorListen: "127.0.0.1:0",
		Platform: store, PlatformProtocol: setting.PlatformObjects, StopSeconds: 3,
		Relay: setting.Relay{
			Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0",
			RetryRatio: 0.2, RetrySlack: s.slack, RetryWindowSeconds: 10,
			QuotaOverage: 0.1, QuotaSlack: 1000, QuotaWindowSeconds: 8,
			Stages: setting.StagesPlanned, PrefillPart: 0.25, LeaseMS: 400, ThawMS: 50,
			ColdOverage: s.cold.Overage, ColdSlack: s.cold.Slack,
		},
	}, box.Options{Log: logger, Platform: platform.New(store), Names: &names, HeldBytes: s.held})
	if err != nil {
		s.t.Fatal(err)
	}
	way.serve(b.BoxAddr())
	ctx, stop := context.WithCancel(context.Background())
	r := &running{Box: b, stop: stop, ended: make(chan struct{}), caller: b.RelayAddr(), ready: b.ReadyAddr()}
	s.boxes = append(s.boxes, r)
	go func() {
		defer close(r.ended)
		if err := b.Run(ctx); err != nil {
			s.t.Errorf("box %s: %v", name, err)
		}
	}()
	return r
}

// eventually waits for a state.
func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("did not come about: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// left says whether a box knows that an endpoint gets nothing more. One answer
// from another endpoint does not show it: they take turns.
func (b *running) left(id string) bool {
	word, known := b.Directory().Status(id)
	return known && !word.Usable()
}

// configuration has one route of each kind; later versions add a route.
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

func plainEnds() []standin.EndpointConfig {
	return []standin.EndpointConfig{
		{ID: "p1", Service: plainService, Zone: "zone-a"},
		{ID: "p2", Service: plainService, Zone: "zone-a"},
		{ID: "p3", Service: plainService, Zone: "zone-a"},
	}
}

func modelEnds() []standin.EndpointConfig {
	return []standin.EndpointConfig{
		{ID: "pre1", Service: modelService, Zone: "zone-a", Stage: "prefill", Events: 6},
		{ID: "dec1", Service: modelService, Zone: "zone-a", Stage: "decode", Events: 6},
		{ID: "dec2", Service: modelService, Zone: "zone-a", Stage: "decode", Events: 6},
	}
}

var ids atomic.Int64

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// whole says that the answer came to the end that its framing asks for.
	whole bool
	id    string
}

// send sends a request on a new connection.
func (s *site) send(b *running, method, path, body string, header map[string]string) answer {
	s.t.Helper()
	id := fmt.Sprintf("request-%d", ids.Add(1))
	req, err := http.NewRequest(method, "http://"+b.caller+path, strings.NewReader(body))
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
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), whole: err == nil, id: id}
}

// ask sends a request on a new connection and does not wait for the answer.
func (s *site) ask(b *running, path, id string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", b.caller)
	if err != nil {
		s.t.Fatal(err)
	}
	const form = "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Token-Usage: 100,20\r\n\r\n"
	if _, err := fmt.Fprintf(c, form, path, host, id); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// raw sends bytes as they are and reads one answer.
func (s *site) raw(b *running, text string) answer {
	s.t.Helper()
	c, err := net.Dial("tcp", b.caller)
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
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), whole: err == nil}
}

// runs counts the runs of a request on all endpoints.
func (s *site) runs(id string) int {
	count := 0
	for _, e := range s.ends {
		for _, r := range e.Runs() {
			if r.ID == id {
				count++
			}
		}
	}
	return count
}

// allRuns counts the runs on all endpoints.
func (s *site) allRuns() int {
	count := 0
	for _, e := range s.ends {
		count += len(e.Runs())
	}
	return count
}
