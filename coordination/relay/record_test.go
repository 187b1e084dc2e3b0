// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/table"
)

// knownTables is a fixed answer to how recent the table in force is.
type knownTables struct{ newest table.Stamp }

func (k knownTables) Current() bool            { return true }
func (k knownTables) Age() time.Duration       { return 1500 * time.Millisecond }
func (k knownTables) NewestNamed() table.Stamp { return k.newest }

// refusals keeps the last refusal.
type refusals struct {
	Caller
	last Refusal
}

func (r *refusals) Refuse(last Refusal) { r.last = last }

func TestRequestEndedLacksTheTableThatHandledIt(t *testing.T) {
	cases := map[string]struct {
		newest table.Stamp
		want   []string
		not    string
	}{
		"the newest known table": {
			newest: table.Stamp{Version: 9, Generation: 4},
			want:   []string{"generation=4", "version=9", "reason=no_route", "host=h"},
			not:    "newest_version",
		},
		"an older one": {
			newest: table.Stamp{Version: 12, Generation: 7},
			want:   []string{"generation=4", "version=9", "newest_generation=7", "newest_version=12", "table_age_ms=1500"},
			not:    "service=s",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			logger, err := log.New(log.Config{Output: &out})
			if err != nil {
				t.Fatal(err)
			}
			r := New(Config{
				Tables: knownTables{c.newest}, Log: logger,
				NextID: func() lifecycle.RequestID { return lifecycle.RequestID{Box: "box"} },
			})
			r.SetTable(table.Table{Version: 9, Generation: 4})
			caller := &refusals{}
			r.Serve(context.Background(), Request{ID: "1", Host: "h", Path: "/a/x", Arrived: time.Now()}, caller)
			if caller.last.Status != http.StatusNotFound {
				t.Errorf("status %d, want %d", caller.last.Status, http.StatusNotFound)
			}
			for _, field := range c.want {
				if !strings.Contains(out.String(), field) {
					t.Errorf("%q is missing in %s", field, out.String())
				}
			}
			if strings.Contains(out.String(), c.not) {
				t.Errorf("%q is in %s", c.not, out.String())
			}
		})
	}
}
