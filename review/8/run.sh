#!/usr/bin/env bash
# Copyright 2026 The Runridge Authors. All rights reserved.
# SPDX-License-Identifier: MIT
#
# Plays the case resumed, see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/runridge-router ] && [ -x target/review-2/kit ] || exit 2
exec target/review-2/kit resumed review/8
