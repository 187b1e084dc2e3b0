// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import "sync"

// maxOrders bounds the number of cached orders: those for the updates of 300 boxes and for 640
// groups fit. Orders of 300 boxes take 4.8 KB each, 5 MB in all. The bound is needed because
// keys that come from callers, or that change with the generations of the table, are unlimited.
const maxOrders = 1024

// Orders caches orders of boxes by key: an order of 300 boxes takes 30 us to compute, and some
// are needed for each request. When the cache is full, it is emptied. The zero value is ready
// for use, by several goroutines.
type Orders struct {
	mutex  sync.RWMutex
	cached map[string][]string
}

// Of returns the order for a key from the cache, or computes and caches it.
func (o *Orders) Of(key string, compute func() []string) []string {
	o.mutex.RLock()
	order, found := o.cached[key]
	o.mutex.RUnlock()
	if found {
		return order
	}
	order = compute()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.cached == nil || len(o.cached) >= maxOrders {
		o.cached = make(map[string][]string)
	}
	o.cached[key] = order
	return order
}
