// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"slices"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/locality"
)

// Reasons for which a request does not go to an endpoint, or to none.
const (
	reasonLeft      = "endpoint_left"
	reasonDrained   = "zone_drained"
	reasonForbidden = "region_not_allowed"
)

// bind looks up in which regions the request may be served: both its route and its
// account bind, by the table in force.
func (v *run) bind() {
	route := v.route
	index, _ := v.r.current()
	if now, ok := index.Match(v.q.Host, v.q.Path); ok {
		route = now
	}
	var account []string
	if v.account != nil {
		account = v.account.AllowedRegions
	}
	v.allowed = locality.AllowedBy(route.AllowedRegions, account)
}

// mayGo says whether the request may go to the endpoints of an availability zone. All
// that chooses an endpoint, or sends to one, asks it.
func (v *run) mayGo(zone string) bool {
	return v.allowed.Permits(v.r.cfg.Regions.Region(zone))
}

// fits says whether an endpoint may get the request now, or why not.
func (v *run) fits(w directory.Status) (reason string, ok bool) {
	switch {
	case !v.mayGo(w.Zone):
		return reasonForbidden, false
	case w.ZoneDrained:
		return reasonDrained, false
	case !w.Usable():
		return reasonLeft, false
	default:
		return "", true
	}
}

// endpoint finds an endpoint that may get the request now; without one it says why.
func (v *run) endpoint(id string) (Endpoint, string) {
	w, known := v.r.cfg.Directory.Directory().Status(id)
	if !known {
		return Endpoint{}, reasonLeft
	}
	if reason, ok := v.fits(w); !ok {
		return Endpoint{}, reason
	}
	return Endpoint{Service: v.service.Name, ID: w.ID, Address: w.Address, Born: w.Born}, ""
}

// placeAlone chooses endpoints without a home: any that the request may go to and has
// not met. One that is cold or names a limit is left out, since nobody counts what it gets;
// heldBack says that there is no other.
func (v *run) placeAlone() (plan lifecycle.Plan, heldBack bool) {
	var fit []string
	bounded := 0
	for _, w := range v.r.cfg.Directory.Directory().Statuses(v.service.Name) {
		_, ok := v.fits(w)
		switch {
		case !ok, w.Stage == directory.StagePrefill, slices.Contains(v.avoid, w.ID):
		case v.bounded(w.ID):
			bounded++
		default:
			fit = append(fit, w.ID)
		}
	}
	if len(fit) == 0 {
		return lifecycle.Plan{}, bounded > 0
	}
	return lifecycle.Plan{Mode: lifecycle.Recompute, Decode: fit[int(v.id.Sequence)%len(fit)]}, false
}

// mayAsk says whether a group may have an endpoint for the request.
func (v *run) mayAsk(known directory.Directory, p group.Place) bool {
	if p.Zone != "" {
		return v.mayGo(p.Zone) && !known.ZoneDrained(p.Zone)
	}
	return !v.allowed.Bound() || slices.ContainsFunc(v.endpointsOf(known, p), func(w directory.Status) bool {
		_, ok := v.fits(w)
		return ok
	})
}

// endpointsOf lists the endpoints of a group of several zones. Where it is not known
// in which region they are, they may be any of the service.
func (v *run) endpointsOf(known directory.Directory, p group.Place) []directory.Status {
	return slices.DeleteFunc(known.Statuses(v.service.Name), func(w directory.Status) bool {
		return p.Region != "" && v.r.cfg.Regions.Of(w.Zone) != p.Region
	})
}

// barred are the endpoints of the request's group that it must not go to for their
// region's sake: a group whose region is not known may have them in several, and one
// of a fleet in one region some in zones that no region names.
func (v *run) barred() []string {
	p, ok := v.place(v.group)
	if !ok || p.Zone != "" || !v.allowed.Bound() {
		return nil
	}
	var out []string
	for _, w := range v.endpointsOf(v.r.cfg.Directory.Directory(), p) {
		if w.Usable() && !v.mayGo(w.Zone) {
			out = append(out, w.ID)
		}
	}
	return out
}

// noGroup is why no group is left for the request.
func (v *run) noGroup() string {
	known := v.r.cfg.Directory.Directory()
	permitted := func(p group.Place) bool {
		if p.Zone != "" {
			return v.mayGo(p.Zone)
		}
		return slices.ContainsFunc(v.endpointsOf(known, p), func(w directory.Status) bool { return v.mayGo(w.Zone) })
	}
	if v.allowed.Bound() && !slices.ContainsFunc(v.r.cfg.Homes.PlacesOf(v.service.Name), permitted) {
		return reasonForbidden
	}
	return string(lifecycle.ReasonNoEngine)
}
