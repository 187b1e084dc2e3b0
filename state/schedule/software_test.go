// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"testing"
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// softwareConfig is a group with one prefill engine and three decode engines of the given versions.
func softwareConfig(versions ...string) Config {
	cfg := config(1, len(versions))
	cfg.Engines[0].Software = "v1"
	for i, version := range versions {
		cfg.Engines[1+i].Software = version
	}
	return cfg
}

func TestStreamGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	cases := map[string]struct {
		versions []string
		software string
		// decode are the engines that may be chosen; reason is why the ask is refused instead.
		decode []string
		reason lifecycle.Reason
	}{
		"any version will do":            {versions: []string{"v1", "v2", "v1"}, decode: []string{"e1", "e2", "e3"}},
		"one engine has it":              {versions: []string{"v1", "v2", "v1"}, software: "v2", decode: []string{"e2"}},
		"no engine has it":               {versions: []string{"v1", "v1", "v1"}, software: "v2", reason: lifecycle.ReasonNoEngine},
		"an engine's version is unknown": {versions: []string{"v1", "", "v1"}, software: "v2", decode: []string{"e2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := New(softwareConfig(c.versions...), start)
			seen := make(map[string]bool)
			for n := range 6 {
				a := newAsk(n, 2000)
				a.Resume, a.Software = true, c.software
				for _, d := range g.Ask(start, a) {
					switch d := d.(type) {
					case Grant:
						seen[d.Plan.Decode] = true
					case Refusal:
						seen[string(d.Reason)] = true
					}
				}
			}
			want := c.decode
			if c.reason != "" {
				want = []string{string(c.reason)}
			}
			for decided := range seen {
				if !slices.Contains(want, decided) {
					t.Errorf("decided %s, want one of %v", decided, want)
				}
			}
			if len(seen) == 0 {
				t.Error("nothing was decided")
			}
		})
	}
}

// TestAskAfterAStreamOfOneVersionIsNotRefused has a resumed stream ask for one version before a request
// that any engine may serve.
func TestAskAfterAStreamOfOneVersionIsNotRefused(t *testing.T) {
	g := New(softwareConfig("v1", "v2", "v2"), start)
	bound := newAsk(1, 2000)
	bound.Resume, bound.Software = true, "v1"
	g.Ask(start, bound)
	if got := describe(g.Ask(start, newAsk(2, 2000))[0]); got == string(lifecycle.ReasonTargetUnreachable) || got == string(lifecycle.ReasonNoEngine) {
		t.Errorf("refused: %s", got)
	}
}

func TestResumedStreamWaitsUntilItsDeadline(t *testing.T) {
	cfg := softwareConfig("v1", "v2")
	g := New(cfg, start)
	for i := range g.view.Engines {
		g.view.Engines[i].Held = g.view.Engines[i].MaxHeld
	}
	a := newAsk(1, 2000)
	a.Resume, a.Software, a.RemainingPatience = true, "v1", 2*time.Second
	for _, d := range g.Ask(start, a) {
		if _, queued := d.(Queued); !queued {
			t.Fatalf("decided %v, want it queued", d)
		}
	}
	if out := g.Tick(start.Add(time.Second)); len(out) > 0 {
		t.Fatalf("decided %v while the caller waits", out)
	}
	out := g.Tick(start.Add(2 * time.Second))
	if len(out) != 1 {
		t.Fatalf("decided %v, want a refusal", out)
	}
	if r, refused := out[0].(Refusal); !refused || r.RetryAfter <= 0 {
		t.Errorf("decided %v, want a refusal with a retry delay", out[0])
	}
}
