// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"sync"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/streams"
)

// Engines of several software versions may serve side by side. What two versions write does not fit
// together, so an answer goes on only at the version that began it.

// softwareVersions has the software version that each engine last announced. The table may not name
// it, and an engine may restart with another one.
type softwareVersions struct {
	mutex  sync.Mutex
	byName map[string]string
}

// note records the version that an engine has announced.
func (s *softwareVersions) note(engine, software string) {
	if software == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byName == nil {
		s.byName = make(map[string]string)
	}
	s.byName[engine] = software
}

// unsuited lists the engines of other versions than the given one, sorted.
func (s *softwareVersions) unsuited(bound string) []string {
	if bound == "" {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var out []string
	for engine, software := range s.byName {
		if !streams.Suits(bound, software) {
			out = append(out, engine)
		}
	}
	slices.Sort(out)
	return out
}

// softwareEvent carries the software version of the engine that begins to answer an attempt to the
// driver's goroutine.
type softwareEvent struct {
	lifecycle.Event
	attempt  uint32
	software string
}

// failUnsuited logs and posts an order to an engine whose answer shows another version than that of
// the answer so far. None of its tokens counts.
func (d *driver) failUnsuited(number uint32, engine string) {
	d.dispatcher.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: d.call.ID.String(),
		log.FieldAttempt: number,
		log.FieldEngine:  engine,
		log.FieldReason:  streams.ReasonOtherSoftware,
	}).Info("order_failed")
	d.call.post(failureEvent{
		withheld: true,
		event:    lifecycle.StepFailed{Attempt: number, Ran: lifecycle.DidRun, Reason: lifecycle.ReasonEngine, Engine: engine},
	})
}
