// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"reflect"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// decodeLoose reads a value whose structs have their fields by position. Fields beyond those
// of this build are passed over, and those that the sender does not have stay empty: a build
// with one field more or less is read, which the library refuses. Structs by name are the
// library's own.
func decodeLoose(d *msgpack.Decoder, v reflect.Value) error {
	switch {
	case v.Kind() == reflect.Struct && !decodesItself(v.Type()):
		return decodeStruct(d, v)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		return decodeSlice(d, v)
	default:
		return d.DecodeValue(v)
	}
}

// decodesItself says whether a type has a form of its own on the wire.
func decodesItself(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[msgpack.CustomDecoder]()) ||
		reflect.PointerTo(t).Implements(reflect.TypeFor[msgpack.Unmarshaler]())
}

func decodeStruct(d *msgpack.Decoder, v reflect.Value) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if !isArray(code) {
		return d.DecodeValue(v)
	}
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	fields := fieldsOf(v.Type())
	for i := range n {
		if i >= len(fields) {
			err = d.Skip()
		} else {
			err = decodeLoose(d, v.FieldByIndex(fields[i]))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func isArray(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

// firstItems is for how many items of a list room is made before they have come.
const firstItems = 64

// decodeSlice reads a list of structs. Room is made as they come.
func decodeSlice(d *msgpack.Decoder, v reflect.Value) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n < 0 {
		return err
	}
	v.Set(reflect.MakeSlice(v.Type(), 0, min(n, firstItems)))
	for i := range n {
		v.Grow(1)
		v.SetLen(i + 1)
		if err := decodeLoose(d, v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

// positions are the fields of each struct type in the order that the library writes them in.
var positions sync.Map

func fieldsOf(t reflect.Type) [][]int {
	if known, ok := positions.Load(t); ok {
		return known.([][]int)
	}
	var out [][]int
	for i := range t.NumField() {
		f := t.Field(i)
		switch {
		case f.Anonymous:
			// Those of an embedded struct stand in its place.
			for _, inner := range fieldsOf(f.Type) {
				out = append(out, append([]int{i}, inner...))
			}
		case f.IsExported():
			out = append(out, []int{i})
		}
	}
	positions.Store(t, out)
	return out
}
