// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

// Stamp identifies a state of the table and orders two of them by age.
type Stamp struct {
	Version, Generation uint64
}

// Stamp returns the table's stamp.
func (t Table) Stamp() Stamp { return Stamp{Version: t.Version, Generation: t.Generation} }

// NewerThan reports whether the table with this stamp is newer than another one. If both have an
// operator's version, the versions decide, since a store that was restored from an older copy
// may assign generations twice.
func (s Stamp) NewerThan(o Stamp) bool {
	if s.Version > 0 && o.Version > 0 && s.Version != o.Version {
		return s.Version > o.Version
	}
	return s.Generation > o.Generation
}

// Newer returns the newer of two stamps.
func (s Stamp) Newer(o Stamp) Stamp {
	if o.NewerThan(s) {
		return o
	}
	return s
}
