// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package version has the release name; the Makefile sets it at link time.
package version

// Version is the release name.
var Version = "0.1.0-dev"
