// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platformapi defines the platform's object API over HTTP: objects with
// versions, conditional updates and watches, and the list of boxes, which lags.
package platformapi

import "encoding/json"

// Paths and query parameters.
const (
	PathObjects = "/objects/"
	PathBoxes   = "/boxes"
	// QueryVersion makes a write conditional on the version last read; 0
	// means that the object must not exist yet.
	QueryVersion = "if_version"
	// QueryAfter makes a read wait until the version is higher than the given one.
	QueryAfter = "after"
	// QueryWaitMS is the longest time that such a read waits, in milliseconds.
	QueryWaitMS = "wait_ms"
)

// MaxValue is the largest value of an object, in bytes.
const MaxValue = 1 << 20

// Object is a value with its version. Version 0 means that the object does not exist.
type Object struct {
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Boxes is the platform's list of boxes, which lags behind the actual ones.
type Boxes struct {
	Boxes []Box `json:"boxes"`
}

// Box is an entry box on the list.
type Box struct {
	Name string `json:"name"`
	// Address is the IP address and port at which other boxes reach it.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Error is the body of an answer that is not 200.
type Error struct {
	Error string `json:"error"`
}
