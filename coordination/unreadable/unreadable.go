// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package unreadable records which objects of the platform cannot be read, for operators. Any
// number of them takes bounded memory and a bounded number of log lines.
package unreadable

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
)

const (
	// maxObjects is the number of remembered objects; the latest ones are kept.
	maxObjects = 64
	// maxText bounds a remembered name or cause, which may be as long as an object, in bytes.
	maxText = 200
	// repeatInterval is the minimum time between two log lines about one object.
	repeatInterval = time.Minute
	// maxLines is the number of log lines in each lineWindow.
	maxLines   = 20
	lineWindow = time.Minute
)

// Config configures a Keeper.
type Config struct {
	Log log.Logger
	// Now is the clock; nil is time.Now.
	Now func() time.Time
}

// Object is an object that cannot be read.
type Object struct {
	Kind string `json:"kind"`
	// Name is empty for a whole answer of the platform, or if the name cannot be read either.
	Name  string `json:"name,omitempty"`
	Cause string `json:"cause"`
	// Reads is how often it was read, and LastMS how long ago the last time was, in milliseconds.
	Reads  uint64 `json:"reads"`
	LastMS int64  `json:"last_ms"`
}

// key identifies an object.
type key struct{ kind, name string }

// record is what is known of an object that cannot be read.
type record struct {
	cause    string
	reads    uint64
	lastRead time.Time
	logged   time.Time
}

// Keeper records the objects that cannot be read. It is an adapter.ObjectObserver.
type Keeper struct {
	cfg     Config
	mutex   sync.Mutex
	objects *simplelru.LRU[key, *record]
	counts  map[string]uint64
	// windowStart is when the current lineWindow began, lines the number of lines in it, and
	// suppressed the number of lines left out since the last one.
	windowStart time.Time
	lines       int
	suppressed  int
}

var _ adapter.ObjectObserver = (*Keeper)(nil)

// New returns a Keeper.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	objects, err := simplelru.NewLRU[key, *record](maxObjects, nil)
	if err != nil {
		panic(err)
	}
	return &Keeper{cfg: cfg, objects: objects, counts: make(map[string]uint64)}
}

// ObjectRead records what was found in an object, or in a whole answer if the name is empty.
func (k *Keeper) ObjectRead(kind, name string, err error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err == nil {
		k.clear(kind, name)
		return
	}
	now := k.cfg.Now()
	id, cause := key{kind: kind, name: shorten(name)}, shorten(err.Error())
	k.counts[kind]++
	r, known := k.objects.Get(id)
	if !known {
		r = &record{}
		k.objects.Add(id, r)
	}
	changed := r.cause != cause
	r.cause, r.lastRead = cause, now
	r.reads++
	if !changed && now.Sub(r.logged) < repeatInterval {
		return
	}
	r.logged = now
	k.logUnreadable(now, id, cause)
}

// clear forgets an object that can be read, or is gone.
func (k *Keeper) clear(kind, name string) {
	if k.objects.Len() == 0 {
		return
	}
	id := key{kind: kind, name: shorten(name)}
	if k.objects.Remove(id) && k.takeLine(k.cfg.Now()) {
		k.cfg.Log.WithFields(log.Fields{"kind": kind, "name": id.name}).Info("platform_object_regained")
	}
}

// logUnreadable logs an object, unless there were too many lines of late.
func (k *Keeper) logUnreadable(now time.Time, id key, cause string) {
	if !k.takeLine(now) {
		k.suppressed++
		return
	}
	k.cfg.Log.WithFields(log.Fields{
		"kind": id.kind, "name": id.name, "cause": cause, "suppressed": k.suppressed,
	}).Warn("platform_object_unreadable")
	k.suppressed = 0
}

// takeLine reports whether one more line may be logged, and counts it.
func (k *Keeper) takeLine(now time.Time) bool {
	if now.Sub(k.windowStart) >= lineWindow {
		k.windowStart, k.lines = now, 0
	}
	if k.lines >= maxLines {
		return false
	}
	k.lines++
	return true
}

// Counts returns how often objects that cannot be read were read, by kind.
func (k *Keeper) Counts() map[string]uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return maps.Clone(k.counts)
}

// Objects lists the objects that cannot be read, the one that was read last at the end.
func (k *Keeper) Objects() []Object {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.cfg.Now()
	var out []Object
	for _, id := range k.objects.Keys() {
		r, _ := k.objects.Peek(id)
		out = append(out, Object{
			Kind: id.kind, Name: id.name, Cause: r.cause, Reads: r.reads, LastMS: now.Sub(r.lastRead).Milliseconds(),
		})
	}
	return out
}

// shorten returns a text of bounded length that is valid UTF-8.
func shorten(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxText)], "\uFFFD")
}
