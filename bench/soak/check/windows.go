// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

import (
	"slices"
	"time"

	"runridge.example/runridge/platform/standin"
)

// checkQuotas checks the use of each account, summed over all boxes, in every window.
func (v *verifier) checkQuotas() {
	quotas := make(map[string][]Quota)
	for _, q := range v.Quotas {
		quotas[q.Account] = append(quotas[q.Account], q)
	}
	used := make(map[string][]time.Time)
	counted := make(map[string]bool)
	for _, a := range v.Observed.Arrivals {
		if len(quotas[a.Account]) == 0 || a.Fate != standin.Ran || counted[a.ID] {
			continue
		}
		counted[a.ID] = true
		used[a.Account] = append(used[a.Account], a.At)
	}
	for account, times := range used {
		forEachWindow(times, v.bounds.QuotaWindow, func(at time.Time, count int) {
			q := v.highestQuota(quotas[account], at.Add(-v.bounds.QuotaWindow), at)
			limit := (q.Rate*v.bounds.QuotaWindow.Seconds()+q.Burst)*(1+v.bounds.QuotaOverage) + v.bounds.QuotaSlack
			v.report.Count("quota", float64(count) <= limit, "%s used %d of %.0f in the window up to %s", account, count, limit, at.Format(TimeFormat))
		})
	}
}

// highestQuota returns the highest quota that may still apply between two times. A lowered
// quota is enforced only in windows that begin after every reachable box could know it.
func (v *verifier) highestQuota(quotas []Quota, from, to time.Time) Quota {
	from = from.Add(-v.bounds.KeyWithdrawn)
	for _, f := range v.Faults {
		if f.To.After(from) && f.From.Before(to) {
			from = minTime(from, f.From.Add(-v.bounds.KeyWithdrawn))
		}
	}
	var out Quota
	for i, q := range quotas {
		superseded := i+1 < len(quotas) && quotas[i+1].From.Before(from)
		if !superseded && q.From.Before(to) && q.Rate > out.Rate {
			out = q
		}
	}
	return out
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// forEachWindow sorts times and calls each with the count in the window that ends at each of them.
func forEachWindow(times []time.Time, window time.Duration, each func(at time.Time, count int)) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		each(at, i-first+1)
	}
}

// checkRetries checks the number of repeated arrivals at each service, over all boxes,
// against the retry budget.
func (v *verifier) checkRetries() {
	type counts struct{ requests, repeated []time.Time }
	services := make(map[string]*counts)
	service := func(name string) *counts {
		if services[name] == nil {
			services[name] = &counts{}
		}
		return services[name]
	}
	serviceOf := make(map[string]string)
	for _, arrivals := range v.byID {
		prefills, runs := 0, 0
		for _, i := range arrivals {
			a := v.Observed.Arrivals[i]
			serviceOf[a.ID] = a.Service
			earlier := &runs
			if a.Step == standin.StepPrefill {
				earlier = &prefills
			}
			if *earlier++; *earlier > 1 {
				c := service(a.Service)
				c.repeated = append(c.repeated, a.At)
			}
		}
	}
	for _, a := range v.Answers {
		if name := serviceOf[a.ID]; name != "" {
			c := service(name)
			c.requests = append(c.requests, a.Begun)
		}
	}
	for name, c := range services {
		slices.SortFunc(c.requests, time.Time.Compare)
		forEachWindow(c.repeated, v.bounds.RetryWindow, func(at time.Time, count int) {
			limit := v.bounds.RetryRatio*float64(v.maxRequests(c.requests, at)) + v.bounds.RetrySlack
			v.report.Count("retry_budget", float64(count) <= limit, "%s got %d further arrivals of %.0f in the window up to %s",
				name, count, limit, at.Format(TimeFormat))
		})
	}
}

// maxRequests returns the highest number of requests in three windows: the one that ends at
// a time, the one before it, and the one halfway between them.
func (v *verifier) maxRequests(times []time.Time, at time.Time) int {
	limit := 0
	for back := time.Duration(0); back <= v.bounds.RetryWindow; back += v.bounds.RetryWindow / 2 {
		to := at.Add(-back)
		low, _ := slices.BinarySearchFunc(times, to.Add(-v.bounds.RetryWindow), time.Time.Compare)
		high, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
		limit = max(limit, high-low)
	}
	return limit
}

// checkColdPace checks the rate of arrivals at cold endpoints, over all boxes.
func (v *verifier) checkColdPace() {
	if v.bounds.ColdPace <= 0 {
		return
	}
	reached := make(map[string][]time.Time)
	for _, a := range v.Observed.Arrivals {
		if a.Cold > 0 && a.Fate != standin.Misdirected {
			reached[a.Endpoint] = append(reached[a.Endpoint], a.At)
		}
	}
	limit := v.bounds.ColdPace*v.bounds.ColdOverage + v.bounds.ColdSlack
	for endpoint, times := range reached {
		forEachWindow(times, time.Second, func(at time.Time, count int) {
			v.report.Count("cold_pace", float64(count) <= limit, "%s got %d of %.1f in the second up to %s while cold",
				endpoint, count, limit, at.Format(TimeFormat))
		})
	}
}
