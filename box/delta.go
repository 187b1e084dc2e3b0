// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"runridge.example/runridge/state/table"
)

// maxDelta bounds a change of the table after decompression, in bytes: about sixty times
// the whole table of 700 endpoints.
const maxDelta = 16 << 20

// errDeltaTooLong is returned for a change that decompresses to more than maxDelta.
var errDeltaTooLong = errors.New("change of the table is too long")

// packDelta encodes a change for other boxes: JSON, compressed to about a tenth, since many
// routes that change at once would congest a narrow link.
func packDelta(d table.Delta) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// unpackDelta decodes what packDelta encoded.
func unpackDelta(data []byte) (table.Delta, error) {
	var d table.Delta
	r := flate.NewReader(bytes.NewReader(data))
	text, err := io.ReadAll(io.LimitReader(r, maxDelta+1))
	if err != nil {
		return d, fmt.Errorf("change of the table: %w", err)
	}
	if len(text) > maxDelta {
		return d, errDeltaTooLong
	}
	err = json.Unmarshal(text, &d)
	return d, err
}
