// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package sleep waits for a duration or until a context ends.
package sleep

import (
	"context"
	"time"
)

// For returns after d, or as soon as the context ends.
func For(ctx context.Context, d time.Duration) { ForUnlessWoken(ctx, d, nil) }

// ForUnlessWoken returns after d, or as soon as the context ends or wake gets a value.
func ForUnlessWoken(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}
