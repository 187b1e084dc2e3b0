// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayapi

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"runridge.example/runridge/state/pace"
)

func TestParseNotice(t *testing.T) {
	names := Default()
	cases := map[string]struct {
		status int
		header map[string]string
		want   pace.Notice
	}{
		"nothing":                {status: http.StatusOK},
		"leaving":                {status: http.StatusOK, header: map[string]string{names.Leaving: "1"}, want: pace.Notice{Leaving: true}},
		"not leaving":            {status: http.StatusOK, header: map[string]string{names.Leaving: "0"}},
		"rest":                   {status: http.StatusServiceUnavailable, header: map[string]string{"Retry-After": "1.5"}, want: pace.Notice{Rest: 1500 * time.Millisecond}},
		"a rest with status 200": {status: http.StatusOK, header: map[string]string{"Retry-After": "3"}},
		"a date":                 {status: http.StatusServiceUnavailable, header: map[string]string{"Retry-After": "Thu, 03 Dec 2026 10:00:00 GMT"}},
		"a negative rest":        {status: http.StatusServiceUnavailable, header: map[string]string{"Retry-After": "-1"}},
		"not a number":           {status: http.StatusServiceUnavailable, header: map[string]string{"Retry-After": "NaN"}},
		"longer than a day":      {status: http.StatusServiceUnavailable, header: map[string]string{"Retry-After": "1e300"}, want: pace.Notice{Rest: 24 * time.Hour}},
		"a limit, and leaving":   {status: http.StatusOK, header: map[string]string{names.Limit: "2", names.Leaving: " 1 "}, want: pace.Notice{Limit: pace.LimitOf(2), Leaving: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := names.ParseNotice(c.status, func(field string) string { return c.header[field] }); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestSharedParts(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string
	}{
		"all but the last":  {"5c1e07a2:800,91BD3F06:410,e4402b7d:250", []string{"5c1e07a2", "91bd3f06"}},
		"one part":          {"5c1e07a2:800", nil},
		"none":              {"", nil},
		"an invalid one":    {"5c1e07a2:800,:3,nothing,e4402b7d:250,ab:1", []string{"5c1e07a2", "e4402b7d"}},
		"one that is long":  {strings.Repeat("a", 65) + ":1,b:2,c:3", []string{"b"}},
		"more than counted": {strings.Repeat("a:1,", 40) + "b:1", slices.Repeat([]string{"a"}, 16)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := ParseSharedParts(c.text); !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
