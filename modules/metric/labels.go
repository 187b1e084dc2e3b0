// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metric

import "sync"

const (
	// maxLabels limits the values of a label: each one is kept and scraped for as long as
	// the process runs, and there may be 1,400 accounts.
	maxLabels = 50
	// otherLabel replaces all values beyond the limit.
	otherLabel = "other"
)

// labels limits a label to the first maxLabels values seen.
type labels struct {
	mutex sync.Mutex
	seen  map[string]struct{}
}

// limit returns the value itself, or otherLabel once there are too many values.
func (l *labels) limit(value string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, known := l.seen[value]; known {
		return value
	}
	if len(l.seen) >= maxLabels {
		return otherLabel
	}
	if l.seen == nil {
		l.seen = make(map[string]struct{}, maxLabels)
	}
	l.seen[value] = struct{}{}
	return value
}
