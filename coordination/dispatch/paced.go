// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
)

// reasonNotCounted is why an order is not sent that no home has counted for its engine.
const reasonNotCounted = "endpoint_not_counted"

// withholdPrefill says why an engine may not be ordered the prefill now: it leaves, it wants
// rest, or it names a limit and no home has counted the attempt for it. Empty is that it may.
func (v *driver) withholdPrefill(engine string) string {
	if reason := v.d.cfg.Notices.Standing(engine).Reason(); reason != "" {
		return reason
	}
	if v.prefillCounted(engine) {
		return ""
	}
	return reasonNotCounted
}

func (v *driver) prefillCounted(engine string) bool {
	return !v.counted.Prefill && !v.d.cfg.Notices.Limited(engine) || v.counted.PrefillAt(time.Now())
}

// withholdDecode says the same of an order to the attempt's decode engine. Only the first one
// counts, so it notes that the engine is reached; what it has begun goes on.
func (v *driver) withholdDecode(engine string) string {
	if reason := v.d.cfg.Notices.Standing(engine).Reason(); reason != "" && !v.reached {
		return reason
	}
	if v.decodeCounted(engine) {
		return ""
	}
	return reasonNotCounted
}

func (v *driver) decodeCounted(engine string) bool {
	may := v.reached || !v.counted.Decode && !v.d.cfg.Notices.Limited(engine) || v.counted.DecodeAt(time.Now())
	v.reached = v.reached || may
	return may
}

// leaveOut ends an order that is not sent. Another attempt may follow.
func (v *driver) leaveOut(number uint32, engine, reason string) {
	v.d.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: v.call.ID.String(),
		log.FieldAttempt: number,
		log.FieldEngine:  engine,
		log.FieldReason:  reason,
	}).Info("order_failed")
	v.call.post(failure{
		withheld: true,
		event: lifecycle.StepFailed{
			Attempt: number, Ran: lifecycle.NotRun, Reason: lifecycle.ReasonOverloaded, Engine: engine,
		},
	})
}
