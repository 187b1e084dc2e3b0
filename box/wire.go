// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"fmt"
	"time"

	"runridge.example/runridge/coordination/follow"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/coordination/quota"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/directory"
	zones "runridge.example/runridge/state/drain"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/transport/boxnet"
)

// peers sends commands, decisions and state updates to other boxes.
type peers struct {
	net   *boxnet.Net
	table func() table.Stamp
	// age returns the time since the platform last confirmed the table in force.
	age func() time.Duration
	// drained returns the version of the drained zones, and suspects the digest of the
	// suspected requests.
	drained  func() zones.Version
	suspects func() uint64
}

// SendCommand sends a command to a home on another box.
func (p peers) SendCommand(box string, c home.Command) ring.Outcome {
	return p.net.Send(box, commandMessage(c))
}

// SendDecision sends a home's decision to the box that asked for it.
func (p peers) SendDecision(box, group string, d schedule.Decision) ring.Outcome {
	return p.net.Send(box, boxwire.FromDecision(group, d))
}

// SendCheck asks another box which of its attempts are over.
func (p peers) SendCheck(box, group, engine string, ids []lifecycle.AttemptID) ring.Outcome {
	return p.net.Send(box, boxwire.FromCheck(group, engine, ids))
}

// SendMember sends a membership message. It also carries the stamp and age of this box's
// table, the version of the drained zones and the digest of the suspected requests.
func (p peers) SendMember(box string, m member.Message) ring.Outcome {
	own := p.table()
	out := boxwire.Member{
		Message: m, Generation: own.Generation, Version: own.Version, AgeMS: ageMS(p.age()), Suspects: p.suspects(),
	}.WithDrained(p.drained())
	packed, err := out.Pack()
	if err != nil {
		panic(err)
	}
	return p.net.Send(box, packed)
}

// ageMS encodes an age for the wire, in milliseconds; -1 means that the table was never
// confirmed.
func ageMS(age time.Duration) int64 {
	if age == follow.NeverConfirmed {
		return -1
	}
	return age.Milliseconds()
}

// ageOf decodes an age that ageMS encoded.
func ageOf(ms int64) time.Duration {
	if ms < 0 {
		return follow.NeverConfirmed
	}
	return time.Duration(ms) * time.Millisecond
}

// SendAsk asks the home of an account for part of its quota.
func (p peers) SendAsk(to string, a quota.Ask) ring.Outcome {
	return p.net.Send(to, boxwire.FromQuotaAsk(a))
}

// SendAnswer sends the answer to a quota request.
func (p peers) SendAnswer(to string, a quota.Answer) {
	// A lost answer is requested again.
	_ = p.net.Send(to, boxwire.FromQuotaAnswer(a))
}

// SendChange sends a change of the table to other boxes.
func (p peers) SendChange(d table.Delta, to ...string) {
	data, err := packDelta(d)
	if err != nil {
		panic(err)
	}
	for _, box := range to {
		// A receiver detects a lost change by the generation in the next message.
		_ = p.net.Send(box, &boxwire.Change{Delta: data})
	}
}

// SendPull asks another box for the changes after a version of the table.
func (p peers) SendPull(to string, have table.Stamp) {
	_ = p.net.Send(to, &boxwire.Pull{Have: have.Generation, Version: have.Version})
}

// SendUpdate sends other boxes the changes of endpoints.
func (p peers) SendUpdate(n directory.Update, to ...string) {
	m, err := boxwire.FromUpdate(n, p.table())
	if err != nil {
		panic(err)
	}
	for _, box := range to {
		// A lost update leaves a gap before the next one, and the receiver asks for what is
		// missing.
		_ = p.net.Send(box, m)
	}
}

// SendUpdatePull asks another box for the changes of endpoints after a position.
func (p peers) SendUpdatePull(to string, have uint64) {
	_ = p.net.Send(to, boxwire.NewUpdatePull(have))
}

// receiveChange decodes a change of the table and passes it to the follower.
func (b *Box) receiveChange(from string, m *boxwire.Change) {
	d, err := unpackDelta(m.Delta)
	if err != nil {
		b.options.Log.WithFields(log.Fields{"peer": from}).WithError(err).Warn("change_bad")
		return
	}
	b.follower.Receive(from, d)
}

func commandMessage(c home.Command) boxwire.Message {
	switch body := c.Body.(type) {
	case schedule.Ask:
		return boxwire.FromAsk(c.Group, body)
	case schedule.Report:
		return boxwire.FromReport(c.Group, body)
	case home.Prefilled:
		return &boxwire.Prefilled{
			About:    boxwire.NewAbout(c.Group, body.ID),
			Computed: body.Computed,
			WorkedMS: body.Worked.Milliseconds(),
		}
	case schedule.Adopted:
		return boxwire.FromAdopted(c.Group, body)
	case home.Limits:
		return boxwire.FromLimits(c.Group, body.Of)
	case home.Withdrawn:
		return &boxwire.Withdraw{
			About: boxwire.NewAbout(c.Group, body.ID),
		}
	default:
		panic(fmt.Sprintf("command of type %T has no message", c.Body))
	}
}

