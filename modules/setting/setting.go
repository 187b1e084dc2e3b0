// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package setting reads a box's settings from JSON and validates them. docs/SETTINGS.md and
// settings.example.json explain every key.
package setting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"regexp"

	"github.com/sirupsen/logrus"

	"runridge.example/runridge/modules/invalid"
)

// Box holds the settings of one entry box.
type Box struct {
	// Name is the box's own name, the same as in the platform's list of boxes.
	Name string `json:"name"`
	// Zone is the availability zone of the box.
	Zone string `json:"zone"`
	// Regions maps availability zones to regions; all zones that it does not name form one
	// region.
	Regions map[string]string `json:"regions,omitempty"`
	// CallerListen, BoxListen and OperatorListen are the IP addresses and ports on which
	// the box listens.
	CallerListen   string `json:"caller_listen"`
	BoxListen      string `json:"box_listen"`
	OperatorListen string `json:"operator_listen"`
	// BoxAdvertise is the address at which other boxes reach this one if that is not
	// BoxListen, for example behind a port mapping.
	BoxAdvertise string `json:"box_advertise,omitempty"`
	// Platform is the IP address and port of the platform's object API.
	Platform string `json:"platform"`
	// BoxKeyFile is the path of a file with the key that all boxes share.
	BoxKeyFile string `json:"box_key_file,omitempty"`
	LogLevel   string `json:"log_level,omitempty"`
	Limits     Limits `json:"limits"`
	// StopSeconds is the time for a planned stop, from the signal on. The box stops a
	// little sooner.
	StopSeconds float64 `json:"stop_seconds,omitempty"`
	// RepeatWindowSeconds is how long a request with an idempotency key is recognized when
	// it is repeated.
	RepeatWindowSeconds int `json:"repeat_window_seconds,omitempty"`
	// LingerMS is how long a stopping box still accepts requests, in milliseconds: as long
	// as the platform's balancer lags behind.
	LingerMS int `json:"linger_ms,omitempty"`
	// MemoryLimitMB is the memory that the box may use, in megabytes.
	MemoryLimitMB int `json:"memory_limit_mb,omitempty"`
	// OverloadDelayMS is by how much longer than at rest messages to other boxes may take, in
	// milliseconds, before the box turns new connections of callers away; 0 means the default.
	OverloadDelayMS int `json:"overload_delay_ms,omitempty"`
	// PlatformProtocol is the protocol of the platform: PlatformTable or PlatformObjects.
	PlatformProtocol string `json:"platform_protocol,omitempty"`
	// PlatformReadsPerSecond is how many read calls a second the platform accepts from all
	// boxes together.
	PlatformReadsPerSecond float64 `json:"platform_reads_per_second,omitempty"`
	// Relay configures routed services; without a listener there are none.
	Relay Relay `json:"relay,omitzero"`
}

// Protocols of the platform.
const (
	// PlatformTable stores runridge's own table as one object; the default.
	PlatformTable = "table"
	// PlatformObjects stores configuration, endpoints and boxes as objects by kind.
	PlatformObjects = "objects"
)

// Modes for the stages of engines.
const (
	// StagesFixed leaves the stages as they are; the default.
	StagesFixed = "fixed"
	// StagesPlanned plans the stages by the demand for prompt work.
	StagesPlanned = "planned"
)

// Relay holds the settings for routed services.
type Relay struct {
	// Listen is where callers of routed services connect, and ReadyListen where the
	// platform's balancer checks whether the box accepts requests.
	Listen      string `json:"listen,omitempty"`
	ReadyListen string `json:"ready_listen,omitempty"`
	// RetryRatio, RetrySlack and RetryWindowSeconds bound the extra requests that retries
	// of all boxes send to a service in any window of that length.
	RetryRatio         float64 `json:"retry_ratio,omitempty"`
	RetrySlack         float64 `json:"retry_slack,omitempty"`
	RetryWindowSeconds float64 `json:"retry_window_seconds,omitempty"`
	// QuotaOverage, a fraction of an account's quota, and QuotaSlack, in the quota's unit,
	// bound by how much the use on all boxes may exceed the quota in any window of
	// QuotaWindowSeconds.
	QuotaOverage       float64 `json:"quota_overage,omitempty"`
	QuotaSlack         float64 `json:"quota_slack,omitempty"`
	QuotaWindowSeconds float64 `json:"quota_window_seconds,omitempty"`
	// Stages is StagesPlanned if engines are ordered to change between prefill and decode,
	// else StagesFixed. PrefillPart, if above 0, pins the fraction of engines that prefill.
	Stages      string  `json:"stages,omitempty"`
	PrefillPart float64 `json:"prefill_part,omitempty"`
	// LeaseMS is how long a lease gives the right to order changes of stages, and ThawMS
	// how long orders of a box whose process was paused may still arrive.
	LeaseMS float64 `json:"lease_ms,omitempty"`
	ThawMS  float64 `json:"thaw_ms,omitempty"`
	// ColdOverage, a factor, and ColdSlack, in requests, bound how many requests a cold
	// endpoint may get from all boxes together in any second: its own pace times the
	// factor, plus the slack. 0 for both leaves cold endpoints unbounded.
	ColdOverage float64 `json:"cold_overage,omitempty"`
	ColdSlack   float64 `json:"cold_slack,omitempty"`
}

