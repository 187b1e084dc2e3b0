// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// strayCase: an entry of another writer stands among those of the servers, with one field of another
// type. Then a server says that it leaves, serves on for drain_ms and a little longer, and ends. From
// drain_ms on no request may reach it. At last all boxes are killed and started again.
func strayCase(w *world) (int, error) {
	const (
		drain, longer = 2 * time.Second, 1500 * time.Millisecond
		// work is how long a request takes, in milliseconds, and interval the time between two.
		work, interval = 300, 20 * time.Millisecond
		// settle is contact_ms and a little more: all boxes are in touch then.
		settle, after = 3500 * time.Millisecond, 3 * time.Second
	)
	if err := w.start(3, 8); err != nil {
		return notRun, err
	}
	type sent struct {
		id  string
		at  time.Time
		got answer
	}
	var mutex sync.Mutex
	var all []sent
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			clients.Go(func() {
				s := sent{id: fmt.Sprintf("order-%d", i), at: time.Now()}
				s.got = w.ask(w.boxes[i%len(w.boxes)], "POST", fmt.Sprintf("/unsafe/x?work=%d", work), s.id)
				mutex.Lock()
				defer mutex.Unlock()
				all = append(all, s)
			})
		}
	})
	time.Sleep(time.Second)
	if w.trouble {
		revision := w.store.Put("servers", "n-0001", map[string]any{
			"service": "desk", "address": "127.0.0.1:9", "zone": "zone-a", "version": "1", "slots": "six", "state": "ready",
		})
		w.note("another writer has written an entry with slots as a text, revision %d", revision)
	}
	time.Sleep(settle)
	leaving := w.engines[0]
	entry := leaving.entry(zoneOf(0), w.slots)
	entry["state"], entry["sequence"] = "draining", 2
	revision := w.store.Put("servers", leaving.id, entry)
	acknowledged := time.Now()
	w.note("server %s says that it leaves; acknowledged by the store, revision %d", leaving.id, revision)
	time.Sleep(drain + longer)
	leaving.crash()
	w.store.Delete("servers", leaving.id)
	w.note("server %s has ended, and its entry is gone", leaving.id)
	time.Sleep(after)
	close(stop)
	clients.Wait()
	late := 0
	leaving.mutex.Lock()
	for _, r := range leaving.runs {
		if d := r.at.Sub(acknowledged); d > drain {
			late++
			w.note("DRAIN: %s reached server %s %.3f s after its leaving was acknowledged", r.id, leaving.id, d.Seconds())
		}
	}
	leaving.mutex.Unlock()
	counts := make(map[string]int)
	for _, s := range all {
		what := fmt.Sprintf("status %d", s.got.status)
		if s.got.err != nil {
			what = "no whole answer"
		}
		counts[what]++
		if s.got.err == nil && s.got.status == 200 {
			continue
		}
		ran := 0
		for _, e := range w.engines {
			ran += len(e.seen(s.id))
		}
		w.note("%s, sent %.3f s after the leaving: ran %d times, %v", s.id, s.at.Sub(acknowledged).Seconds(), ran, s.got)
	}
	w.note("%d requests: %v; %d reached the leaving server later than drain_ms", len(all), counts, late)
	served, asked, err := w.killAll()
	if err != nil {
		return notRun, err
	}
	w.note("12 s after all boxes were killed and started again, %d of %d requests were answered with success", served, asked)
	if counts["status 200"] < len(all)/2 {
		return notRun, fmt.Errorf("too few requests were served: %v", counts)
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// ask sends one request on a connection of its own.
func (w *world) ask(b *router, method, target, id string) answer {
	c, err := connect(b.front)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer c.close()
	if err := c.upload(method, target, id, 600, 3000, 0, 1); err != nil {
		return answer{err: err, at: time.Now()}
	}
	return c.read(method, 6*time.Second)
}

// killAll kills all boxes at once and starts them again, as a final fault does. It returns how many of
// the requests sent later than recovery_s are answered with success. That is for the record alone.
func (w *world) killAll() (served, asked int, err error) {
	const (
		down, recovery = time.Second, 12 * time.Second
		asks           = 60
	)
	before := w.boxes
	for _, b := range before {
		b.kill()
	}
	w.note("all boxes have been killed")
	time.Sleep(down)
	w.boxes = nil
	for _, b := range before {
		again, err := w.fleet.again(b)
		if err != nil {
			return 0, 0, err
		}
		w.boxes = append(w.boxes, again)
	}
	time.Sleep(recovery)
	counts := make(map[string]int)
	for i := range asks {
		time.Sleep(50 * time.Millisecond)
		b := w.boxes[i%len(w.boxes)]
		a := w.ask(b, "POST", "/unsafe/x?work=20", fmt.Sprintf("again-%d", i))
		if a.err == nil && a.status == 200 {
			served++
			continue
		}
		counts[fmt.Sprintf("status %d, %s", a.status, strings.TrimSpace(a.body))]++
	}
	for _, b := range w.boxes {
		w.note("%s calls itself ready: %v", b.name, b.isReady())
	}
	w.note("answers without success: %v", counts)
	return served, asks, nil
}
