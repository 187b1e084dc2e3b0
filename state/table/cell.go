// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"runridge.example/runridge/modules/invalid"
)

// Kinds lists the kinds of objects whose cells can be set.
func Kinds() []string {
	return []string{"zone", "service", "pool", "endpoint", "row", "link", "account"}
}

// WithCell returns the table with one cell changed. kind and key identify the
// object, cell is the field's JSON name (a row's weight is "weights." and the
// zone), and value is JSON or plain text. It returns a FieldError if the kind, the
// object or the field does not exist, or if the field does not accept the value.
func (t Table) WithCell(kind, key, cell, value string) (Table, error) {
	var err error
	switch kind {
	case "zone":
		t.Zones, err = setCell(t.Zones, kind, key, cell, value)
	case "service":
		t.Services, err = setCell(t.Services, kind, key, cell, value)
	case "pool":
		t.Pools, err = setCell(t.Pools, kind, key, cell, value)
	case "endpoint":
		t.Endpoints, err = setCell(t.Endpoints, kind, key, cell, value)
	case "row":
		t.Rows, err = setCell(t.Rows, kind, key, cell, value)
	case "link":
		t.Links, err = setCell(t.Links, kind, key, cell, value)
	case "account":
		t.Accounts, err = setCell(t.Accounts, kind, key, cell, value)
	default:
		err = invalid.FieldError{Field: "kind", Value: kind, Allowed: strings.Join(Kinds(), ", ")}
	}
	return t, err
}

// setCell returns a copy of a list in which one cell of the item with a key is changed.
func setCell[T listItem](items []T, kind, key, cell, value string) ([]T, error) {
	i := slices.IndexFunc(items, func(item T) bool { return item.key() == key })
	if i < 0 {
		keys := namesOf(items, func(item T) string { return item.key() })
		return items, invalid.FieldError{Field: kind, Value: key, Allowed: (&checker{}).nearest(key, keys)}
	}
	changed, err := withField(items[i], kind+" "+key, cell, value)
	if err != nil {
		return items, err
	}
	items = slices.Clone(items)
	items[i] = changed
	return items, nil
}

// withField returns a copy of an object with one field changed through its JSON.
func withField[T any](item T, name, cell, value string) (T, error) {
	data, err := json.Marshal(map[string]json.RawMessage{})
	if err != nil {
		return item, err
	}
	raw := json.RawMessage(value)
	if !json.Valid(raw) {
		if raw, err = json.Marshal(value); err != nil {
			return item, err
		}
	}
	field, inner, nested := strings.Cut(cell, ".")
	if nested {
		raw, err = json.Marshal(map[string]json.RawMessage{inner: raw})
	}
	if err == nil {
		data, err = json.Marshal(map[string]json.RawMessage{field: raw})
	}
	if err != nil {
		return item, err
	}
	// A copy through JSON does not share maps with the old object.
	whole, err := json.Marshal(item)
	if err != nil {
		return item, err
	}
	var out T
	if err := json.Unmarshal(whole, &out); err != nil {
		return item, err
	}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&out); err != nil {
		return item, invalid.FieldError{Field: name + ": " + cell, Value: value, Allowed: fmt.Sprintf("what the field takes: %v", err)}
	}
	return out, nil
}
