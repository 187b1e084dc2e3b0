// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
)

// maxReported bounds the endpoints that are named in the log for one change of the directory.
const maxReported = 32

// Reasons why an endpoint gets no more work.
const (
	reasonGone        = "gone"
	reasonReplaced    = "replaced"
	reasonZoneDrained = "zone_drained"
	reasonDraining    = "draining"
)

// outOfUseReason returns why an endpoint gets no more work; empty if it does.
func outOfUseReason(w directory.Status) string {
	switch {
	case w.Gone:
		return reasonGone
	case w.Replaced:
		return reasonReplaced
	case w.Draining:
		return reasonDraining
	case w.ZoneDrained:
		return reasonZoneDrained
	default:
		return ""
	}
}

// logChange logs a change of the directory, and the endpoints that it takes out of use or that stay in use
// although the platform does not list them.
func (d *Discoverer) logChange(old, known directory.Directory) {
	ids, _ := known.ChangedSince(old.Revision())
	outOfUse, kept := 0, 0
	for _, id := range ids {
		was, knew := old.Status(id)
		w, found := known.Status(id)
		if !found {
			continue
		}
		fields := log.Fields{log.FieldEngine: id, "born": w.Born, "position": known.At(), "revision": known.Revision()}
		switch {
		case knew && was.Usable() && !w.Usable():
			outOfUse++
			if outOfUse <= maxReported {
				fields[log.FieldReason] = outOfUseReason(w)
				d.cfg.Log.WithFields(fields).Info("endpoint_out_of_use")
			}
		case w.InGrace && !was.InGrace:
			kept++
			if kept <= maxReported {
				d.cfg.Log.WithFields(fields).Info("endpoint_kept_in_grace")
			}
		}
	}
	d.cfg.Log.WithFields(log.Fields{
		"revision":   known.Revision(),
		"position":   known.At(),
		"endpoints":  known.Len(),
		"out_of_use": outOfUse,
		"in_grace":   kept,
	}).Info("directory_changed")
}
