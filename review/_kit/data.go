// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	_ "embed"
	"encoding/json"

	"runridge.example/runridge/platform"
)

// configText is the operator's configuration: a plain service with a safe, an unsafe and a resumable
// streaming route. entryText is what all servers write of themselves alike.
var (
	//go:embed config.json
	configText []byte
	//go:embed entry.json
	entryText []byte
)

// names are the headers that clients and servers use.
var names = platform.Names()

// parse returns the fields of a JSON object.
func parse(text []byte) map[string]any {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		panic(err)
	}
	return fields
}
