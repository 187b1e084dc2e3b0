// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// resumeCase: streams that may be resumed run on nine servers. Two servers crash for two seconds
// while a third one, whose health check is good, fails a part of its requests with a status of its
// own. Whatever becomes of a stream, its client must get an answer in the protocol, or one that
// breaks off.
func resumeCase(w *world) (int, error) {
	const (
		servers, crashed, streams = 9, 2, 360
		// events and gap make a stream of two seconds.
		events, gap = 40, 50
		greyShare   = 0.45
	)
	w.slots = 64
	if err := w.start(3, servers); err != nil {
		return notRun, err
	}
	// The retry budget of a box grows over its first window.
	time.Sleep(8 * time.Second)
	if w.trouble {
		w.engines[servers-1].failShare(greyShare)
		w.note("server %s fails %.2f of its requests from now on", w.engines[servers-1].id, greyShare)
	}
	answers := make([]answer, streams)
	var all sync.WaitGroup
	begin := time.Now()
	for i := range streams {
		all.Go(func() {
			time.Sleep(time.Until(begin.Add(time.Duration(i) * 2 * time.Millisecond)))
			c, err := connect(w.boxes[i%len(w.boxes)].front)
			if err != nil {
				answers[i] = answer{err: err}
				return
			}
			defer c.close()
			id := fmt.Sprintf("stream-%d", i)
			if err := c.upload("POST", fmt.Sprintf("/stream/x?work=20&events=%d&gap=%d", events, gap), id, 3000, 14000, 0, 1); err != nil {
				answers[i] = answer{err: err}
				return
			}
			answers[i] = c.read("POST", 16*time.Second)
		})
	}
	if w.trouble {
		time.Sleep(time.Until(begin.Add(1500 * time.Millisecond)))
		for _, e := range w.engines[:crashed] {
			w.note("server %s crashes", e.id)
			e.crash()
		}
		time.Sleep(2 * time.Second)
		for i := range crashed {
			if err := w.rebirth(i); err != nil {
				return notRun, err
			}
		}
	}
	all.Wait()
	code, counts := held, make(map[string]int)
	for i, a := range answers {
		id := fmt.Sprintf("stream-%d", i)
		switch {
		case a.err == nil && a.status == 200 && a.body == whole(id, events):
			counts["whole"]++
		case a.err == nil && a.status/100 != 2:
			counts[fmt.Sprintf("status %d", a.status)]++
		case errors.Is(a.err, io.ErrUnexpectedEOF) || errors.Is(a.err, io.EOF) || a.err != nil && a.status == 0:
			counts["broken off"]++
		default:
			counts["MIXED"]++
			code = broken
			w.note("MIXED: %s: %v; its last bytes on the connection: %q", id, a, a.tail)
			for _, e := range w.engines {
				for _, r := range e.seen(id) {
					w.note("    %s ran at %s after event %q", id, e.id, r.lastEvent)
				}
			}
		}
	}
	w.note("%d streams: %v", streams, counts)
	if counts["whole"] < streams/4 {
		return notRun, fmt.Errorf("too few streams came whole: %v", counts)
	}
	return code, nil
}

// whole is the body of a whole stream.
func whole(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}
