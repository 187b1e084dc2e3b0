// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"runridge.example/runridge/state/table"
)

// manyRoutes returns a change that adds n routes.
func manyRoutes(n int) table.Delta {
	t := table.Table{Generation: 2}
	for i := range n {
		t.Routes = append(t.Routes, table.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("h%d.example", i%50), Prefix: fmt.Sprintf("/p%d/", i),
			Targets: []table.RouteTarget{{Service: "service", Weight: 1000}}, Repeat: table.RepeatStream,
			TimeoutMS: 14000, TargetMS: 900, GapMS: 300, MaxAttempts: 2, Priority: 1,
		})
	}
	return table.WholeDelta(t)
}

func TestDeltaBetweenBoxes(t *testing.T) {
	d := manyRoutes(1400)
	data, err := packDelta(d)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	if len(data)*8 > len(plain) {
		t.Errorf("packed %d bytes of %d, want at most an eighth", len(data), len(plain))
	}
	got, err := unpackDelta(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, d) {
		t.Error("the decoded change differs from the original")
	}
}

func TestBadDeltas(t *testing.T) {
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	for range maxDelta/1024 + 1 {
		if _, err := w.Write(make([]byte, 1024)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	whole, err := packDelta(manyRoutes(3))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		data []byte
		want error
	}{
		"over the limit": {data: bomb.Bytes(), want: errDeltaTooLong},
		"not compressed": {data: []byte("{}")},
		"truncated":      {data: whole[:len(whole)/2]},
		"empty":          {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := unpackDelta(c.data)
			if err == nil || c.want != nil && !errors.Is(err, c.want) {
				t.Errorf("error: %v", err)
			}
		})
	}
}
