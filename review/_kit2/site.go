// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"runridge.example/runridge/platform/standin"
)

// host is the host name of all routes.
const host = "desk.example"

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// site is the platform's store, the servers and the routers of one case.
type site struct {
	*record
	// trouble reports whether the disruption takes place.
	trouble bool
	folder  string
	store   *standin.Store
	// machines reports whether routers reach each other through stand-ins for their machines.
	machines bool
	// terse keeps the many requests that are not judged out of the record.
	terse bool

	mutex   sync.Mutex
	servers []*server
	routers []*router
	closed  chan struct{}
}

func newSite(r *record, trouble bool) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, trouble: trouble, folder: folder, store: standin.NewStore(), closed: make(chan struct{})}
	s.store.SetPage(500)
	return s, nil
}

// close ends all processes that the case started.
func (s *site) close() {
	close(s.closed)
	for _, r := range s.routers {
		r.kill()
	}
	for _, e := range s.servers {
		e.stop()
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// route is a route of the configuration.
type route struct {
	name, service, kind string
	timeoutMS, targetMS int
	attempts            int
	resumable           bool
}

// service is a service of the configuration; with engine it is one of model engines.
type service struct {
	name        string
	slots       int
	engine      bool
	connections int
}

// configure writes a configuration.
func (s *site) configure(version int, routes []route, services []service) {
	var rs, ss []any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": host, wire.PrefixField: "/" + r.name + "/", "kind": r.kind, "timeout_ms": r.timeoutMS,
			wire.TargetField: r.targetMS, wire.GapField: 300, "priority": 1, "service": r.service,
			"max_attempts": r.attempts, "resumable": r.resumable, "sticky": r.kind == "streaming",
		})
	}
	for _, v := range services {
		spec := map[string]any{"name": v.name, "health_path": "/health", "max_connections": v.connections, "protocol": "h1", "tls": false}
		if v.engine {
			engine := maps.Clone(wire.Engine)
			engine["slots"] = v.slots
			spec["engine"] = engine
		}
		ss = append(ss, spec)
	}
	s.store.Put("config", "main", map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	s.line("configuration %d acknowledged", version)
}

// router is a process of the system.
type router struct {
	site                   *site
	name, settings         string
	front, ready, operator string
	cmd                    *exec.Cmd
	ended                  chan struct{}
	// machine is what other routers reach this one through; nil if that is direct.
	machine *machine
}

// The ports of routers lie below those that the system gives to outgoing connections. Each process of the
// kit takes them from a range of its own.
const (
	firstPort   = 12000
	portRanges  = 200
	portsOfEach = 100
)

var nextPort = firstPort + os.Getpid()%portRanges*portsOfEach

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	for range portsOfEach {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	panic("no free port")
}

// startRouters starts routers in the given zones and waits until all say that they are ready.
func (s *site) startRouters(store string, zones ...string) {
	for i, zone := range zones {
		s.routers = append(s.routers, s.newRouter(fmt.Sprintf("front-%s-%d", zone, i+1), zone, store))
	}
	for _, r := range s.routers {
		r.start()
	}
	for _, r := range s.routers {
		if !r.awaitReady(20 * time.Second) {
			logs, _ := os.ReadFile(r.logPath())
			panic(r.name + " is not ready: " + string(logs[max(len(logs)-2000, 0):]))
		}
	}
	// Routers find each other through the store within some seconds.
	time.Sleep(4 * time.Second)
}

// newRouter writes the settings of a router, as the template of the deploy file does.
func (s *site) newRouter(name, zone, store string) *router {
	r := &router{site: s, name: name, front: freeAddress(), ready: freeAddress(), operator: freeAddress()}
	r.settings = filepath.Join(s.folder, name+".json")
	listen := freeAddress()
	advertise := ""
	if s.machines {
		r.machine = newMachine(listen)
		advertise = r.machine.address()
	}
	data, err := json.Marshal(map[string]any{
		"box_advertise": advertise, "name": name, "zone": zone, "regions": map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"},
		"box_listen": listen, "operator_listen": r.operator, "platform": store, "platform_protocol": "objects",
		"platform_reads_per_second": 2000, "memory_limit_mb": 134, "linger_ms": 3000, "stop_seconds": 8,
		"relay": map[string]any{
			"listen": r.front, "ready_listen": r.ready, "retry_ratio": 0.2, "retry_slack": 56, "retry_window_seconds": 10,
			"stages": "planned", "lease_ms": 3000, "thaw_ms": 300,
		},
	})
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(r.settings, data, 0o600); err != nil {
		panic(err)
	}
	return r
}

func (r *router) logPath() string { return filepath.Join(r.site.folder, r.name+".log") }

// start starts the process with the command of the deploy file.
func (r *router) start() {
	logs, err := os.OpenFile(r.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer func() { _ = logs.Close() }()
	r.cmd = exec.Command("target/runridge-router", "serve", "--settings", r.settings)
	r.cmd.Stdout, r.cmd.Stderr = logs, logs
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		panic(err)
	}
	r.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(r.cmd, r.ended)
	r.site.line("%s started, pid %d, front %s", r.name, r.cmd.Process.Pid, r.front)
}

// signal sends a signal to the process.
func (r *router) signal(s syscall.Signal) {
	r.site.line("%s gets %s", r.name, s)
	_ = r.cmd.Process.Signal(s)
}

// kill ends the process.
func (r *router) kill() {
	if r.cmd == nil {
		return
	}
	select {
	case <-r.ended:
		return
	default:
	}
	_ = r.cmd.Process.Kill()
	<-r.ended
}

// awaitReady waits until the router answers readiness with 200.
func (r *router) awaitReady(within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + r.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.site.line("%s is ready", r.name)
			return true
		}
	}
	return false
}
