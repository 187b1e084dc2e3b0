#!/usr/bin/env bash
# Copyright 2026 The Runridge Authors. All rights reserved.
# SPDX-License-Identifier: MIT
#
# Runs each day file (*.toml) of this folder on the users' bench, once per site,
# and prints one line per run. BENCH is the bench program, SITES lists the site
# files, and JOBS is the number of parallel runs (2 if unset).
set -euo pipefail
: "${BENCH:?the bench program}" "${SITES:?one or more site files}"
days=$(cd "$(dirname "$0")" && pwd)
out=$(mktemp -d)
for site in $SITES; do
	for day in "$days"/*.toml; do
		echo "$site $day $out"
	done
done | xargs -P "${JOBS:-2}" -L 1 bash -c '
	name=$(basename "$1" .toml)-$(basename "$0" .toml)
	"$BENCH" run "$0" "$1" --why "own day $name" >"$2/$name" 2>&1 || true
	echo "$(basename "$0" .toml) $(grep -E "^$(basename "$1" .toml) " "$2/$name" || echo "$(basename "$1" .toml): not played, see $2/$name")"
'
