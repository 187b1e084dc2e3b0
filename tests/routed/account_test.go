// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/state/table"
)

// API keys of the client accounts in these tests.
const (
	keyDesk   = "desk-key-5d1f9c2e"
	keyDesk2  = "desk-key-77aa01bb"
	keyBakery = "bakery-key-0b6e4f"
)

// accountEntry returns a client account as the operator writes it in the configuration.
func accountEntry(name string, more map[string]any, keys ...string) map[string]any {
	out := map[string]any{"name": name, "api_keys": keys, "unit": "token_count", "plain_tokens": 200}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// configurationWithAccounts returns the configuration with client accounts and a public route.
func configurationWithAccounts(version int, tenants ...map[string]any) map[string]any {
	c := configuration(version)
	c["tenants"] = tenants
	public := map[string]any{
		"name": "open", "host": host, "path_prefix": "/open/", "kind": "safe", "timeout_ms": 5000,
		"target_latency_ms": 2000, "priority": 1, "service": plainService, "max_attempts": 2, "public": true,
	}
	c["routes"] = append(c["routes"].([]any), public)
	return c
}

// twoAccounts returns the client accounts that most tests use.
func twoAccounts() []map[string]any {
	return []map[string]any{accountEntry("desk", nil, keyDesk, keyDesk2), accountEntry("bakery", nil, keyBakery)}
}

// configure writes a configuration to the store and waits until it is in force on all boxes.
func (s *site) configure(c map[string]any) {
	s.t.Helper()
	revision := s.store.Put("config", "main", c)
	for _, b := range s.boxes {
		s.eventually("the box has the configuration", func() bool { return b.Table().Generation >= revision })
		// Until then a box answers 503 instead of 401 to an unknown key, since a newer table may have it.
		s.eventually("the box knows that it is the newest", func() bool { return b.Status().TableAgeMS >= 0 })
	}
}

func bearer(key string) map[string]string { return map[string]string{"Authorization": "Bearer " + key} }

func TestKeys(t *testing.T) {
	cases := map[string]struct {
		path   string
		head   string
		status int
		// account is the account name that the endpoint receives.
		account string
	}{
		"a key":                          {"/safe/x", "Authorization: Bearer " + keyDesk, 200, "desk"},
		"another key of the account":     {"/safe/x", "Authorization: Bearer " + keyDesk2, 200, "desk"},
		"a key of another account":       {"/unsafe/x", "Authorization: Bearer " + keyBakery, 200, "bakery"},
		"the scheme in another case":     {"/safe/x", "authorization: bEARER " + keyDesk, 200, "desk"},
		"no key":                         {"/safe/x", "X-Other: 1", 401, ""},
		"a key that nobody has":          {"/safe/x", "Authorization: Bearer nobody", 401, ""},
		"another scheme":                 {"/safe/x", "Authorization: Basic " + keyDesk, 401, ""},
		"no scheme":                      {"/safe/x", "Authorization: " + keyDesk, 401, ""},
		"two blanks":                     {"/safe/x", "Authorization: Bearer  " + keyDesk, 401, ""},
		"a blank within":                 {"/safe/x", "Authorization: Bearer " + keyDesk + " x", 401, ""},
		"two of them":                    {"/safe/x", "Authorization: Bearer " + keyDesk + "\r\nAuthorization: Bearer " + keyDesk, 401, ""},
		"a long one":                     {"/safe/x", "Authorization: Bearer " + strings.Repeat("k", 600), 401, ""},
		"a forged account":               {"/safe/x", "Authorization: Bearer " + keyDesk + "\r\nX-Tenant: bakery", 200, "desk"},
		"an account that Connection has": {"/safe/x", "Authorization: Bearer " + keyDesk + "\r\nX-Tenant: bakery\r\nConnection: x-tenant", 200, "desk"},
		"a forged account without a key": {"/safe/x", "X-Tenant: bakery", 401, ""},
		"a public route":                 {"/open/x", "X-Other: 1", 200, ""},
		"a public route, forged account": {"/open/x", "X-Tenant: bakery", 200, ""},
		"a public route and a key":       {"/open/x", "Authorization: Bearer " + keyDesk, 200, "desk"},
		"a public route, unknown key":    {"/open/x", "Authorization: Bearer nobody", 200, ""},
	}
	convey.Convey("A request runs for the account that holds its key, and for no other", t, func() {
		s := newSite(t, 1, plainEndpoints()...)
		s.configure(configurationWithAccounts(2, twoAccounts()...))
		for name, c := range cases {
			id := fmt.Sprintf("key-%d", ids.Add(1))
			a := s.sendRaw(s.boxes[0], fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s\r\n\r\n", c.path, host, id, c.head))
			_, err := convey.Printf("\n%s", name)
			convey.So(err, convey.ShouldBeNil)
			convey.So(a.status, convey.ShouldEqual, c.status)
			if c.status == http.StatusUnauthorized {
				convey.So(a.header.Get("WWW-Authenticate"), convey.ShouldEqual, "Bearer")
				convey.So(s.runs(id), convey.ShouldEqual, 0)
				continue
			}
			head := s.runByID(id).Header
			convey.So(head.Get("X-Tenant"), convey.ShouldEqual, c.account)
			convey.So(head.Values("X-Tenant"), convey.ShouldHaveLength, min(len(c.account), 1))
		}
	})
}

// TestKeysStayInside sends requests on every path and searches for keys in what endpoints
// received and in what boxes logged and show to operators.
func TestKeysStayInside(t *testing.T) {
	convey.Convey("No key reaches an endpoint, a log, a table, a metric or an operator", t, func() {
		s := newSite(t, 2, append(plainEndpoints(), modelEndpoints()...)...)
		s.configure(configurationWithAccounts(2, twoAccounts()...))
		for _, b := range s.boxes {
			for _, path := range []string{"/safe/x", "/unsafe/x", "/open/x", "/stream/x", "/resumable/x"} {
				a := s.send(b, http.MethodPost, path, "prompt", bearer(keyDesk))
				convey.So(a.status, convey.ShouldEqual, http.StatusOK)
			}
			s.send(b, http.MethodGet, "/safe/x", "", bearer("a-secret-nobody-has"))
			s.send(b, http.MethodGet, "/safe/x", "", map[string]string{"Authorization": "Basic " + keyDesk})
		}
		// Covers the retry after a lost answer and the resumption of a cut stream.
		s.endpoints["p1"].Behave(standin.Lost)
		s.endpoints["dec1"].Behave(standin.Cut)
		for range 4 {
			s.send(s.boxes[0], http.MethodGet, "/safe/x", "", bearer(keyDesk))
			s.send(s.boxes[0], http.MethodPost, "/resumable/x", "prompt", bearer(keyDesk2))
		}
		s.configure(configurationWithAccounts(3, accountEntry("desk", nil, keyDesk2)))
		for _, e := range s.endpoints {
			for _, head := range e.Headers() {
				convey.So(head, convey.ShouldNotContainKey, "Authorization")
				convey.So(fmt.Sprint(head), convey.ShouldNotContainSubstring, "key-")
			}
		}
		for _, b := range s.boxes {
			for _, path := range []string{"/status", "/metrics"} {
				convey.So(s.fetch("http://"+b.OperatorAddr()+path), convey.ShouldNotContainSubstring, "-key-")
			}
			convey.So(fmt.Sprintf("%+v", b.Table()), convey.ShouldNotContainSubstring, "-key-")
		}
		for _, secret := range []string{keyDesk, keyDesk2, keyBakery, "a-secret-nobody-has"} {
			convey.So(s.logs.String(), convey.ShouldNotContainSubstring, secret)
		}
	})
}

// fetch returns the body of a page.
func (s *site) fetch(url string) string {
	s.t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(data)
}

func TestKeyTakenAway(t *testing.T) {
	convey.Convey("A key that was taken away or passed on counts as it stands, on kept connections too", t, func() {
		s := newSite(t, 2, plainEndpoints()...)
		s.configure(configurationWithAccounts(2, twoAccounts()...))
		b := s.boxes[1]
		client := &http.Client{Timeout: patience}
		get := func(key string) (int, string) {
			id := fmt.Sprintf("request-%d", ids.Add(1))
			req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+b.callerAddr+"/safe/x", nil)
			convey.So(err, convey.ShouldBeNil)
			req.Host = host
			req.Header.Set("X-Request-Id", id)
			req.Header.Set("Authorization", "Bearer "+key)
			resp, err := client.Do(req)
			convey.So(err, convey.ShouldBeNil)
			_, err = io.Copy(io.Discard, resp.Body)
			convey.So(err, convey.ShouldBeNil)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return resp.StatusCode, ""
			}
			return resp.StatusCode, s.runByID(id).Header.Get("X-Tenant")
		}
		status, account := get(keyDesk)
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(account, convey.ShouldEqual, "desk")
		s.configure(configurationWithAccounts(3, accountEntry("desk", nil, keyDesk2), accountEntry("bakery", nil, keyBakery, keyDesk)))
		status, account = get(keyDesk)
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(account, convey.ShouldEqual, "bakery")
		s.configure(configurationWithAccounts(4, accountEntry("desk", nil, keyDesk2), accountEntry("bakery", nil, keyBakery)))
		status, _ = get(keyDesk)
		convey.So(status, convey.ShouldEqual, http.StatusUnauthorized)
	})
	convey.Convey("A request whose key is taken away before its repeat is not sent again", t, func() {
		s := newSite(t, 1, plainEndpoints()[:2]...)
		s.configure(configurationWithAccounts(2, twoAccounts()...))
		for _, e := range s.endpoints {
			e.Behave(standin.Hanging)
		}
		done := make(chan answer, 1)
		go func() { done <- s.send(s.boxes[0], http.MethodGet, "/long/x", "", bearer(keyBakery)) }()
		s.eventually("the request runs", func() bool { return s.allRuns() == 1 })
		s.configure(configurationWithAccounts(3, accountEntry("desk", nil, keyDesk)))
		for _, e := range s.endpoints {
			if len(e.Runs()) > 0 {
				e.Close()
				continue
			}
			e.Behave(standin.Well)
		}
		a := <-done
		convey.So(a.status, convey.ShouldNotEqual, http.StatusOK)
		convey.So(a.status, convey.ShouldNotEqual, http.StatusServiceUnavailable)
		convey.So(s.allRuns(), convey.ShouldEqual, 1)
		convey.So(s.logs.String(), convey.ShouldContainSubstring, "key_withdrawn")
	})
}

