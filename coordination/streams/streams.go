// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package streams keeps which software version began each stream on several boxes, and finds it
// again when a caller takes the stream up at any box. docs/design/stream-versions.md has the
// argument.
package streams

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/state/streams"
)

// Question asks a box what it knows of the version that began a stream.
type Question struct {
	// Sequence matches the answer to the question.
	Sequence uint64
	Service  string
	Key      streams.Key
	// Horizon is how far back the stream may have begun.
	Horizon time.Duration
}

// Answer is the answer to a Question.
type Answer struct {
	Sequence uint64
	// Known reports whether the box has the stream's origin, and Software is its version.
	Known    bool
	Software string
	// View is what the box knows of the versions of the service within the horizon.
	View streams.View
}

// Peers sends messages to other boxes. Calls must not block.
type Peers interface {
	SendOrigin(to string, o streams.Origin)
	SendOriginQuestion(to string, q Question)
	SendOriginAnswer(to string, a Answer)
}

// Config configures a Keeper.
type Config struct {
	Self string
	// Incarnation distinguishes this process from earlier ones of the box: an answer to one of
	// theirs must not be taken for an answer to a question of this one.
	Incarnation uint64
	Peers       Peers
	// Ranked returns the highest ranked active boxes of this box's region for a key, at most limit
	// of them, and Remote the first one of each other region.
	Ranked func(key string, limit int) []string
	Remote func(key string) []string
	// Region is the region of this box.
	Region string
	// View returns what this box knows of the versions of a service within a horizon.
	View func(service string, horizon time.Duration) streams.View
	// Joined reports whether this box knows the others: one that starts may be asked for streams before
	// it does.
	Joined func() bool
	// Current reports whether what this box knows of the endpoints is up to date without the help
	// of other boxes.
	Current func() bool
	// Store keeps the versions in the platform, and Horizons returns for each service with streams
	// that may be taken up how far back one may have begun.
	Store    Store
	Horizons func() map[string]time.Duration
	Log      log.Logger
	// Now is the clock; nil means the system clock.
	Now func() time.Time
}

const (
	// copies is how many other boxes get the origin of a stream.
	copies = 2
	// asked is how many boxes of the region are asked for it: those that got it rank lower after
	// boxes have joined.
	asked = 4
	// answerTimeout bounds the wait for answers within the region, and remoteTimeout the wait if
	// other regions are asked too. Boxes that have not answered are asked again after askInterval:
	// they may not have known this box before.
	answerTimeout = 200 * time.Millisecond
	remoteTimeout = 400 * time.Millisecond
	askInterval   = 40 * time.Millisecond
	// joinTimeout bounds the wait of a box that starts until it knows the others, and joinInterval is
	// how often it looks.
	joinTimeout  = 500 * time.Millisecond
	joinInterval = 10 * time.Millisecond
)

// Keeper keeps the origins of streams that this box served or that other boxes sent to it.
type Keeper struct {
	cfg Config

	// writerBoxes are the boxes that write origins to the platform.
	writerBoxes atomic.Pointer[[]string]
	// restoring is held while the origins that are written in the platform are read.
	restoring sync.Mutex

	mutex  sync.Mutex
	ledger streams.Ledger
	// written has the origins that were read from the platform. They were last read at restoredAt, and it was
	// last tried at restoreTried.
	written                  streams.Ledger
	restoredAt, restoreTried time.Time

	sequence uint64
	waiting  map[uint64]chan<- Answer
	// read has the versions that were last read from the platform, by service.
	read map[string]written
}

// New returns a Keeper that knows no stream.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Keeper{cfg: cfg, waiting: make(map[uint64]chan<- Answer), read: make(map[string]written), sequence: cfg.Incarnation << incarnationShift}
}

// incarnationShift leaves 22 bits for the questions of one process. An incarnation is a time in
// milliseconds, of 41 bits.
const incarnationShift = 22

// Begin records the version of the endpoint that begins a stream, here, on two other boxes and on the writer. It is
// called before the caller can receive the first event. A stream must always be recorded with the same
// version: a message may be lost, and an earlier one stays.
func (k *Keeper) Begin(service, attempt, software string) {
	if attempt == "" || software == "" {
		return
	}
	o := streams.Origin{Key: streams.KeyOf(service, attempt), Software: software}
	k.Receive(o)
	var told []string
	for _, box := range k.cfg.Ranked(rankKey(o.Key), copies+1) {
		if box != k.cfg.Self && len(told) < copies {
			k.cfg.Peers.SendOrigin(box, o)
			told = append(told, box)
		}
	}
	if writer := k.writerBox(o.Key); writer != k.cfg.Self && !slices.Contains(told, writer) {
		k.cfg.Peers.SendOrigin(writer, o)
	}
}

// writerBox returns the box that writes an origin to the platform.
func (k *Keeper) writerBox(key streams.Key) string {
	writers := k.writers()
	if len(writers) == 0 {
		return k.cfg.Self
	}
	return writers[writerOf(key, len(writers))]
}

// rankKey returns the key by which boxes are ranked for the origin of a stream.
func rankKey(key streams.Key) string {
	var b [9]byte
	b[0] = 's'
	for i := range 8 {
		b[1+i] = byte(key >> (8 * i))
	}
	return string(b[:])
}

// Receive records an origin that this box or another one has sent.
func (k *Keeper) Receive(o streams.Origin) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ledger.Record(k.cfg.Now(), o)
}

// Answer answers another box's question.
func (k *Keeper) Answer(from string, q Question) {
	software, source := k.lookUp(q.Key)
	k.cfg.Peers.SendOriginAnswer(from, Answer{
		Sequence: q.Sequence, Known: source != Unknown, Software: software, View: k.cfg.View(q.Service, q.Horizon),
	})
}

