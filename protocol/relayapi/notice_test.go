// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayapi

import (
	"net/http"
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
