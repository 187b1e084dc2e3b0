// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting_test

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/modules/setting"
)

// keysOf lists the JSON keys of a settings type; nested keys have their path.
func keysOf(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, keysOf(f.Type, prefix+key+".")...)
			continue
		}
		out = append(out, prefix+key)
	}
	return out
}

// has reports whether a value decoded from JSON has the key at a path.
func has(v any, path string) bool {
	key, rest, more := strings.Cut(path, ".")
	object, ok := v.(map[string]any)
	if !ok {
		return false
	}
	child, there := object[key]
	return there && (!more || has(child, rest))
}

func TestExampleHasEveryKey(t *testing.T) {
	convey.Convey("The example is valid, and both it and the settings page have every key", t, func() {
		example, err := os.ReadFile("../../settings.example.json")
		convey.So(err, convey.ShouldBeNil)
		_, err = setting.Parse(example)
		convey.So(err, convey.ShouldBeNil)
		page, err := os.ReadFile("../../docs/SETTINGS.md")
		convey.So(err, convey.ShouldBeNil)
		var v any
		convey.So(json.Unmarshal(example, &v), convey.ShouldBeNil)
		for _, key := range keysOf(reflect.TypeFor[setting.Box](), "") {
			convey.So(has(v, key), convey.ShouldBeTrue)
			convey.So(string(page), convey.ShouldContainSubstring, "`"+key+"`")
		}
	})
}
