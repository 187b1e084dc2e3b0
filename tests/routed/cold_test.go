// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/state/pace"
)

const (
	// coldRate is how many requests per second a cold endpoint of these tests takes, and
	// coldBound the most that it may receive in any second.
	coldRate  = 4
	coldBound = coldRate*coldOverage + coldSlack
	// coldOverage and coldSlack are the boxes' settings for cold endpoints.
	coldOverage = 1.5
	coldSlack   = 5
	// coldPeriod is how long endpoints stay cold: longer than these tests take.
	coldPeriod = time.Minute
	// floodAnswers is the number of answers, served or refused, after which a flood ends: far more
	// than three cold endpoints take in that time.
	floodAnswers = 200
)

// newColdSite starts a site whose services limit the rate of requests to cold endpoints.
func newColdSite(t *testing.T, boxes int, endpoints ...standin.EndpointConfig) *site {
	t.Helper()
	s := &site{
		t: t, retrySlack: ampleRetrySlack, logs: &logBuffer{}, store: standin.NewStore(), endpoints: make(map[string]*standin.Endpoint),
		coldLimit: pace.Bound{Overage: coldOverage, Slack: coldSlack},
	}
	t.Cleanup(s.close)
	table := configuration(1)
	for _, service := range table["services"].([]any) {
		fields := service.(map[string]any)
		fields["cold_per_s"], fields["cold_start_s"] = coldRate, coldPeriod.Seconds()
	}
	s.store.Put("config", "main", table)
	for _, cfg := range endpoints {
		s.add(cfg)
	}
	for i := range boxes {
		s.start(fmt.Sprintf("box-%d", i+1))
	}
	for _, b := range s.boxes {
		s.eventually("the box is ready", func() bool { return b.Ready() })
	}
	return s
}

// flood sends requests to all boxes concurrently until stopped, and counts the answers.
func (s *site) flood(path string, boxes []*runningBox) (answered *atomic.Int64, stop func()) {
	answered = new(atomic.Int64)
	var senders sync.WaitGroup
	over := make(chan struct{})
	for _, b := range boxes {
		for range 8 {
			senders.Go(func() {
				for {
					select {
					case <-over:
						return
					default:
					}
					if a := s.send(b, http.MethodPost, path, "prompt", nil); a.status > 0 {
						answered.Add(1)
					}
				}
			})
		}
	}
	return answered, func() {
		close(over)
		senders.Wait()
	}
}

// knowsCold reports whether a box considers an endpoint cold.
func (b *runningBox) knowsCold(id string) bool {
	w, known := b.Directory().Status(id)
	return known && time.Now().Before(w.ColdEnd(coldPeriod))
}

// TestColdEndpoints floods cold endpoints through two of three boxes, since the limit
// holds for all boxes together.
func TestColdEndpoints(t *testing.T) {
	cases := map[string]struct {
		path      string
		endpoints []standin.EndpointConfig
		// untold is set if the endpoints are new and their entries in the store do not say that they are cold.
		untold bool
		// stop is set if a box, home of some groups, stops during the flood.
		stop bool
	}{
		"that serve plain requests":                {path: "/safe/x", endpoints: plainEndpoints()},
		"that prefill and decode":                  {path: "/stream/x", endpoints: modelEndpoints()},
		"that have just appeared and do not tell":  {path: "/safe/x", endpoints: plainEndpoints(), untold: true},
		"while their home ends":                    {path: "/safe/x", endpoints: plainEndpoints(), stop: true},
		"that prefill and decode while a box ends": {path: "/stream/x", endpoints: modelEndpoints(), stop: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("They receive no more than their limit in any second, but do receive requests", t, func() {
				s := newColdSite(t, 3)
				for _, cfg := range c.endpoints {
					e := standin.NewEndpoint(cfg)
					e.StartCold(standin.Cold{For: coldPeriod, Bound: coldBound, Unpublished: c.untold})
					s.announce(e)
				}
				for _, b := range s.boxes {
					for id := range s.endpoints {
						s.eventually("the box knows that the endpoint is cold", func() bool { return b.knowsCold(id) })
					}
				}
				answered, stop := s.flood(c.path, s.boxes[:2])
				s.eventually("some are served", func() bool { return s.allRuns() > 0 })
				if c.stop {
					s.boxes[2].stop()
					<-s.boxes[2].done
				}
				before := s.allRuns()
				s.eventually("more are served", func() bool { return s.allRuns() >= before+6 })
				s.eventually("many are answered", func() bool { return answered.Load() >= floodAnswers })
				stop()
				for _, e := range s.endpoints {
					fullest, falls := e.ColdPeak()
					convey.So(fullest, convey.ShouldBeLessThanOrEqualTo, int(coldBound))
					convey.So(falls, convey.ShouldEqual, 0)
				}
			})
		})
	}
}

// TestWarmAgain checks that an endpoint is no longer limited once its entry in the store says that it is warm.
func TestWarmAgain(t *testing.T) {
	convey.Convey("An endpoint that announces that it is warm is no longer limited", t, func() {
		s := newColdSite(t, 2)
		e := standin.NewEndpoint(plainEndpoints()[0])
		e.StartCold(standin.Cold{For: coldPeriod, Bound: coldBound})
		s.announce(e)
		for _, b := range s.boxes {
			s.eventually("the box knows that it is cold", func() bool { return b.knowsCold(e.ID) })
		}
		e.StartCold(standin.Cold{})
		s.store.Put("servers", e.ID, e.Spec(false))
		for _, b := range s.boxes {
			s.eventually("the box knows that it is warm", func() bool { return !b.knowsCold(e.ID) })
		}
		for range int(coldBound) {
			for _, b := range s.boxes {
				s.eventually("it is served", func() bool { return s.send(b, http.MethodPost, "/safe/x", "", nil).status == http.StatusOK })
			}
		}
		convey.So(len(e.Runs()), convey.ShouldBeGreaterThan, int(coldBound))
	})
}
