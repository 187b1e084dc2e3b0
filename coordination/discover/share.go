// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"slices"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
)

// Peers takes news between boxes. Calls must not block.
type Peers interface {
	// SendNews tells a box what has changed.
	SendNews(to string, n directory.News)
	// SendNewsPull asks a box for its whole directory.
	SendNewsPull(to string)
}

const (
	// watchers is how many boxes, the first in rank, follow the platform's
	// list for all.
	watchers = 3
	// fanout is how many boxes one passes news on to.
	fanout = 8
	// coverTime is how long news keeps a box from following the list itself:
	// somewhat longer than the watchers' waits, each of which ends with news.
	coverTime = 1100 * time.Millisecond
	// rankKey orders the boxes for who watches.
	rankKey = "endpoints"
	// forgetNews is how long the number of a box's last news is remembered: long
	// enough that news does not go in circles while boxes disagree on the tree,
	// and less than a box needs to start again.
	forgetNews = 3 * time.Second
)

// heard is the last news of one origin.
type heard struct {
	sequence uint64
	at       time.Time
}

// shared is what a box knows of the others' news.
type shared struct {
	// sequence numbers this box's own news.
	sequence uint64
	// seen is the last news of each other box.
	seen map[string]heard
	// covered is when the last news came that this directory fits to.
	covered time.Time
	// watched says whether this box followed the list when it last looked.
	watched bool
}

// watcher says whether this box is one of those that follow the list for all.
func (d *Discoverer) watcher() bool {
	if d.cfg.Peers == nil {
		return false
	}
	order := d.cfg.Ranked(rankKey)
	return slices.Contains(order[:min(watchers, len(order))], d.cfg.Self)
}

// watching says whether this box has to follow the list itself: it is one of
// the watchers, or has had no news for too long. Left is for how long the last
// news still spares it that.
func (d *Discoverer) watching(now time.Time) (watch bool, left time.Duration) {
	if d.cfg.Peers == nil {
		return true, 0
	}
	watcher := d.watcher()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	left = coverTime - now.Sub(d.shared.covered)
	watch = left <= 0 || watcher
	if watch != d.shared.watched {
		d.cfg.Log.WithFields(log.Fields{
			"watching": watch,
			"position": d.known.At(),
			"age_ms":   now.Sub(d.shared.covered).Milliseconds(),
		}).Info("endpoint_watch_changed")
	}
	d.shared.watched = watch
	return watch, left
}

// tell passes on what this box has read from the platform, if it is one of the
// watchers.
func (d *Discoverer) tell(n directory.News) {
	if !d.watcher() {
		return
	}
	d.mutex.Lock()
	d.shared.sequence++
	n.Origin, n.Sequence = d.cfg.Self, d.shared.sequence
	d.mutex.Unlock()
	d.pass(n)
}

// lostNews tells that the platform was lost, or is back: nothing has changed as
// far as this box knows, and it covers nobody.
func (d *Discoverer) lostNews() directory.News {
	at := d.Directory().At()
	return directory.News{After: at, At: at, Lost: true}
}

// pass sends news to this box's children in the tree of boxes whose root is
// the origin. So no box sends to more than a few.
func (d *Discoverer) pass(n directory.News) {
	order := d.cfg.Ranked(rankKey + "@" + n.Origin)
	order = slices.DeleteFunc(slices.Clone(order), func(box string) bool { return box == n.Origin })
	order = append([]string{n.Origin}, order...)
	at := slices.Index(order, d.cfg.Self)
	if at < 0 {
		return
	}
	for child := at*fanout + 1; child <= at*fanout+fanout && child < len(order); child++ {
		d.cfg.Peers.SendNews(order[child], n)
	}
}

// Receive takes news from another box and passes it on. News without an origin
// is the answer to this box's own question, and goes no further.
func (d *Discoverer) Receive(from string, n directory.News) {
	now := time.Now()
	answer := n.Origin == ""
	if !answer && !d.unseen(now, n) {
		return
	}
	if d.Directory().Fits(n) {
		d.take(now, n)
	} else {
		d.cfg.Peers.SendNewsPull(from)
	}
	if n.Lost {
		d.lost()
	}
	if !answer {
		d.pass(n)
	}
}

// unseen notes news and says whether it has not been here before.
func (d *Discoverer) unseen(now time.Time, n directory.News) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last := d.shared.seen[n.Origin]
	if n.Origin == d.cfg.Self || n.Sequence <= last.sequence && now.Sub(last.at) < forgetNews {
		return false
	}
	d.shared.seen[n.Origin] = heard{sequence: n.Sequence, at: now}
	return true
}

// take puts news that fits into force. News that is not older than what is
// known here covers this box, unless it tells that the platform is lost.
func (d *Discoverer) take(now time.Time, n directory.News) {
	d.mutex.Lock()
	covers := n.At >= d.known.At() && !n.Lost
	if covers {
		d.shared.covered = now
	}
	d.mutex.Unlock()
	if covers {
		d.noteHeard(now)
	}
	d.update(func(known directory.Directory) directory.Directory { return known.WithNews(now, n) })
}

// Pull answers a box that has missed news with all that is known here.
func (d *Discoverer) Pull(from string) {
	if known := d.Directory(); known.Known() {
		d.cfg.Peers.SendNews(from, known.All())
	}
}
