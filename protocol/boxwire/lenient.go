// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"reflect"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// decodeLenient decodes a value whose structs are encoded as arrays of fields by position. It
// skips fields beyond those of this build and leaves those that the sender lacks empty, so that
// builds with more or fewer fields can be read; the library refuses an array of another length.
// Structs that are encoded as maps by field name are left to the library.
func decodeLenient(d *msgpack.Decoder, v reflect.Value) error {
	switch {
	case v.Kind() == reflect.Struct && !hasCustomDecoding(v.Type()):
		return decodeStruct(d, v)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		return decodeSlice(d, v)
	default:
		return d.DecodeValue(v)
	}
}

// hasCustomDecoding reports whether a type implements its own decoding.
func hasCustomDecoding(t reflect.Type) bool {
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
			err = decodeLenient(d, v.FieldByIndex(fields[i]))
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

// initialCapacity bounds how many items of a list are allocated before they have been read.
const initialCapacity = 64

// decodeSlice decodes a list of structs and grows the slice as items are read.
func decodeSlice(d *msgpack.Decoder, v reflect.Value) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n < 0 {
		return err
	}
	v.Set(reflect.MakeSlice(v.Type(), 0, min(n, initialCapacity)))
	for i := range n {
		v.Grow(1)
		v.SetLen(i + 1)
		if err := decodeLenient(d, v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

// fieldIndexes caches the result of fieldsOf by struct type.
var fieldIndexes sync.Map

// fieldsOf returns the indexes of the encoded fields of a struct type, in the order in which the
// library writes them.
func fieldsOf(t reflect.Type) [][]int {
	if known, ok := fieldIndexes.Load(t); ok {
		return known.([][]int)
	}
	var out [][]int
	for i := range t.NumField() {
		f := t.Field(i)
		switch {
		case f.Anonymous:
			// The library writes the fields of an embedded struct in its place.
			for _, inner := range fieldsOf(f.Type) {
				out = append(out, append([]int{i}, inner...))
			}
		case f.IsExported():
			out = append(out, []int{i})
		}
	}
	fieldIndexes.Store(t, out)
	return out
}
