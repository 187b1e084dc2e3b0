#!/usr/bin/env bash
# Copyright 2026 The Runridge Authors. All rights reserved.
# SPDX-License-Identifier: MIT
#
# Builds the stand-ins of the scripted cases of review/REPORT-2.md.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/kit ./review/_kit2
