// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// router is one box: the program of the deploy file, in a process of its own.
type router struct {
	name, front, ready string
	settings           string
	cmd                *exec.Cmd
	done               chan struct{}
}

// fleet is the configuration of all boxes.
type fleet struct {
	program, template, dir, store string
	zones                         map[string]string
	fields                        map[string]any
}

// The ports of boxes are taken from below the range from which the system takes those of outgoing
// connections, so that nobody takes one between the look for it and its use.
const firstPort, lastPort = 12000, 32000

// freeAddress returns a loopback address with a port that is free now, and that it has not returned
// before.
func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil || given[address] {
			continue
		}
		given[address] = true
		return address, l.Close()
	}
	return "", errors.New("no port is free")
}

var given = make(map[string]bool)

var (
	gap     = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
	section = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
)

// lookUp returns a field by its dotted name.
func lookUp(fields map[string]any, name string) any {
	var at any = fields
	for _, part := range strings.Split(name, ".") {
		switch v := at.(type) {
		case map[string]any:
			at = v[part]
		case []string:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(v) {
				return nil
			}
			at = v[i]
		default:
			return nil
		}
	}
	return at
}

// fill fills the template of settings as the platform does.
func fill(template string, fields map[string]any) string {
	out := section.ReplaceAllStringFunc(template, func(m string) string {
		parts := section.FindStringSubmatch(m)
		if lookUp(fields, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return gap.ReplaceAllStringFunc(out, func(m string) string {
		parts := gap.FindStringSubmatch(m)
		v := lookUp(fields, parts[1])
		if parts[2] != "" {
			data, err := json.Marshal(v)
			if err != nil {
				panic(err)
			}
			return string(data)
		}
		return fmt.Sprint(v)
	})
}

// start starts a box and waits until it answers its readiness check.
func (f fleet) start(name, zone string) (*router, error) {
	var ports []string
	for range 4 {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		ports = append(ports, a)
	}
	_, box, _ := net.SplitHostPort(ports[2])
	_, operator, _ := net.SplitHostPort(ports[3])
	fields := map[string]any{
		"node_name": name, "zone": zone, "ip": "127.0.0.1",
		"internal_ports": []string{box, operator},
		"listen":         map[string]any{"front": ports[0], "ready": ports[1]},
		"provider":       map[string]any{"address": f.store, "reads_per_s": 2000},
		"zones":          f.zones,
	}
	for k, v := range f.fields {
		fields[k] = v
	}
	text, err := os.ReadFile(f.template)
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(settings, []byte(fill(string(text), fields)), 0o600); err != nil {
		return nil, err
	}
	return f.run(router{name: name, front: ports[0], ready: ports[1], settings: settings})
}

// again starts a box that has ended once more, with its settings.
func (f fleet) again(b *router) (*router, error) {
	return f.run(router{name: b.name, front: b.front, ready: b.ready, settings: b.settings})
}

// run starts the program of a box.
func (f fleet) run(box router) (*router, error) {
	logFile, err := os.OpenFile(filepath.Join(f.dir, box.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	r := &box
	r.done = make(chan struct{})
	r.cmd = exec.Command(f.program, "serve", "--settings", r.settings)
	r.cmd.Stdout, r.cmd.Stderr = logFile, logFile
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = r.cmd.Wait()
		_ = logFile.Close()
		close(r.done)
	}()
	return r, nil
}

// isReady reports whether the box calls itself ready.
func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + r.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the box is ready.
func (r *router) awaitReady(bound time.Duration) error {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.isReady() {
			return nil
		}
	}
	return fmt.Errorf("box %s is not ready", r.name)
}

// signal sends a signal to the box.
func (r *router) signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

// kill ends the box.
func (r *router) kill() {
	_ = r.cmd.Process.Kill()
	<-r.done
}
