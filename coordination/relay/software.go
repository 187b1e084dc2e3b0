// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"runridge.example/runridge/coordination/streams"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/group"
	records "runridge.example/runridge/state/streams"
	"runridge.example/runridge/state/table"
)

// Endpoints of several software versions may serve side by side. What two versions write does not fit
// together, so a stream goes on only at the version that began it. Endpoints don't check that.
// Prefills are not bound: their results are not part of the stream.

// Origins keeps which software version began each stream.
type Origins interface {
	// Begin records the version of the endpoint that began the stream of an attempt.
	Begin(service, attempt, software string)
	// Find returns the version that began a stream, by the attempt that received its first event.
	Find(ctx context.Context, service, attempt string, horizon time.Duration) streams.Finding
}

// Reasons why a stream does not go on.
const (
	// reasonOriginUnknown: several versions may have begun the stream.
	reasonOriginUnknown = "stream_origin_unknown"
	// reasonSoftwareGone: no endpoint of the version that began it is left.
	reasonSoftwareGone = "software_version_gone"
)

const (
	// softwareGoneRetry is the retry delay while no endpoint of a version is left; one that crashed
	// is back after some seconds.
	softwareGoneRetry = 2 * time.Second
	// originRetry is the retry delay if the boxes that may know the origin of a stream, or the platform, did
	// not answer.
	originRetry = 300 * time.Millisecond
	// horizonFactor is how far back a stream may have begun, as a multiple of its route's timeout.
	horizonFactor = 2
)

// Horizon returns how far back a stream of a route may have begun that its caller takes up.
func Horizon(r table.Route) time.Duration { return horizonFactor * r.Timeout() }

// findOrigin finds out at which software version a stream that the caller takes up has to go on. If
// that is not known, it refuses the request and returns false.
func (h *handler) findOrigin(ctx context.Context) bool {
	if h.relay.cfg.Origins == nil || !h.route.Stream() || h.request.LastEvent == "" {
		return true
	}
	found := h.relay.cfg.Origins.Find(ctx, h.service.Name, h.request.Resumes, Horizon(h.route))
	h.software = found.Software
	h.relay.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: h.request.ID,
		"resumes":        h.request.Resumes,
		"after_event":    h.request.LastEvent,
		"service":        h.service.Name,
		"found":          string(found.Source),
		"software":       found.Software,
		"asked":          found.Asked,
		"answered":       found.Answered,
		"unread":         found.Unread,
		"ms":             h.relay.cfg.Now().Sub(h.request.Arrived).Milliseconds(),
	}).Info("stream_taken_up")
	if h.relay.cfg.Metrics != nil {
		h.relay.cfg.Metrics.StreamTakenUp(h.service.Name, string(found.Source))
	}
	if found.Source != streams.Unknown {
		return true
	}
	after := records.Keep
	if found.Answered < found.Asked || found.Asked == 0 || found.Unread {
		after = h.clampRetryAfter(originRetry)
	}
	h.refuse(http.StatusServiceUnavailable, reasonOriginUnknown, after)
	return false
}

// noteTakenUp records again which version began a stream that goes on, so that it is known for as long as
// the stream lasts.
func (h *handler) noteTakenUp() {
	if h.request.LastEvent != "" {
		h.recordOrigin(h.request.Resumes)
	}
}

// noteFirstEvent binds the rest of the stream to the version of the endpoint that begins it, and records
// it, before the caller receives the event. An attempt may have been sent to endpoints of other versions
// before, but only one begins its stream.
func (h *handler) noteFirstEvent(endpoint string) {
	if h.software != "" || h.request.LastEvent != "" {
		return
	}
	h.software = h.softwareOf(endpoint)
	if h.reply == nil {
		h.recordOrigin(h.request.ID)
	}
}

// recordOrigin records the version that began the stream of an attempt.
func (h *handler) recordOrigin(attempt string) {
	if h.relay.cfg.Origins != nil && h.route.Stream() && h.route.Resumable {
		h.relay.cfg.Origins.Begin(h.service.Name, attempt, h.software)
	}
}

// softwareOf returns the software version of an endpoint; empty if it is unknown.
func (h *handler) softwareOf(id string) string {
	w, _ := h.relay.cfg.Directory.Directory().Status(id)
	return w.Version
}

// softwareSuits reports whether the stream may go on at an endpoint. One whose version is not known
// suits if no other version than that of the stream serves.
func (h *handler) softwareSuits(w directory.Status) bool {
	if h.software == "" || w.Version != "" {
		return records.Suits(h.software, w.Version)
	}
	return !slices.ContainsFunc(h.relay.cfg.Directory.Directory().Statuses(w.Service), func(o directory.Status) bool {
		return !o.Gone && !records.Suits(h.software, o.Version)
	})
}

// groupHasSoftware reports whether a group may have an endpoint at which the stream may go on.
func (h *handler) groupHasSoftware(known directory.Directory, p group.Place) bool {
	return h.software == "" || slices.ContainsFunc(h.endpointsOf(known, p), func(w directory.Status) bool {
		_, ok := h.checkEligible(w)
		return ok && w.Stage != directory.StagePrefill && h.softwareSuits(w)
	})
}