// Limits bounds what a box accepts. 0 means the default.
type Limits struct {
	MaxBodyBytes   int     `json:"max_body_bytes,omitempty"`
	MaxHeaderBytes int     `json:"max_header_bytes,omitempty"`
	MaxConcurrent  int     `json:"max_concurrent,omitempty"`
	MaxAttempts    int     `json:"max_attempts,omitempty"`
	BytesPerToken  float64 `json:"bytes_per_token,omitempty"`
	StepTimeoutMS  int     `json:"step_timeout_ms,omitempty"`
}

// NeedsRestart reports whether the change from the old settings to these needs a restart to
// take full effect: a name, zone, region, address or protocol differs.
func (b Box) NeedsRestart(old Box) bool {
	return b.restartSettings() != old.restartSettings()
}

// restartSettings returns the settings that a running box can't change.
func (b Box) restartSettings() [11]string {
	return [...]string{
		b.Name, b.Zone, fmt.Sprint(b.Regions), b.CallerListen, b.BoxListen, b.BoxAdvertise, b.OperatorListen, b.Platform,
		b.PlatformProtocol, b.Relay.Listen, b.Relay.ReadyListen,
	}
}

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Load reads and validates a settings file.
func Load(path string) (Box, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Box{}, fmt.Errorf("settings file: %w", err)
	}
	if info.Size() > maxFileBytes {
		return Box{}, fmt.Errorf("settings file %s has %d bytes, allowed: at most %d", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Box{}, fmt.Errorf("settings file: %w", err)
	}
	return Parse(data)
}

// Parse decodes and validates settings. An unknown key is an error, so that a misspelt key
// does not silently get its default.
func Parse(data []byte) (Box, error) {
	var b Box
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		return b, fmt.Errorf("settings: %w", err)
	}
	if problems := b.Check(); len(problems) > 0 {
		return b, problems
	}
	return b, nil
}

// namePattern restricts the names of boxes and zones, since a box's name is part of ids.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// MaxOverloadDelayMS is the largest bound on the delay of a box's messages, which no load reaches.
const MaxOverloadDelayMS = 600_000

const (
	maxBodyBytes     = 64 << 20
	maxHeaderBytes   = 1 << 20
	maxConcurrent    = 100_000
	maxAttempts      = 10
	maxStepTimeoutMS = 600_000
	maxLingerMS      = 60_000
	maxWindowSeconds = 600
	maxBytesPerToken = 64
	maxMemoryMB      = 1 << 20
	maxAmount        = 1_000_000
)

const advertiseKey = "box_advertise"

