// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

// Stamp tells which of two tables is the newer one.
type Stamp struct {
	Version, Generation uint64
}

// Stamp is that of the table.
func (t Table) Stamp() Stamp { return Stamp{Version: t.Version, Generation: t.Generation} }

// After says whether a table is newer than another one: by the operator's own numbers, where
// both have one, since generations may be given out twice.
func (s Stamp) After(o Stamp) bool {
	if s.Version > 0 && o.Version > 0 && s.Version != o.Version {
		return s.Version > o.Version
	}
	return s.Generation > o.Generation
}

// Latest is the newer one of two stamps.
func (s Stamp) Latest(o Stamp) Stamp {
	if o.After(s) {
		return o
	}
	return s
}
