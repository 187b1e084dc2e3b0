// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

// Tunnel follows the greeting on a connection of its own and asks the receiver to connect it to an
// endpoint. The receiver answers with a TunnelReply. If it has connected, what the sender writes after
// this message goes to the endpoint as it is, and what the endpoint sends comes as TunnelData.
type Tunnel struct {
	// Endpoint is the endpoint's ID; the receiver looks its address up.
	Endpoint string
	// Probe asks only whether anything listens at the endpoint's address.
	Probe bool
}

// TunnelReply tells the result of a Tunnel.
type TunnelReply struct {
	Outcome TunnelOutcome
}

// TunnelOutcome is the result of a Tunnel.
type TunnelOutcome uint8

// Outcomes. The numbers are written on the wire.
const (
	// TunnelUnavailable says nothing about the endpoint: the box is stopping, has too many tunnels
	// or doesn't know the endpoint.
	TunnelUnavailable TunnelOutcome = iota
	// TunnelConnected means that the box reaches the endpoint.
	TunnelConnected
	// TunnelRefused means that nothing listens at the endpoint's address.
	TunnelRefused
	// TunnelUnreached means that the box does not reach the endpoint either.
	TunnelUnreached
)

// TunnelData is a part of what an endpoint sends. One without bytes is the end: without it, a box that
// stopped in between would make an answer of unknown length look complete.
type TunnelData struct {
	Bytes []byte
}

// Kind returns KindTunnelData.
func (*TunnelData) Kind() Kind { return KindTunnelData }

// Kind returns KindTunnel.
func (*Tunnel) Kind() Kind { return KindTunnel }

// Kind returns KindTunnelReply.
func (*TunnelReply) Kind() Kind { return KindTunnelReply }
