// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package poison detects poison requests: requests that end every endpoint that runs them, and
// that are retried under new IDs. It does no I/O: times are arguments, and its values are
// immutable.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintSize is the length of a fingerprint in bytes. With 128 bits, no two requests of a
// day collide, by chance or on purpose.
const fingerprintSize = 16

// Fingerprint identifies requests that ask the same of the endpoints. It is a digest: neither
// the body nor a key can be recovered from it.
type Fingerprint [fingerprintSize]byte

// Request holds what identifies a request: everything that a caller repeats when it retries.
// Its ID, its deadline and the event that it resumes from are not part of it.
type Request struct {
	Method, Host, Target string
	// Account is the client account; empty if there is none.
	Account string
	Body    []byte
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r Request) Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Host), []byte(r.Target), []byte(r.Account), r.Body} {
		// The length prefix keeps bytes from moving between adjacent parts without changing the
		// digest.
		hash.Write(binary.AppendUvarint(nil, uint64(len(part))))
		hash.Write(part)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintSize])
}

// String returns the fingerprint in hexadecimal, as logs show it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