func TestUnknownKeyOfABoxThatIsBehind(t *testing.T) {
	convey.Convey("A box that knows of a newer table than its own says that the key may be known later", t, func() {
		s := newSite(t, 1, plainEndpoints()...)
		s.configure(configurationWithAccounts(2, twoAccounts()...))
		b := s.boxes[0]
		a := s.send(b, http.MethodGet, "/safe/x", "", bearer("added-just-now"))
		convey.So(a.status, convey.ShouldEqual, http.StatusUnauthorized)
		b.ReceiveStamp("another", table.Stamp{Version: b.Table().Version + 1, Generation: b.Table().Generation + 1})
		a = s.send(b, http.MethodGet, "/safe/x", "", bearer("added-just-now"))
		convey.So(a.status, convey.ShouldEqual, http.StatusServiceUnavailable)
		convey.So(a.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
		convey.So(s.runs(a.id), convey.ShouldEqual, 0)
		a = s.send(b, http.MethodGet, "/safe/x", "", bearer(keyDesk))
		convey.So(a.status, convey.ShouldEqual, http.StatusOK)
	})
}

// TestQuotaOverBoxes spreads the requests of one account over all boxes.
func TestQuotaOverBoxes(t *testing.T) {
	convey.Convey("What all boxes send for an account stays within its quota, and is near it", t, func() {
		const rate, burst = 4000, 4000
		// Together the callers request ten times what the account may use per second.
		const callers, asksEach = 20, 10
		s := newSite(t, 3, plainEndpoints()...)
		s.configure(configurationWithAccounts(2, accountEntry("desk", map[string]any{"rate_per_s": rate, "burst": burst}, keyDesk), accountEntry("bakery", nil, keyBakery)))
		begin := time.Now()
		var senders errgroup.Group
		answers := make(chan answer, callers*asksEach)
		for i := range callers {
			senders.Go(func() error {
				for range asksEach {
					answers <- s.send(s.boxes[i%len(s.boxes)], http.MethodGet, "/safe/x", "", map[string]string{
						"Authorization": "Bearer " + keyDesk, "X-Token-Usage": "150,50",
					})
				}
				return nil
			})
		}
		convey.So(senders.Wait(), convey.ShouldBeNil)
		close(answers)
		over := answer{}
		for a := range answers {
			if a.status != http.StatusOK {
				convey.So(a.status, convey.ShouldEqual, http.StatusTooManyRequests)
				over = a
			}
		}
		seconds := time.Since(begin).Seconds()
		used := 200 * float64(s.allRuns())
		convey.So(used, convey.ShouldBeLessThanOrEqualTo, rate*seconds+burst)
		convey.So(over.status, convey.ShouldEqual, http.StatusTooManyRequests)
		convey.So(over.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
		convey.So(s.runs(over.id), convey.ShouldEqual, 0)
		a := s.send(s.boxes[0], http.MethodGet, "/safe/x", "", bearer(keyBakery))
		convey.So(a.status, convey.ShouldEqual, http.StatusOK)
	})
}
