// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// unframedCase: servers begin to answer before they have read long bodies, without a length. One of
// four servers crashes meanwhile: its connections are reset. An answer that was reset on the way must
// not look complete.
func unframedCase(w *world) (int, error) {
	const (
		// body fits into max_body_bytes, and size is the size of an answer, which takes work
		// milliseconds.
		requests, body, size, work = 24, 4_190_000, 20_000, 1000
	)
	if err := w.start(3, 4); err != nil {
		return notRun, err
	}
	answers := make([]answer, requests)
	var all sync.WaitGroup
	begin := time.Now()
	for i := range requests {
		all.Go(func() {
			time.Sleep(time.Until(begin.Add(time.Duration(i) * 10 * time.Millisecond)))
			c, err := connect(w.boxes[i%len(w.boxes)].front)
			if err != nil {
				answers[i] = answer{err: err}
				return
			}
			defer c.close()
			id := fmt.Sprintf("upload-%d", i)
			if err := c.upload("POST", fmt.Sprintf("/unsafe/x?early=1&work=%d&bytes=%d", work, size), id, body, 14000, 0, 1); err != nil {
				answers[i] = answer{err: err}
				return
			}
			answers[i] = c.read("POST", 16*time.Second)
			w.note("client %d, %s: %v", i, id, answers[i])
		})
	}
	if w.trouble {
		time.Sleep(time.Until(begin.Add(800 * time.Millisecond)))
		w.note("server %s crashes", w.engines[0].id)
		w.engines[0].crash()
		time.Sleep(2 * time.Second)
		if err := w.rebirth(0); err != nil {
			return notRun, err
		}
	}
	all.Wait()
	code, counts := held, make(map[string]int)
	for i, a := range answers {
		id := fmt.Sprintf("upload-%d", i)
		switch {
		case a.err != nil:
			counts["no whole answer"]++
		case a.status != 200:
			counts[fmt.Sprintf("status %d", a.status)]++
		case a.body == payload(strings.TrimPrefix(a.signature, "signed."), id, size):
			counts["whole"]++
		default:
			counts["MIXED"]++
			code = broken
			w.note("MIXED: %s: a success with %d of the %d bytes of its server's answer: %v", id, len(a.body), size, a)
		}
	}
	w.note("%d requests: %v", requests, counts)
	if counts["whole"] < requests/3 {
		return notRun, fmt.Errorf("too few answers came whole: %v", counts)
	}
	return code, nil
}
