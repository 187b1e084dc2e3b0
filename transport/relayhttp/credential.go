// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayhttp

import (
	"strings"

	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/state/account"
)

const (
	headerAuthorization = "Authorization"
	// scheme is the authentication scheme of callers' keys (RFC 6750).
	scheme = "Bearer"
	// maxKey is the largest accepted key, in bytes.
	maxKey = 512
)

// credentialOf parses a caller's Authorization fields. A credential is valid only if there
// is exactly one field that holds the scheme (in any case), one space and a key of visible
// ASCII characters.
func credentialOf(fields []relay.HeaderField) relay.Credential {
	c := relay.Credential{Opaque: fields}
	if len(fields) != 1 {
		return c
	}
	given, key, found := strings.Cut(fields[0].Value, " ")
	if !found || !strings.EqualFold(given, scheme) || !validKey(key) {
		return c
	}
	c.Valid, c.Key = true, account.DigestOf([]byte(key))
	return c
}

func validKey(key string) bool {
	if key == "" || len(key) > maxKey {
		return false
	}
	return strings.IndexFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
