// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"slices"
	"time"

	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/locality"
	records "runridge.example/runridge/state/streams"
)

// Reasons why a request is not sent to an endpoint, or to any.
const (
	reasonLeft      = "endpoint_left"
	reasonDrained   = "zone_drained"
	reasonForbidden = "region_not_allowed"
)

// isWithheld reports whether the reason is one for which this box holds back a request from an
// endpoint that has not failed and serves other requests.
func isWithheld(reason string) bool {
	return reason == notice.ReasonLeaving || reason == notice.ReasonResting || reason == reasonNotCounted || reason == records.ReasonOtherSoftware
}

// resolveRegions sets the regions in which the request may be served, as permitted by its route
// and its account in the table in force.
func (h *handler) resolveRegions() {
	route := h.route
	index, _ := h.relay.current()
	if now, ok := index.Match(h.request.Host, h.request.Path); ok {
		route = now
	}
	var account []string
	if h.account != nil {
		account = h.account.AllowedRegions
	}
	h.allowed = locality.AllowedBy(route.AllowedRegions, account)
}

// zoneAllowed reports whether the request may be sent to endpoints in an availability zone.
// Every choice of an endpoint and every send checks it.
func (h *handler) zoneAllowed(zone string) bool {
	return h.allowed.Permits(h.relay.cfg.Regions.Region(zone))
}

// checkEligible reports whether an endpoint may get the request now, and the reason if not.
func (h *handler) checkEligible(w directory.Status) (reason string, ok bool) {
	switch {
	case !h.zoneAllowed(w.Zone):
		return reasonForbidden, false
	case w.ZoneDrained:
		return reasonDrained, false
	case !w.Usable():
		return reasonLeft, false
	}
	reason = h.relay.cfg.Notices.Availability(w.ID).Reason()
	return reason, reason == ""
}

// endpoint returns an endpoint if it may get the request now, or else the reason why not.
func (h *handler) endpoint(id string) (Endpoint, string) {
	w, known := h.relay.cfg.Directory.Directory().Status(id)
	if !known {
		return Endpoint{}, reasonLeft
	}
	if reason, ok := h.checkEligible(w); !ok {
		return Endpoint{}, reason
	}
	return Endpoint{Service: h.service.Name, ID: w.ID, Address: w.Address, Born: w.Born}, ""
}

// placeWithoutHome chooses any endpoint that the request may be sent to and has not tried.
// Endpoints that are cold or announce a limit are left out, since no home counts what they get.
// If no endpoint is left, withheld is the reason why endpoints that serve other requests were
// left out.
func (h *handler) placeWithoutHome() (plan lifecycle.Plan, withheld string) {
	var eligible []string
	unreached := h.relay.cfg.Endpoints.Unreached(h.service.Name, h.allowed)
	for _, w := range h.relay.cfg.Directory.Directory().Statuses(h.service.Name) {
		reason, ok := h.checkEligible(w)
		switch {
		case w.Stage == directory.StagePrefill, slices.Contains(h.avoid, w.ID), slices.Contains(unreached, w.ID):
		case !ok && isWithheld(reason):
			withheld = reason
		case !ok, !h.softwareSuits(w):
		case h.isPaced(w.ID):
			withheld = reasonNotCounted
		default:
			eligible = append(eligible, w.ID)
		}
	}
	if len(eligible) == 0 {
		return lifecycle.Plan{}, withheld
	}
	return lifecycle.Plan{Mode: lifecycle.Recompute, Decode: eligible[int(h.id.Sequence)%len(eligible)]}, ""
}

// groupEligible reports whether a group may have an endpoint for the request. closed reports
// whether an endpoint of the service accepts nothing from this box.
func (h *handler) groupEligible(known directory.Directory, p group.Place, closed bool) bool {
	if p.Zone != "" && (!h.zoneAllowed(p.Zone) || known.ZoneDrained(p.Zone)) {
		return false
	}
	if !closed && (p.Zone != "" || !h.allowed.Bound()) {
		return true
	}
	return slices.ContainsFunc(h.endpointsOf(known, p), func(w directory.Status) bool {
		_, ok := h.checkEligible(w)
		return ok
	})
}

// anyClosed reports whether an endpoint of the request's service accepts nothing from this box,
// according to its notices.
func (h *handler) anyClosed(known directory.Directory) bool {
	return slices.ContainsFunc(h.relay.cfg.Notices.Closed(), func(c notice.Closed) bool {
		w, found := known.Status(c.Endpoint)
		return found && w.Service == h.service.Name
	})
}

// remainingRest returns how long until the first resting endpoint may get the request; 0 if no
// endpoint that could serve it rests.
func (h *handler) remainingRest() time.Duration {
	known := h.relay.cfg.Directory.Directory()
	return h.relay.cfg.Notices.ShortestRest(func(endpoint string) bool {
		w, found := known.Status(endpoint)
		return found && w.Service == h.service.Name && w.Stage != directory.StagePrefill && w.Usable() && h.zoneAllowed(w.Zone)
	})
}

// endpointsOf returns the endpoints of a group; all of the service if the zone and region of
// the group are unknown.
func (h *handler) endpointsOf(known directory.Directory, p group.Place) []directory.Status {
	return slices.DeleteFunc(known.Statuses(h.service.Name), func(w directory.Status) bool {
		return p.Zone != "" && w.Zone != p.Zone || p.Region != "" && h.relay.cfg.Regions.Of(w.Zone) != p.Region
	})
}

// forbiddenEndpoints returns the endpoints of the request's group that are in regions where it
// may not be served. A group without a known region may have endpoints in several regions, and
// a group of a service in one region may have some in zones that belong to no region.
func (h *handler) forbiddenEndpoints() []string {
	p, ok := h.place(h.group)
	if !ok || p.Zone != "" || !h.allowed.Bound() {
		return nil
	}
	var out []string
	for _, w := range h.endpointsOf(h.relay.cfg.Directory.Directory(), p) {
		if w.Usable() && !h.zoneAllowed(w.Zone) {
			out = append(out, w.ID)
		}
	}
	return out
}

// noGroupReason returns why no group is left for the request.
func (h *handler) noGroupReason() string {
	known := h.relay.cfg.Directory.Directory()
	permitted := func(p group.Place) bool {
		if p.Zone != "" {
			return h.zoneAllowed(p.Zone)
		}
		return slices.ContainsFunc(h.endpointsOf(known, p), func(w directory.Status) bool { return h.zoneAllowed(w.Zone) })
	}
	if h.allowed.Bound() && !slices.ContainsFunc(h.relay.cfg.Homes.PlacesOf(h.service.Name), permitted) {
		return reasonForbidden
	}
	for _, w := range known.Statuses(h.service.Name) {
		if reason, ok := h.checkEligible(w); !ok && isWithheld(reason) {
			return reason
		}
	}
	if h.software != "" && !slices.ContainsFunc(h.relay.cfg.Homes.PlacesOf(h.service.Name), func(p group.Place) bool { return h.groupHasSoftware(known, p) }) {
		return reasonSoftwareGone
	}
	return string(lifecycle.ReasonNoEngine)
}
