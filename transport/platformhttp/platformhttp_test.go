// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformhttp

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/adapter"
)

// observed counts the entries that could not be read, by name.
type observed map[string]int

func (o observed) ObjectRead(_, name string, err error) {
	if err != nil {
		o[name]++
	}
}

// Guards against an error, and so a log line, that holds all that the platform sent.
func TestErrorHoldsWhatThePlatformSent(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"a long body": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write(bytes.Repeat([]byte("x"), adapter.MaxAnswerHead))
		},
		"a long field": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("x", 2*adapter.MaxAnswerHead))
		},
	}
	for name, handle := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handle)
			defer server.Close()
			client := New(strings.TrimPrefix(server.URL, "http://"))
			defer client.Close()
			_, err := client.Boxes(t.Context())
			if err == nil || len(err.Error()) > 1000 {
				t.Errorf("error %.100v", err)
			}
		})
	}
}

// Guards against one unreadable entry that hides all boxes.
func TestUnreadableBoxHidesOthers(t *testing.T) {
	const sound = `{"name":"box-1","address":"10.0.0.1:80","zone":"z"}`
	cases := map[string]struct{ text, name string }{
		"not an object":       {text: `7`},
		"null":                {text: `null`},
		"no name":             {text: `{"address":"10.0.0.2:80","zone":"z"}`},
		"address of a kind":   {text: `{"name":"b","address":7,"zone":"z"}`, name: "b"},
		"address with a name": {text: `{"name":"b","address":"host:80","zone":"z"}`, name: "b"},
		"leaving a text":      {text: `{"name":"b","address":"10.0.0.2:80","leaving":"yes"}`, name: "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The other boxes are listed", t, func() {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write([]byte(`{"boxes":[` + c.text + `,` + sound + `]}`))
				}))
				defer server.Close()
				client, o := New(strings.TrimPrefix(server.URL, "http://")), observed{}
				defer client.Close()
				client.Observe(o)
				boxes, err := client.Boxes(t.Context())
				convey.So(err, convey.ShouldBeNil)
				convey.So(boxes, convey.ShouldHaveLength, 1)
				convey.So(boxes[0].Name, convey.ShouldEqual, "box-1")
				convey.So(o, convey.ShouldResemble, observed{c.name: 1})
			})
		})
	}
}