// Check returns all problems of the settings.
func (b Box) Check() invalid.FieldErrors {
	var out invalid.FieldErrors
	add := func(key string, value any, allowed string) {
		out = out.With("setting "+key, value, allowed)
	}
	names := map[string]string{"name": b.Name, "zone": b.Zone}
	for _, key := range []string{"name", "zone"} {
		if !namePattern.MatchString(names[key]) {
			add(key, names[key], "1 to 63 of a-z, 0-9, dot and hyphen, a letter or digit first")
		}
	}
	type address struct{ key, value string }
	addresses := []address{
		{"caller_listen", b.CallerListen},
		{"box_listen", b.BoxListen},
		{"operator_listen", b.OperatorListen},
		{"platform", b.Platform},
	}
	if b.Relay.Listen != "" {
		addresses = append(addresses, address{"relay.listen", b.Relay.Listen}, address{"relay.ready_listen", b.Relay.ReadyListen})
	}
	if b.BoxAdvertise != "" {
		addresses = append(addresses, address{advertiseKey, b.BoxAdvertise})
	}
	if b.CallerListen == "" && b.Relay.Listen != "" {
		addresses = addresses[1:]
	}
	switch b.PlatformProtocol {
	case "", PlatformTable, PlatformObjects:
	default:
		add("platform_protocol", b.PlatformProtocol, PlatformTable+", "+PlatformObjects)
	}
	switch b.Relay.Stages {
	case "", StagesFixed:
	case StagesPlanned:
		if b.Relay.LeaseMS <= 0 {
			add("relay.lease_ms", b.Relay.LeaseMS, "above 0 where stages are planned")
		}
	default:
		add("relay.stages", b.Relay.Stages, StagesFixed+", "+StagesPlanned)
	}
	if b.Relay.PrefillPart < 0 || b.Relay.PrefillPart > 1 {
		add("relay.prefill_part", b.Relay.PrefillPart, "0 (by the work that is asked for) to 1")
	}
	seen := make(map[string]string)
	for _, a := range addresses {
		parsed, err := netip.ParseAddrPort(a.value)
		if err != nil {
			add(a.key, a.value, "an IP number and port, such as 10.0.0.5:8080")
			continue
		}
		if a.key == advertiseKey && (parsed.Port() == 0 || parsed.Addr().IsUnspecified()) {
			add(a.key, a.value, "an address that other boxes can dial: neither port 0 nor every address")
		}
		if other, twice := seen[a.value]; twice && parsed.Port() != 0 {
			add(a.key, a.value, "an address other than that of "+other)
		}
		seen[a.value] = a.key
	}
	if b.LogLevel != "" {
		if _, err := logrus.ParseLevel(b.LogLevel); err != nil {
			add("log_level", b.LogLevel, "trace, debug, info, warn, error")
		}
	}
	b.checkRanges(add)
	return out
}

func (b Box) checkRanges(add func(key string, value any, allowed string)) {
	ranges := []struct {
		key        string
		value, max int
	}{
		{"limits.max_body_bytes", b.Limits.MaxBodyBytes, maxBodyBytes},
		{"limits.max_header_bytes", b.Limits.MaxHeaderBytes, maxHeaderBytes},
		{"limits.max_concurrent", b.Limits.MaxConcurrent, maxConcurrent},
		{"limits.max_attempts", b.Limits.MaxAttempts, maxAttempts},
		{"limits.step_timeout_ms", b.Limits.StepTimeoutMS, maxStepTimeoutMS},
		{"linger_ms", b.LingerMS, maxLingerMS},
		{"repeat_window_seconds", b.RepeatWindowSeconds, maxWindowSeconds},
		{"memory_limit_mb", b.MemoryLimitMB, maxMemoryMB},
		{"overload_delay_ms", b.OverloadDelayMS, MaxOverloadDelayMS},
	}
	for _, r := range ranges {
		if r.value < 0 || r.value > r.max {
			add(r.key, r.value, fmt.Sprintf("0 (the default) to %d", r.max))
		}
	}
	amounts := []struct {
		key   string
		value float64
	}{
		{"stop_seconds", b.StopSeconds},
		{"platform_reads_per_second", b.PlatformReadsPerSecond},
		{"relay.retry_ratio", b.Relay.RetryRatio},
		{"relay.retry_slack", b.Relay.RetrySlack},
		{"relay.retry_window_seconds", b.Relay.RetryWindowSeconds},
		{"relay.quota_overage", b.Relay.QuotaOverage},
		{"relay.quota_slack", b.Relay.QuotaSlack},
		{"relay.quota_window_seconds", b.Relay.QuotaWindowSeconds},
		{"relay.lease_ms", b.Relay.LeaseMS},
		{"relay.thaw_ms", b.Relay.ThawMS},
		{"relay.cold_overage", b.Relay.ColdOverage},
		{"relay.cold_slack", b.Relay.ColdSlack},
	}
	for _, a := range amounts {
		if a.value < 0 || a.value > maxAmount {
			add(a.key, a.value, fmt.Sprintf("0 to %d", maxAmount))
		}
	}
	if v := b.Limits.BytesPerToken; v < 0 || v > maxBytesPerToken {
		add("limits.bytes_per_token", v, fmt.Sprintf("0 (the default) to %d", maxBytesPerToken))
	}
}
