// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"time"

	"runridge.example/runridge/coordination/relay"
	origins "runridge.example/runridge/coordination/streams"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/streams"
)

// maxPlatformSilence is how long ago the platform may have answered for the directory to count as up
// to date: a box that reads the platform hears from it about once a second.
const maxPlatformSilence = 3 * time.Second

// newOrigins creates the keeper of the software versions that began streams.
func (b *Box) newOrigins() *origins.Keeper {
	return origins.New(origins.Config{
		Self:        b.settings.Name,
		Incarnation: b.options.Incarnation,
		Peers:       b.others,
		Ranked:      func(key string, limit int) []string { return b.spread.Load().First(key, limit) },
		Remote:      b.regionEntries,
		Region:      b.regions.Of(b.settings.Zone),
		View:        b.softwareVersions,
		Joined:      b.listed,
		Store:       b.routed.platform,
		Horizons:    b.streamHorizons,
		Log:         b.options.Log,
		Current:     func() bool { return time.Since(b.routed.discoverer.LastHeard()) <= maxPlatformSilence },
	})
}

// streamHorizons returns, for each service with streams that may be taken up, how far back one may
// have begun.
func (b *Box) streamHorizons() map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, r := range b.follower.Table().Routes {
		if !r.Stream() || !r.Resumable {
			continue
		}
		for _, t := range r.Targets {
			out[t.Service] = max(out[t.Service], relay.Horizon(r))
		}
	}
	return out
}

// softwareVersions returns what this box knows of the software versions of a service.
func (b *Box) softwareVersions(service string, horizon time.Duration) streams.View {
	now, known := time.Now(), b.Directory()
	return streams.View{
		Versions: known.Versions(service, now, horizon),
		Complete: known.Known() && now.Sub(known.KnownSince()) >= horizon,
	}
}

// SendOrigin sends the software version that began a stream to another box.
func (p peers) SendOrigin(to string, o streams.Origin) {
	// Without the message the stream may be refused when its caller takes it up.
	_ = p.net.Send(to, boxwire.FromOrigin(o))
}

// SendOriginQuestion asks another box which software version began a stream.
func (p peers) SendOriginQuestion(to string, q origins.Question) {
	// The question is not repeated: its caller waits only for a moment.
	_ = p.net.Send(to, boxwire.FromOriginQuestion(q))
}

// SendOriginAnswer answers such a question.
func (p peers) SendOriginAnswer(to string, a origins.Answer) {
	_ = p.net.Send(to, boxwire.FromOriginAnswer(a))
}

// receiveOrigins handles a message about the software versions that began streams and reports whether
// it was one.
func (b *Box) receiveOrigins(from string, m boxwire.Message) bool {
	if b.routed == nil {
		return false
	}
	switch m := m.(type) {
	case *boxwire.Origin:
		b.routed.origins.Receive(m.Origin())
	case *boxwire.OriginQuestion:
		b.routed.origins.Answer(from, m.Question())
	case *boxwire.OriginAnswer:
		b.routed.origins.Answered(m.Answer())
	default:
		return false
	}
	return true
}
