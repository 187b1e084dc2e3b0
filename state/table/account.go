// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import (
	"encoding/hex"
	"slices"
)

// Account is a client account: a sender of requests, its keys and its limits.
type Account struct {
	Name string `json:"name"`
	// KeysSHA256 holds the hex SHA-256 digests of the account's keys. The keys
	// themselves are not stored. Requests to routed services identify their account
	// only by a key; in the product's own interface an account without digests
	// needs no key.
	KeysSHA256 []string `json:"keys_sha256,omitempty"`
	// Weight is the account's share when requests are queued.
	Weight int `json:"weight"`
	// MaxInFlight is the maximum number of the account's requests in flight on one
	// home; 0 means no limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// Priority, if set, overrides that of the route; 0 is the most urgent.
	Priority *int `json:"priority,omitempty"`
	// AllowedRegions lists the only regions in which the account's requests may be
	// served and stored; empty means all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	// Quota limits the account's usage on all boxes together; nil means no limit.
	Quota *Quota `json:"quota,omitempty"`
}

// Quota limits the usage of one account on all boxes together: in any time window
// it is at most Rate times the window's length, plus Burst.
type Quota struct {
	// Unit is one of the Unit constants.
	Unit string `json:"unit"`
	// Rate is in units per second, Burst in units.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst,omitempty"`
	// PlainTokens is the cost, in UnitTokens, of a request that does not state its
	// tokens.
	PlainTokens float64 `json:"plain_tokens,omitempty"`
}

// The units of a quota.
const (
	// UnitRequests counts each request as one.
	UnitRequests = "requests"
	// UnitTokens counts the prompt's tokens plus the maximum number of generated tokens.
	UnitTokens = "tokens"
)

// Cost returns a request's cost in the quota's unit. prompt and output are the
// numbers of tokens that the caller states, both 0 if it states none.
func (q Quota) Cost(prompt, output int) float64 {
	if q.Unit != UnitTokens {
		return 1
	}
	if prompt+output == 0 {
		return q.PlainTokens
	}
	return float64(prompt + output)
}

// Account returns the account of a name, and false if there is none.
func (t Table) Account(name string) (Account, bool) {
	i := slices.IndexFunc(t.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return Account{}, false
	}
	return t.Accounts[i], true
}

// digestBytes is the length of a SHA-256 digest in bytes.
const digestBytes = 32

func (c *checker) checkAccounts() {
	c.checkUnique("account", namesOf(c.table.Accounts, func(a Account) string { return a.Name }))
	owners := make(map[string]string)
	for _, a := range c.table.Accounts {
		row := "account " + a.Name
		c.checkPositive(row, "weight", a.Weight)
		for _, digest := range a.KeysSHA256 {
			if sum, err := hex.DecodeString(digest); err != nil || len(sum) != digestBytes {
				// The value may be a key that was entered by mistake, so it is not shown.
				c.add(row, "keys_sha256", "(not shown)", "64 hex digits, the SHA-256 of a key")
				continue
			}
			if other, taken := owners[digest]; taken && other != a.Name {
				c.add(row, "keys_sha256", digest, "a key that account "+other+" does not have")
			}
			owners[digest] = a.Name
		}
		c.checkQuota(row, a.Quota)
	}
}

func (c *checker) checkQuota(row string, q *Quota) {
	if q == nil {
		return
	}
	if q.Unit != UnitRequests && q.Unit != UnitTokens {
		c.add(row, "quota.unit", q.Unit, UnitRequests+", "+UnitTokens)
	}
	if q.Rate <= 0 {
		c.add(row, "quota.rate", q.Rate, "above 0; no quota is no bound")
	}
	if q.Burst < 0 {
		c.add(row, "quota.burst", q.Burst, "0 or more")
	}
	if q.PlainTokens < 0 {
		c.add(row, "quota.plain_tokens", q.PlainTokens, "0 or more")
	}
}
