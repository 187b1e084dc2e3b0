#!/usr/bin/env bash
# Copyright 2026 The Runridge Authors. All rights reserved.
# SPDX-License-Identifier: MIT
#
# Checks the models exhaustively (check.sh), or checks that each deliberate
# fault violates an assertion (check.sh mutants). Prints one line per run and
# fails if a result differs from the expected one.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# run MODEL FLAGS... prints "ok states=N", "violated", "incomplete" (the search
# did not finish) or "broken" (the model did not compile).
run() {
	local model=$1
	shift
	local dir
	dir=$(mktemp -d "$work/XXXXXX")
	cp "$model.pml" "$dir/"
	(
		cd "$dir"
		spin -a "$@" "$model.pml" >spin.out 2>&1 || { cat spin.out >&2; exit 3; }
		cc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c
		timeout 300 ./pan -m200000 >pan.out 2>&1 || true
	) || { echo broken; return; }
	if grep -q '^pan:1:' "$dir/pan.out"; then
		echo violated
	elif grep -q 'errors: 0' "$dir/pan.out" && ! grep -qi 'out of memory\|search depth too small\|max search' "$dir/pan.out"; then
		echo "ok states=$(grep -o '[0-9.e+]* states, stored' "$dir/pan.out" | cut -d' ' -f1)"
	else
		cat "$dir/pan.out" >&2
		echo incomplete
	fi
}

failed=0
# expect RESULT NAME MODEL FLAGS... runs a model and compares the result.
expect() {
	local want=$1 name=$2
	shift 2
	local got
	got=$(run "$@")
	echo "model name=$name flags=\"${*:2}\" result=$got"
	[[ $got == $want* ]] || failed=1
}

if [[ ${1:-} == mutants ]]; then
	for fault in NO_ATTEMPT_ID NO_TOMBSTONE SILENCE_IS_PROOF FORGET_RAN NO_RELEASE_RETRY; do
		expect violated attempt attempt -D$fault
	done
	expect violated attempt attempt -DONCE=1 -DNO_ONCE_GUARD
	for fault in ONE_COPY NO_RANK_CHECK FORGET_CONFIRMED COPY_NOT_SURE NO_COVER_CHECK; do
		expect violated repeat repeat -DDEATHS=2 -D$fault
	done
	for fault in NO_GENERATION_CHECK NO_VERSION_CHECK NO_READ_BACK NO_GATE; do
		expect violated config config -D$fault
	done
	for fault in NO_WAIT NO_TERM NO_SEND_WINDOW; do
		expect violated lease lease -D$fault
	done
	expect violated lease lease -DPAUSE_BEFORE_SEND -DHORIZON=9 -DNO_FENCE_CHECK
	for fault in FULL_START NO_PART NO_FINDING_OUT WHOLE_STAND_IN; do
		expect violated quota quota -D$fault
	done
else
	expect ok attempt attempt
	expect ok attempt attempt -DONCE=1
	expect ok repeat repeat -DDEATHS=1
	expect ok repeat repeat -DDEATHS=2
	expect ok config config
	expect ok lease lease
	expect ok lease lease -DPAUSE_BEFORE_SEND -DHORIZON=9
	expect ok quota quota
fi
exit $failed