// receive handles a message from another box. A message that refers to something missing in
// this box's table is dropped: its sender asks again, and the tables have converged by
// then.
func (b *Box) receive(sender boxwire.Owner, m boxwire.Message) {
	from := sender.Box
	if b.receiveEcho(from, m) || b.receiveDedup(from, m) || b.receiveDrained(from, m) || b.receiveSuspects(from, m) || b.receiveOrigins(from, m) {
		return
	}
	names := b.names.Load()
	self := boxwire.Owner{Box: b.settings.Name, Incarnation: b.options.Incarnation}
	switch m := m.(type) {
	case boxwire.DecisionMessage:
		group, known := names.Name(m.GroupOf())
		if d, found := m.Decision(names, self); known && found {
			b.decisions.HandleDecision(from, group, d)
		}
	case *boxwire.Check:
		group, _ := names.Name(m.Group)
		engine, _ := names.Name(m.Engine)
		b.decisions.CheckAttempts(from, group, engine, m.Attempts(self))
	case *boxwire.Member:
		b.receiveMember(from, m)
		b.follower.Heard(from, m.Table())
		b.follower.Confirmed(m.Table(), ageOf(m.AgeMS))
		b.receiveDrainedVersion(from, m)
		b.quarantine.ReceiveDigest(from, m.Suspects)
	case *boxwire.QuotaAsk:
		if b.routed != nil {
			b.routed.quotas.Receive(from, m.Ask(sender))
		}
	case *boxwire.QuotaAnswer:
		if b.routed != nil {
			b.routed.quotas.Answered(from, m.Answer(self))
		}
	case *boxwire.Change:
		b.receiveChange(from, m)
	case *boxwire.Pull:
		b.follower.Pull(from, m.Table())
	case *boxwire.Update:
		b.follower.Heard(from, m.Table())
		b.receiveUpdate(from, m)
	case *boxwire.UpdatePull:
		if b.routed != nil {
			b.routed.discoverer.Pull(from, m.Position(b.Directory().At()))
		}
	default:
		b.receiveCommand(sender, names, m)
	}
}

// receiveMember handles a membership message.
func (b *Box) receiveMember(from string, m *boxwire.Member) {
	message, err := m.Open()
	if err != nil {
		b.options.Log.WithFields(log.Fields{"peer": from}).WithError(err).Warn("member_bad")
		return
	}
	// A message that does not fit into the queue is dropped, as the network might drop it.
	_ = b.members.Receive(from, message)
}

// receiveUpdate handles an update of the endpoints.
func (b *Box) receiveUpdate(from string, m *boxwire.Update) {
	if b.routed == nil {
		return
	}
	n, err := m.Open(b.Directory().At())
	if err != nil {
		b.options.Log.WithFields(log.Fields{"peer": from}).WithError(err).Warn("update_bad")
		return
	}
	b.routed.discoverer.Receive(from, n)
}

// receiveCommand passes a message on to a group that this box may be the home of.
func (b *Box) receiveCommand(sender boxwire.Owner, names *boxwire.Names, m boxwire.Message) {
	offer := func(group boxwire.Ref, body home.Body) {
		key, known := names.Name(group)
		if !known {
			key = ""
		}
		// A command that does not fit into the queue is dropped; its sender asks again.
		_ = b.homes.Offer(home.Command{From: sender.Box, Group: key, Body: body})
	}
	switch m := m.(type) {
	case *boxwire.Ask:
		if ask, known := m.Ask(names, sender); known {
			offer(m.Group, ask)
		}
	case *boxwire.Adopt:
		if adopted, known := m.Adopted(names, sender); known {
			offer(m.Ask.Group, adopted)
		}
	case *boxwire.Prefilled:
		worked := time.Duration(m.WorkedMS) * time.Millisecond
		offer(m.Group, home.Prefilled{ID: m.ID(sender), Computed: m.Computed, Worked: worked})
	case *boxwire.Done:
		offer(m.Group, m.Report(names, sender))
	case *boxwire.Limits:
		offer(m.Group, home.Limits{Of: m.EngineLimits(names)})
	case *boxwire.Withdraw:
		offer(m.Group, home.Withdrawn{ID: m.ID(sender)})
	}
}

// advertised returns the address at which other boxes reach this one.
func (b *Box) advertised() string {
	if b.settings.BoxAdvertise != "" {
		return b.settings.BoxAdvertise
	}
	return b.BoxAddr()
}
