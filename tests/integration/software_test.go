// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/state/example"
)

func TestCompletionMixesSoftwareVersions(t *testing.T) {
	const (
		requests  = 24
		cutTokens = 3
	)
	// Every other engine runs the second version.
	software := func(engine string) string {
		if strings.HasSuffix(engine, "1") || strings.HasSuffix(engine, "3") {
			return "v1"
		}
		return "v2"
	}
	cases := map[string]bool{"the table names the versions": true, "only the engines do": false}
	for name, inTable := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A completion that is cut in its middle goes on at an engine of the version that began it", t, func() {
				table, _ := example.Table(example.Bogota)
				for i := range table.Endpoints {
					if inTable {
						table.Endpoints[i].Software = software(table.Endpoints[i].Name)
					}
				}
				f, err := fleet.Start(t.Context(), fleet.Config{Table: table, Boxes: 2, Log: log.Discard(), Software: software})
				convey.So(err, convey.ShouldBeNil)
				defer f.Stop()
				for _, e := range f.Engines {
					e.CutAnswers(cutTokens)
				}
				account := map[string]string{callerapi.HeaderAccount: "mesa-norte"}
				wentOn := 0
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				for i := range requests {
					body := fmt.Sprintf(`{"model":"lm-porta","prompt":"request %d","max_tokens":16,"stream":true}`, i)
					url := "http://" + f.Boxes[i%2].Box.CallerAddr() + callerapi.PathCompletions
					_, _, text := call(ctx, t, http.MethodPost, url, account, strings.NewReader(body))
					first, second := strings.Count(text, "@v1"), strings.Count(text, "@v2")
					convey.So(min(first, second), convey.ShouldEqual, 0)
					if first+second > cutTokens {
						wentOn++
					}
				}
				convey.So(wentOn, convey.ShouldBeGreaterThan, requests/2)
			})
		})
	}
}
