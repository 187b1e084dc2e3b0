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
	"slices"
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
	// Service is the service that is asked, and Parts the IDs of the parts of the prompt that
	// requests for it may share.
	Service string
	Parts   []string
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r Request) Fingerprint {
	return digest([]byte(r.Method), []byte(r.Host), []byte(r.Target), []byte(r.Account), r.Body)
}

// partTag begins the fingerprints of parts.
var partTag = [4]byte{'p', 'a', 'r', 't'}

// IsPart reports whether the fingerprint is that of a part of prompts and not of a whole request.
func (f Fingerprint) IsPart() bool { return [len(partTag)]byte(f[:len(partTag)]) == partTag }

// PartsOf returns the fingerprints of the parts of a request's prompt, each once. Requests for one
// service that have a part in common share its fingerprint.
func PartsOf(r Request) []Fingerprint {
	out := make([]Fingerprint, 0, len(r.Parts))
	for _, part := range r.Parts {
		f := digest([]byte(r.Service), []byte(part))
		copy(f[:], partTag[:])
		if !slices.Contains(out, f) {
			out = append(out, f)
		}
	}
	return out
}

// digest returns the fingerprint of a list of byte strings.
func digest(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		// The length prefix keeps bytes from moving between adjacent parts without changing the
		// digest.
		hash.Write(binary.AppendUvarint(nil, uint64(len(part))))
		hash.Write(part)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintSize])
}

// String returns the fingerprint in hexadecimal, as logs show it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
