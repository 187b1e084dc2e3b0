// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	_ "embed"
	"encoding/json"

	"runridge.example/runridge/platform"
)

//go:embed wire.json
var wireFile []byte

// names are the names of the platform that the product knows too, wire holds the others and some templates.
var (
	names = platform.Names()
	wire  = parseWire()
)

type wireNames struct {
	InstanceHeader string         `json:"instance_header"`
	ColdField      string         `json:"cold_field"`
	OwnPath        string         `json:"own_path"`
	ObjectsPath    string         `json:"objects_path"`
	Kinds          []string       `json:"kinds"`
	PrefixField    string         `json:"prefix_field"`
	TargetField    string         `json:"target_field"`
	GapField       string         `json:"gap_field"`
	Engine         map[string]any `json:"engine"`
	Report         map[string]any `json:"report"`
}

func parseWire() wireNames {
	var w wireNames
	if err := json.Unmarshal(wireFile, &w); err != nil {
		panic(err)
	}
	return w
}

// encode returns a value as JSON.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
