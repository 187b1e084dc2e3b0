// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// Guards against a log that is filled by what a peer sent.
func TestLineHoldsWhatAPeerSent(t *testing.T) {
	const maxLine = 3 << 10
	long := strings.Repeat("x", 1<<20)
	cases := map[string]Fields{
		"an error": {"error": errors.New(long)},
		"a text":   {"host": long},
	}
	for name, fields := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			l, err := New(Config{Output: &out})
			if err != nil {
				t.Fatal(err)
			}
			l.WithFields(fields).Info("event")
			if out.Len() > maxLine || !strings.Contains(out.String(), "xxx...") {
				t.Errorf("the line has %d bytes", out.Len())
			}
			if got, ok := fields["host"].(string); ok && got != long {
				t.Error("the fields of the caller were changed")
			}
		})
	}
}
