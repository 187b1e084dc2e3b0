// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"runridge.example/runridge/coordination/dedup"
	"runridge.example/runridge/protocol/boxwire"
)

// dedupMessages delivers the messages about repeated requests to other boxes, or to this
// one without the network.
type dedupMessages struct {
	b *Box
}

func (k dedupMessages) send(to string, m boxwire.Message) {
	if to == k.b.settings.Name {
		k.b.receiveDedup(to, m)
		return
	}
	// Every request is sent again when its answer is overdue.
	_ = k.b.net.Send(to, m)
}

// SendClaim sends a claim to the first box in the ranking of its key.
func (k dedupMessages) SendClaim(to string, c dedup.Claim) { k.send(to, &boxwire.Claim{Body: c}) }

// SendReply answers a claim.
func (k dedupMessages) SendReply(to string, r dedup.Reply) { k.send(to, &boxwire.Reply{Body: r}) }

// SendCopy sends a record to the box that keeps its second copy.
func (k dedupMessages) SendCopy(to string, c dedup.Copy) { k.send(to, &boxwire.Copy{Body: c}) }

// SendCopied acknowledges a copy.
func (k dedupMessages) SendCopied(to string, c dedup.Copied) { k.send(to, &boxwire.Copied{Body: c}) }

// SendJoin asks the box that owns a request for its result.
func (k dedupMessages) SendJoin(to string, j dedup.Join) { k.send(to, &boxwire.Join{Body: j}) }

// receiveDedup handles a message about repeated requests and reports whether it was one.
func (b *Box) receiveDedup(from string, m boxwire.Message) bool {
	switch m := m.(type) {
	case *boxwire.Claim:
		_ = b.keeper.Receive(from, m.Body)
	case *boxwire.Copy:
		_ = b.keeper.Receive(from, m.Body)
	case *boxwire.Copied:
		_ = b.keeper.Receive(from, m.Body)
	case *boxwire.Reply:
		b.claimer.Replied(m.Body)
	case *boxwire.Join:
		dedupMessages{b}.send(from, &boxwire.Piece{Body: b.dispatch.AnswerPiece(m.Body)})
	case *boxwire.Piece:
		b.claimer.Answered(m.Body)
	default:
		return false
	}
	return true
}
