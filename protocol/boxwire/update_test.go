// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"bufio"
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/table"
)

// sampleChanges returns changes with ids, addresses and zones like those of a real fleet.
func sampleChanges(count int) []directory.Change {
	random := rand.New(rand.NewPCG(1, 2))
	var out []directory.Change
	for i := range count {
		out = append(out, directory.Change{Entry: directory.Entry{
			ID:      fmt.Sprintf("i-%010x", random.Uint64()>>24),
			Service: []string{"support-assistant", "ledger"}[i%2],
			Address: fmt.Sprintf("10.%d.%d.%d:8542", i%6, i/6/250, i/6%250),
			Zone:    fmt.Sprintf("zone-%c", 'a'+rune(i%6)),
			Stage:   []string{"prefill", "decode"}[i%2],
			Slots:   16,
			ColdFor: time.Duration(i%3) * time.Second,
		}})
	}
	return out
}

func TestUpdateRoundTrip(t *testing.T) {
	cases := map[string]int{"no change": 0, "one": 1, "the most that is not compressed": minCompressedChanges - 1, "the least that is compressed": minCompressedChanges, "many": 500}
	for name, count := range cases {
		t.Run(name, func(t *testing.T) {
			want := directory.Update{Origin: "a", Sequence: 3, After: 5, At: 9, Changes: sampleChanges(count)}
			m, err := FromUpdate(want, table.Stamp{Generation: 7})
			if err != nil {
				t.Fatal(err)
			}
			frame, err := Append(nil, m, VersionCurrent)
			if err != nil {
				t.Fatal(err)
			}
			read, err := Read(bufio.NewReader(bytes.NewReader(frame)))
			if err != nil {
				t.Fatal(err)
			}
			got, err := read.(*Update).Open(0)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v (%v), want %+v", got, err, want)
			}
		})
	}
}

func TestUpdatePacked(t *testing.T) {
	n := directory.Update{Whole: true, At: 9, Changes: sampleChanges(3000)}
	plain, err := Append(nil, &Update{Update: n}, VersionCurrent)
	if err != nil {
		t.Fatal(err)
	}
	m, err := FromUpdate(n, table.Stamp{})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes uncompressed, %d compressed", len(plain), len(m.Packed))
	if len(m.Packed)*3 > len(plain) {
		t.Errorf("compressed to %d bytes of %d, want a third at most", len(m.Packed), len(plain))
	}
}

func TestUpdateThatUnpacksWrongly(t *testing.T) {
	cases := map[string][]byte{
		"not compressed":                     []byte("changes"),
		"a list that claims too many items":  deflated(t, []byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0x90}),
		"more bytes than an update may have": deflated(t, make([]byte, maxDecompressed+1)),
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := (&Update{Packed: data}).Open(0); !errors.Is(err, ErrFrame) {
				t.Errorf("error %v, want a bad frame", err)
			}
		})
	}
}

// deflated compresses bytes as the changes of an update are compressed.
func deflated(t *testing.T, data []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}
