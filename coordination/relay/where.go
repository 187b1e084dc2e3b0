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
)

// Reasons for which a request does not go to an endpoint, or to none.
const (
	reasonLeft      = "endpoint_left"
	reasonDrained   = "zone_drained"
	reasonForbidden = "region_not_allowed"
)

// isWithheld says whether a request that does not go to an endpoint for a reason is kept from
// it by this box alone: the endpoint serves others, and has not failed.
func isWithheld(reason string) bool {
	return reason == notice.ReasonLeaving || reason == notice.ReasonResting || reason == reasonNotCounted
}

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
	}
	reason = v.r.cfg.Notices.Standing(w.ID).Reason()
	return reason, reason == ""
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
// not met. One that is cold or names a limit is left out, since nobody counts what it gets.
// Withheld is why endpoints were left out that serve others, where there is no other.
func (v *run) placeAlone() (plan lifecycle.Plan, withheld string) {
	var fit []string
	for _, w := range v.r.cfg.Directory.Directory().Statuses(v.service.Name) {
		reason, ok := v.fits(w)
		switch {
		case w.Stage == directory.StagePrefill, slices.Contains(v.avoid, w.ID):
		case !ok && isWithheld(reason):
			withheld = reason
		case !ok:
		case v.bounded(w.ID):
			withheld = reasonNotCounted
		default:
			fit = append(fit, w.ID)
		}
	}
	if len(fit) == 0 {
		return lifecycle.Plan{}, withheld
	}
	return lifecycle.Plan{Mode: lifecycle.Recompute, Decode: fit[int(v.id.Sequence)%len(fit)]}, ""
}

// mayAsk says whether a group may have an endpoint for the request. Closed says whether any
// endpoint of its service is closed to this box.
func (v *run) mayAsk(known directory.Directory, p group.Place, closed bool) bool {
	if p.Zone != "" && (!v.mayGo(p.Zone) || known.ZoneDrained(p.Zone)) {
		return false
	}
	if !closed && (p.Zone != "" || !v.allowed.Bound()) {
		return true
	}
	return slices.ContainsFunc(v.endpointsOf(known, p), func(w directory.Status) bool {
		_, ok := v.fits(w)
		return ok
	})
}

// anyClosed says whether an endpoint of the request's service gets nothing by what it told
// this box.
func (v *run) anyClosed(known directory.Directory) bool {
	return slices.ContainsFunc(v.r.cfg.Notices.Closed(), func(c notice.Closed) bool {
		w, found := known.Status(c.Endpoint)
		return found && w.Service == v.service.Name
	})
}

// restLeft is after how long the first endpoint that rests may get the request; 0 is that
// none rests that could serve it.
func (v *run) restLeft() time.Duration {
	known := v.r.cfg.Directory.Directory()
	return v.r.cfg.Notices.LeastRest(func(endpoint string) bool {
		w, found := known.Status(endpoint)
		return found && w.Service == v.service.Name && w.Stage != directory.StagePrefill && w.Usable() && v.mayGo(w.Zone)
	})
}

// endpointsOf lists the endpoints of a group. Where it is not known in which zone or region
// they are, they may be any of the service.
func (v *run) endpointsOf(known directory.Directory, p group.Place) []directory.Status {
	return slices.DeleteFunc(known.Statuses(v.service.Name), func(w directory.Status) bool {
		return p.Zone != "" && w.Zone != p.Zone || p.Region != "" && v.r.cfg.Regions.Of(w.Zone) != p.Region
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
	for _, w := range known.Statuses(v.service.Name) {
		if reason, ok := v.fits(w); !ok && isWithheld(reason) {
			return reason
		}
	}
	return string(lifecycle.ReasonNoEngine)
}
