// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package account_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/state/account"
	"runridge.example/runridge/state/table"
)

func digest(key string) string { return account.DigestOf([]byte(key)).Hex() }

func TestFind(t *testing.T) {
	tables := map[string]struct {
		accounts []table.Account
		key      string
		want     string
		any      bool
	}{
		"no accounts":         {},
		"one of several keys": {[]table.Account{{Name: "a", KeysSHA256: []string{digest("k1"), digest("k2")}}}, "k2", "a", true},
		"a key of b":          {[]table.Account{{Name: "a", KeysSHA256: []string{digest("k1")}}, {Name: "b", KeysSHA256: []string{digest("k2")}}}, "k2", "b", true},
		"an unknown key":      {[]table.Account{{Name: "a", KeysSHA256: []string{digest("k1")}}}, "k3", "", true},
		"the empty key":       {[]table.Account{{Name: "a"}}, "", "", true},
		"the digest as a key": {[]table.Account{{Name: "a", KeysSHA256: []string{digest("k1")}}}, digest("k1"), "", true},
		"an invalid digest":   {[]table.Account{{Name: "a", KeysSHA256: []string{"k1"}}}, "k1", "", true},
	}
	for name, c := range tables {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				x := account.NewIndex(table.Table{Accounts: c.accounts})
				convey.So(x.Any(), convey.ShouldEqual, c.any)
				got, found := x.Find(account.DigestOf([]byte(c.key)))
				convey.So(found, convey.ShouldEqual, c.want != "")
				if found {
					convey.So(got.Name, convey.ShouldEqual, c.want)
				}
			})
		})
	}
}

// manyAccounts returns a table with the number of accounts expected in two years, with four
// keys each, and the digest of one key.
func manyAccounts() (table.Table, account.Digest) {
	var t table.Table
	for i := range 1400 {
		a := table.Account{Name: fmt.Sprintf("account-%d", i), Weight: 1}
		for k := range 4 {
			a.KeysSHA256 = append(a.KeysSHA256, digest(fmt.Sprintf("%d-%d", i, k)))
		}
		t.Accounts = append(t.Accounts, a)
	}
	return t, account.DigestOf([]byte("700-2"))
}

// TestFindDoesNotAllocate checks that finding an account does not allocate, as the budget of
// the request path assumes.
func TestFindDoesNotAllocate(t *testing.T) {
	convey.Convey("Finding an account does not allocate", t, func() {
		tab, key := manyAccounts()
		x := account.NewIndex(tab)
		convey.So(testing.AllocsPerRun(100, func() { _, _ = x.Find(key) }), convey.ShouldEqual, 0)
	})
}

// BenchmarkFind measures Find. Searching a list of 1,400 accounts by comparing hexadecimal
// digests, as the product's own interface does for one account by name, took about 1,400
// comparisons; the index takes one.
func BenchmarkFind(b *testing.B) {
	tab, key := manyAccounts()
	x := account.NewIndex(tab)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := x.Find(key); !ok {
			b.Fatal("not found")
		}
	}
}
