// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package stages

import (
	"slices"
	"testing"
)

func TestLastDecodeEngineOfASoftwareVersionPrefills(t *testing.T) {
	engine := func(name, software string, tokenNS float64) Engine {
		return Engine{Name: name, Software: software, TokenNS: tokenNS, Ready: true}
	}
	changing := engine("c", "v1", 1)
	changing.Changing, changing.Ready = true, false
	cases := map[string]struct {
		engines []Engine
		want    []string
	}{
		"one version":                       {engines: []Engine{engine("a", "v1", 1), engine("b", "v1", 2)}, want: []string{"a"}},
		"the fastest is the last of its":    {engines: []Engine{engine("a", "v1", 1), engine("b", "v2", 2), engine("d", "v2", 3)}, want: []string{"b"}},
		"another one of its is changing":    {engines: []Engine{engine("a", "v1", 1), changing, engine("b", "v2", 2), engine("d", "v2", 3)}, want: []string{"b"}},
		"each is the last of its":           {engines: []Engine{engine("a", "v1", 1), engine("b", "v2", 2)}},
		"the versions of both are unknown":  {engines: []Engine{engine("a", "", 1), engine("b", "", 2)}, want: []string{"a"}},
		"a single engine, as it always was": {engines: []Engine{engine("a", "v1", 1)}, want: []string{"a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := fastestDecode(c.engines); !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
