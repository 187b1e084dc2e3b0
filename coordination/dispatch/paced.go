// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
)

// mayPrefill says whether an engine may be ordered the prefill now: one that names a limit
// gets only what its group's home has counted for it.
func (v *driver) mayPrefill(engine string) bool {
	return !v.counted.Prefill && !v.d.cfg.Notices.Limited(engine) || v.counted.PrefillAt(time.Now())
}

// mayDecode says the same of an order to the attempt's decode engine. Only the first one
// counts, so it notes that the engine is reached.
func (v *driver) mayDecode(engine string) bool {
	may := v.reached || !v.counted.Decode && !v.d.cfg.Notices.Limited(engine) || v.counted.DecodeAt(time.Now())
	v.reached = v.reached || may
	return may
}

// reasonNotCounted is why an order is not sent that no home has counted for its engine.
const reasonNotCounted = "endpoint_not_counted"

// leaveOut ends an order that is not sent. Another attempt may follow.
func (v *driver) leaveOut(number uint32, engine string) {
	v.d.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: v.call.ID.String(),
		log.FieldAttempt: number,
		log.FieldEngine:  engine,
		log.FieldReason:  reasonNotCounted,
	}).Info("order_failed")
	v.call.post(failure{
		notCounted: true,
		event: lifecycle.StepFailed{
			Attempt: number, Ran: lifecycle.NotRun, Reason: lifecycle.ReasonOverloaded, Engine: engine,
		},
	})
}
