#!/usr/bin/env bash
# Copyright 2026 The Runridge Authors. All rights reserved.
# SPDX-License-Identifier: MIT
#
# record.sh COMMIT...: records the frames that the builds of these commits write. Each of these
# builds also reads the frames that this build sends to builds whose greeting has no version, and
# frames with further fields.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
top="$(git -C "$here" rev-parse --show-toplevel)"
for commit in "$@"; do
	work="$(mktemp -d)"
	git clone -q "$top" "$work"
	git -C "$work" checkout -q "$commit"
	cp "$here/../golden_test.go" "$work/protocol/boxwire/"
	cp "$here/record_test.go.txt" "$work/protocol/boxwire/record_test.go"
	(
		cd "$work/protocol/boxwire"
		RECORD_TO="$here/frames/$commit.txt" go test -count=1 -run '^TestRecord$' .
		echo "$commit reads frames/unversioned.txt:"
		READ_FROM="$here/frames/unversioned.txt" go test -count=1 -v -run '^TestReads$' .
		echo "$commit reads frames/further-fields.txt, whatever it makes of the further fields:"
		ANY=1 READ_FROM="$here/frames/further-fields.txt" go test -count=1 -v -run '^TestReads$' .
	)
	rm -rf "$work"
done