// Answered receives the answer to a question of this box.
func (k *Keeper) Answered(a Answer) {
	k.mutex.Lock()
	answers := k.waiting[a.Sequence]
	delete(k.waiting, a.Sequence)
	k.mutex.Unlock()
	if answers != nil {
		answers <- a
	}
}

// lookUp returns the origin of a stream that this box knows, and from where.
func (k *Keeper) lookUp(key streams.Key) (software string, source Source) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if software, known := k.ledger.Software(k.cfg.Now(), key); known {
		return software, Recorded
	}
	if software, known := k.written.Software(k.cfg.Now(), key); known {
		return software, Written
	}
	return "", Unknown
}

// Source tells how the version that began a stream was found.
type Source string

// Sources.
const (
	// Unknown means that another version may have begun the stream.
	Unknown Source = "unknown"
	// Recorded means that a box had recorded it.
	Recorded Source = "recorded"
	// Written means that it was written in the platform.
	Written Source = "written"
	// Sole means that no other version can have begun it.
	Sole Source = "sole"
)

// Finding is what was found of the version that began a stream.
type Finding struct {
	Source Source
	// Software is the version; empty if no version of the service is known.
	Software string
	// Asked is how many boxes were asked, and Answered how many of them answered.
	Asked, Answered int
	// Unread reports that the origins that are written in the platform could not be read.
	Unread bool
}

// Find returns the version that began the stream whose first event came with the given attempt,
// at most horizon ago. An empty attempt stands for a caller that names none.
func (k *Keeper) Find(ctx context.Context, service, attempt string, horizon time.Duration) Finding {
	q := Question{Service: service, Horizon: min(horizon, streams.Keep)}
	if attempt != "" {
		q.Key = streams.KeyOf(service, attempt)
		if software, source := k.lookUp(q.Key); source != Unknown {
			return Finding{Source: source, Software: software}
		}
	}
	k.awaitJoined(ctx)
	found, views := k.ask(ctx, q)
	if found.Source == Recorded {
		return found
	}
	if found.Answered > 0 || k.cfg.Current() {
		software, only := streams.Only(views...)
		if !only && !slices.ContainsFunc(views, func(v streams.View) bool { return v.Complete }) {
			software, only = streams.Only(append(views, k.recorded(ctx, service))...)
		}
		if only {
			found.Source, found.Software = Sole, software
			return found
		}
	}
	if attempt != "" {
		found.Unread = !k.restore(ctx)
		found.Software, found.Source = k.lookUp(q.Key)
	}
	return found
}

// ask asks the boxes that may know a stream until one does, or their views and that of this box leave
// only one version, or the time is over. It returns the views, unless a box knows the stream.
func (k *Keeper) ask(ctx context.Context, q Question) (Finding, []streams.View) {
	views := []streams.View{k.cfg.View(q.Service, q.Horizon)}
	boxes, timeout := k.holders(q.Key)
	received := make(chan Answer, len(boxes))
	pending := k.register(len(boxes), received)
	defer k.stopWaiting(pending)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	found := Finding{Source: Unknown, Asked: len(boxes)}
	for found.Answered < found.Asked && ctx.Err() == nil {
		for i, box := range boxes {
			if k.isWaiting(pending[i]) {
				q.Sequence = pending[i]
				k.cfg.Peers.SendOriginQuestion(box, q)
			}
		}
		answers := receive(ctx, received, found.Asked-found.Answered)
		found.Answered += len(answers)
		for _, a := range answers {
			if a.Known {
				found.Source, found.Software = Recorded, a.Software
				return found, nil
			}
			views = append(views, a.View)
		}
		if _, only := streams.Only(views...); only && found.Answered > 0 {
			break
		}
	}
	return found, views
}

// receive returns the answers that arrive within askInterval, at most limit of them. It ends with one
// that knows the stream.
func receive(ctx context.Context, received <-chan Answer, limit int) []Answer {
	timer := time.NewTimer(askInterval)
	defer timer.Stop()
	var out []Answer
	for len(out) < limit {
		select {
		case a := <-received:
			out = append(out, a)
			if a.Known {
				return out
			}
		case <-timer.C:
			return out
		case <-ctx.Done():
			return out
		}
	}
	return out
}

// awaitJoined waits until this box knows the others, joinTimeout at most.
func (k *Keeper) awaitJoined(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for ctx.Err() == nil && !k.cfg.Joined() {
		sleep.For(ctx, joinInterval)
	}
}

// holders returns the boxes that may know the origin of a stream, and how long to wait for them.
func (k *Keeper) holders(key streams.Key) (boxes []string, timeout time.Duration) {
	for _, box := range k.cfg.Ranked(rankKey(key), asked+1) {
		if box != k.cfg.Self {
			boxes = append(boxes, box)
		}
	}
	if writer := k.writerBox(key); writer != k.cfg.Self && !slices.Contains(boxes, writer) {
		boxes = append(boxes, writer)
	}
	if remote := k.cfg.Remote(rankKey(key)); len(remote) > 0 {
		return append(boxes, remote...), remoteTimeout
	}
	return boxes, answerTimeout
}

// register returns the sequence numbers of new questions whose answers go to a channel.
func (k *Keeper) register(questions int, answers chan<- Answer) []uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	out := make([]uint64, questions)
	for i := range out {
		k.sequence++
		out[i] = k.sequence
		k.waiting[k.sequence] = answers
	}
	return out
}

// isWaiting reports whether a question has not been answered yet.
func (k *Keeper) isWaiting(sequence uint64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.waiting[sequence] != nil
}

// stopWaiting ends the wait for answers.
func (k *Keeper) stopWaiting(pending []uint64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, sequence := range pending {
		delete(k.waiting, sequence)
	}
}
