// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package layout checks rules on the structure of the sources that the linter has no rule for.
package layout

import (
	"bufio"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

const root = "../.."

// platformNames are names of the users' platform in lower case: headers, paths and fields.
// Only platform/, tests/ and the deploy files may contain them.
var platformNames = []string{
	"x-deadline-ms", "x-token-usage", "x-prefix-hash", "x-server-signature", "x-not-executed",
	"x-expect-instance", "x-expect-version", "x-kv-source", "x-kv-hold", "x-kv-backup", "x-pin-ms",
	"x-stage", "x-request-priority", "x-length-hint", "x-instance-id", "kv-fetch",
	"/-/", "kv_handle", "kv_hold_s", "token_kv_bytes", "kv_capacity_tokens", "path_prefix",
	"traffic_split", "target_latency_ms", "target_gap_ms", "cold_remaining_ms",
	"x-cold-ms", "cold_start_s", "cold_per_s", "evacuation", "x-tenant", "api_keys", "rate_per_s", "token_count", "fencing_token", "role_switch_s",
}

// forEachSource calls each with the slash-separated path of every Go file under root, except in
// directories that hold no sources.
func forEachSource(t *testing.T, each func(path string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := d.Name()
		if d.IsDir() && path != root && (strings.HasPrefix(name, ".") || name == "bin" || name == "target" || name == "out" || name == "journal") {
			return filepath.SkipDir
		}
		if !d.IsDir() && strings.HasSuffix(name, ".go") {
			each(filepath.ToSlash(path))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// stringLiterals returns the values of all string literals in a Go file.
func stringLiterals(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	ast.Inspect(file, func(n ast.Node) bool {
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
			text, err := strconv.Unquote(l.Value)
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, text)
		}
		return true
	})
	return out
}

// platformNamesIn returns the names of the platform that a text contains.
func platformNamesIn(text string) []string {
	var out []string
	lower := strings.ToLower(text)
	for _, name := range platformNames {
		if strings.Contains(lower, name) {
			out = append(out, name)
		}
	}
	return out
}

func TestPlatformNames(t *testing.T) {
	convey.Convey("The check itself finds a name", t, func() {
		convey.So(platformNamesIn("see X-Kv-Source"), convey.ShouldResemble, []string{"x-kv-source"})
	})
	convey.Convey("Only platform/ and tests/ contain the platform's names", t, func() {
		var found []string
		forEachSource(t, func(path string) {
			rel := strings.TrimPrefix(path, root+"/")
			if strings.HasPrefix(rel, "platform/") || strings.HasPrefix(rel, "tests/") {
				return
			}
			for _, text := range stringLiterals(t, path) {
				for _, name := range platformNamesIn(text) {
					found = append(found, rel+": "+name)
				}
			}
		})
		convey.So(found, convey.ShouldBeEmpty)
	})
}

// lines returns the number of lines in a file.
func lines(t *testing.T, path string) int {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	count := 0
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		count++
	}
	return count
}

func TestPlatformIsSmall(t *testing.T) {
	convey.Convey("platform/ has less than a tenth of the lines of the other product code, without tests and stand-ins", t, func() {
		platform, product := 0, 0
		forEachSource(t, func(path string) {
			rel := strings.TrimPrefix(path, root+"/")
			switch {
			case strings.HasSuffix(rel, "_test.go"), strings.HasPrefix(rel, "platform/standin/"):
			case strings.HasPrefix(rel, "tests/"), strings.HasPrefix(rel, "fakes/"), strings.HasPrefix(rel, "bench/"):
			case strings.HasPrefix(rel, "platform/"):
				platform += lines(t, path)
			default:
				product += lines(t, path)
			}
		})
		convey.So(platform, convey.ShouldBeGreaterThan, 0)
		convey.So(platform*10, convey.ShouldBeLessThan, product)
	})
}
