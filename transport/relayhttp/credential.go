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
	// scheme is how callers show their keys (RFC 6750).
	scheme = "Bearer"
	// maxKey bounds a key, in bytes.
	maxKey = 512
)

// credentialOf reads what a caller shows for itself: one field with the scheme in
// any case, one blank and the key, which is of visible ASCII. Anything else is not
// valid.
func credentialOf(fields []relay.Field) relay.Credential {
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
