// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package poison

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 3, 12, 3, 0, 0, 0, time.UTC)

func fingerprintFor(name string) Fingerprint { return FingerprintOf(Request{Target: name}) }

// suspect returns a suspect that was running at some endpoints when they ended, each after the
// same time.
func suspect(name string, ran time.Duration, endpoints ...string) Suspect {
	s := Suspect{Fingerprint: fingerprintFor(name), Seen: start}
	for _, id := range endpoints {
		s = s.merge(Suspect{Ends: []End{{Endpoint: EndpointOf(id, 0), At: start, Ran: ran}}})
	}
	return s
}

// later returns the suspect with its times moved later.
func later(s Suspect, by time.Duration) Suspect {
	s.Seen = s.Seen.Add(by)
	for i := range s.Ends {
		s.Ends[i].At = s.Ends[i].At.Add(by)
	}
	return s
}

// isBlocked reports whether a request is kept from all endpoints.
func isBlocked(l Ledger, request string) bool {
	return len(l.BlockedBy(start, time.Minute, fingerprintFor(request), nil)) > 0
}

// blockedAlone returns the requests that are kept from all endpoints for what they are themselves.
func blockedAlone(suspects map[Fingerprint]Suspect, ends int) map[Fingerprint]bool {
	out := make(map[Fingerprint]bool)
	for _, g := range findBlocked(suspects, ends) {
		if len(g.members) == 1 {
			out[g.members[0]] = true
		}
	}
	return out
}

func ExampleLedger() {
	var known Ledger
	for _, endpoint := range []string{"e1", "e2", "e3"} {
		end := End{Endpoint: EndpointOf(endpoint, 0), At: start, Ran: 50 * time.Millisecond}
		known, _ = known.With(start, Suspect{Fingerprint: fingerprintFor("poison"), Ends: []End{end}, Seen: start})
		fmt.Println(endpoint, isBlocked(known, "poison"))
	}
	// Output:
	// e1 false
	// e2 false
	// e3 true
}

func TestBlocked(t *testing.T) {
	const soon, long = 50 * time.Millisecond, 2 * time.Second
	cases := map[string]struct {
		suspects []Suspect
		answered []string
		later    time.Duration
		want     []string
	}{
		"two ends are not enough":         {suspects: []Suspect{suspect("a", soon, "e1", "e2")}},
		"three are":                       {suspects: []Suspect{suspect("a", soon, "e1", "e2", "e3")}, want: []string{"a"}},
		"one end, reported three times":   {suspects: []Suspect{suspect("a", soon, "e1"), suspect("a", soon, "e1"), suspect("a", soon, "e1")}},
		"ends from different boxes":       {suspects: []Suspect{suspect("a", soon, "e1", "e2"), suspect("a", long, "e2", "e3")}, want: []string{"a"}},
		"another with fewer ends":         {suspects: []Suspect{suspect("a", soon, "e1", "e2", "e3", "e4"), suspect("b", soon, "e1", "e2", "e3")}, want: []string{"a"}},
		"another that ran longer":         {suspects: []Suspect{suspect("a", soon, "e1", "e2", "e3"), suspect("b", long, "e1", "e2", "e3")}, want: []string{"a"}},
		"another that ran shorter":        {suspects: []Suspect{suspect("a", long, "e1", "e2", "e3"), suspect("b", soon, "e1", "e2", "e3")}, want: []string{"b"}},
		"two poison requests":             {suspects: []Suspect{suspect("a", soon, "e1", "e2", "e3"), suspect("b", soon, "e4", "e5", "e6")}, want: []string{"a", "b"}},
		"two poison requests, shared end": {suspects: []Suspect{suspect("a", soon, "e1", "e2", "e3", "e4"), suspect("b", soon, "e4", "e5", "e6", "e7")}, want: []string{"a", "b"}},
		"another next to both":            {suspects: []Suspect{suspect("a", soon, "e1", "e2", "e3"), suspect("b", soon, "e4", "e5", "e6"), suspect("c", long, "e1", "e4", "e5")}, want: []string{"a", "b"}},
		"two at the same endpoints later": {suspects: []Suspect{suspect("a", soon, "e1", "e2", "e3"), later(suspect("b", soon, "e1", "e2", "e3"), 10*time.Second)}, want: []string{"a", "b"}},
		"one endpoint, three starts":      {suspects: []Suspect{suspect("a", soon, "e1"), later(suspect("a", soon, "e1"), 5*time.Second), later(suspect("a", soon, "e1"), 10*time.Second)}, want: []string{"a"}},
		"answered since":                  {suspects: []Suspect{suspect("a", soon, "e1", "e2", "e3")}, answered: []string{"a"}},
		"another one answered":            {suspects: []Suspect{suspect("a", soon, "e1", "e2", "e3")}, answered: []string{"b"}, want: []string{"a"}},
		"expired":                         {suspects: []Suspect{suspect("a", soon, "e1", "e2", "e3")}, later: Keep},
		"about to expire":                 {suspects: []Suspect{suspect("a", soon, "e1", "e2", "e3")}, later: Keep - 1, want: []string{"a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var known Ledger
			for _, s := range c.suspects {
				known, _ = known.With(start, s)
			}
			for _, a := range c.answered {
				known, _ = known.WithAnswered(start, fingerprintFor(a))
			}
			known = known.Without(start.Add(c.later))
			var want []Fingerprint
			for _, w := range c.want {
				want = append(want, fingerprintFor(w))
			}
			slices.SortFunc(want, compareFingerprints)
			if got := known.AllBlocked(); !slices.Equal(got, want) {
				t.Errorf("blocked are %v, want %v", got, want)
			}
		})
	}
}

func TestCountRestartsAfterAnswer(t *testing.T) {
	known, _ := Ledger{}.With(start, suspect("a", 0, "e1", "e2", "e3"))
	known, changed := known.WithAnswered(start, fingerprintFor("a"))
	if len(changed) != 1 || isBlocked(known, "a") {
		t.Fatal("blocked although it was answered")
	}
	if known, _ = known.With(start, suspect("a", 0, "e1", "e4", "e5")); isBlocked(known, "a") {
		t.Error("an end that another box reports late counts again")
	}
	if known, _ = known.With(start, suspect("a", 0, "e6")); !isBlocked(known, "a") {
		t.Error("three ends after the answer do not block")
	}
}

func TestRepeatedSuspectIsKept(t *testing.T) {
	known, _ := Ledger{}.With(start, suspect("a", 0, "e1", "e2", "e3"))
	again := start.Add(Keep / 2)
	for _, name := range []string{"a", "a", "b"} {
		next, changed := known.WithSeen(again, fingerprintFor(name))
		if first := name == "a" && known.suspects[fingerprintFor(name)].Seen.Equal(start); (len(changed) > 0) != first {
			t.Errorf("news after %s was seen again: %v", name, changed)
		}
		known = next
	}
	if !isBlocked(known.Without(start.Add(Keep)), "a") {
		t.Error("dropped although it arrived again")
	}
	if known.Without(again.Add(Keep)).Len() != 0 {
		t.Error("never expires")
	}
}

func TestExpiringSuspectsAreNotExchanged(t *testing.T) {
	known, _ := Ledger{}.With(start, suspect("a", 0, "e1"))
	late := start.Add(time.Duration(acceptShare * float64(Keep)))
	if len(known.Announced(late)) != 0 || known.Digest(late) != 0 {
		t.Error("announced just before it expires")
	}
	if other, changed := (Ledger{}).With(late, suspect("a", 0, "e1")); other.Len() != 0 || len(changed) != 0 {
		t.Error("accepted just before it expires")
	}
}

func TestBounds(t *testing.T) {
	var known Ledger
	known, _ = known.With(start, suspect("blocked", 0, "e1", "e2", "e3"))
	var flood []Suspect
	for i := range 3 * MaxSuspects {
		flood = append(flood, suspect(fmt.Sprint(i), 0, "e1"))
	}
	for i := range 3 * MaxEnds {
		flood = append(flood, suspect("many", 0, fmt.Sprint("m", i)))
	}
	known, _ = known.With(start, flood...)
	if known.Len() != MaxSuspects {
		t.Errorf("%d suspects are kept, want %d", known.Len(), MaxSuspects)
	}
	if !isBlocked(known, "blocked") {
		t.Error("a poison request was evicted in favor of others")
	}
	if s, _ := known.Suspect(fingerprintFor("many")); len(s.Ends) != MaxEnds || !isBlocked(known, "many") {
		t.Errorf("%d ends of one are kept, blocked %v", len(s.Ends), isBlocked(known, "many"))
	}
}

// randomSuspect returns a random suspect of a few endpoints, with some of the ends cleared.
func randomSuspect(t *rapid.T) Suspect {
	s := Suspect{Fingerprint: fingerprintFor(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")), Seen: start}
	for _, id := range rapid.SliceOfN(rapid.StringMatching("e[0-9]"), 0, 6).Draw(t, "ends") {
		s = s.merge(Suspect{Ends: []End{{
			Endpoint: EndpointOf(id, 0),
			// Boxes notice the same end up to a second apart; the next start ends ten seconds
			// later.
			At: start.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "start"))*10*time.Second +
				time.Duration(rapid.IntRange(0, 1000).Draw(t, "noticed"))*time.Millisecond),
			Ran:     time.Duration(rapid.IntRange(0, 3).Draw(t, "ran")),
			Cleared: rapid.Bool().Draw(t, "cleared"),
		}}})
	}
	return s
}

// TestBoxesAgree reports the same random suspects to two ledgers, in different orders and some
// of them twice. Both must hold and block the same suspects and have the same digest.
func TestBoxesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reported := rapid.SliceOfN(rapid.Custom(randomSuspect), 0, 12).Draw(t, "learnt")
		var one, other Ledger
		for _, s := range reported {
			one, _ = one.With(start, s)
		}
		again := append(slices.Clone(reported), reported[:len(reported)/2]...)
		for _, i := range rapid.Permutation(indices(len(again))).Draw(t, "order") {
			other, _ = other.With(start, again[i])
		}
		if !reflect.DeepEqual(one.Announced(start), other.Announced(start)) || !reflect.DeepEqual(one.AllBlocked(), other.AllBlocked()) {
			t.Fatalf("%v differs from %v", one, other)
		}
		if one.Digest(start) != other.Digest(start) {
			t.Fatal("the digests differ")
		}
		if _, changed := one.With(start, other.Announced(start)...); len(changed) != 0 {
			t.Fatal("what is known already counts as a change")
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// fleet simulates endpoints with requests in flight, some of which a poison request ends.
type fleet struct {
	random *rand.Rand
	// known is what the boxes know. Other requests run at each endpoint; one that is
	// interrupted is retried at another endpoint until it runs out of tries.
	known   Ledger
	others  [][]running
	starts  int
	arrived int
	at      time.Duration
}

// running is a request that runs at an endpoint.
type running struct {
	name  string
	since time.Duration
	tries int
}

const (
	fleetSize         = 7
	othersPerEndpoint = 6
	maxTries          = 4
	meanDuration      = 1500 * time.Millisecond
)

// scenarios says what ends endpoints during ten seconds in a fleet of seven endpoints, each of
// which runs six other requests that take 1.5 s on average.
var scenarios = map[string]scenario{
	"a poison request":      {poison: 1},
	"one with lost reports": {poison: 1, unreported: 0.3},
	"two poison requests":   {poison: 2},
	"spontaneous ends": {
		spontaneous: 0.4,
	},
	"both": {poison: 1, spontaneous: 0.2},
}

// scenario says what ends endpoints.
type scenario struct {
	// poison is the number of poison requests, each of which arrives every 200 ms, and
	// unreported the share of ends that are never reported by the box that had sent the
	// request.
	poison     int
	unreported float64
	// spontaneous is the chance that an endpoint ends for other reasons, in each 200 ms.
	spontaneous float64
}

// outcome counts the endpoints that poison requests ended, the other requests that arrived, and
// those of them that were ever classified as poison.
type outcome struct{ lost, arrived, wrong int }

// run simulates the scenario, with a number of ends that are needed to block a request.
func (p scenario) run(seed uint64, ends int) outcome {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), others: make([][]running, fleetSize)}
	wrong, lost := make(map[Fingerprint]bool), 0
	for step := range 100 {
		f.at = time.Duration(step) * 100 * time.Millisecond
		f.replaceFinished()
		blocked := blockedAlone(f.known.suspects, ends)
		if step%2 == 0 && f.random.Float64() < p.spontaneous {
			f.endEndpoint(f.random.IntN(fleetSize), "")
		}
		for i := range p.poison {
			if name := fmt.Sprint("poison", i); step%2 == 0 && !blocked[fingerprintFor(name)] {
				if f.random.Float64() < p.unreported {
					name = ""
				}
				f.endEndpoint(f.random.IntN(fleetSize), name)
				lost++
			}
		}
		for fingerprint := range blockedAlone(f.known.suspects, ends) {
			if fingerprint != fingerprintFor("poison0") && fingerprint != fingerprintFor("poison1") {
				wrong[fingerprint] = true
			}
		}
	}
	return outcome{lost: lost, arrived: f.arrived, wrong: len(wrong)}
}

// replaceFinished finishes requests that have run long enough, and starts others in their
// place.
func (f *fleet) replaceFinished() {
	for e := range f.others {
		f.others[e] = slices.DeleteFunc(f.others[e], func(r running) bool {
			finished := f.random.Float64() < float64(100*time.Millisecond)/float64(meanDuration)
			if finished {
				f.known, _ = f.known.WithAnswered(start.Add(f.at), fingerprintFor(r.name))
			}
			return finished
		})
		for len(f.others[e]) < othersPerEndpoint {
			f.arrived++
			f.others[e] = append(f.others[e], running{name: fmt.Sprint(f.arrived), since: f.at, tries: 1})
		}
	}
}

// endEndpoint ends an endpoint, because of a poison request if one is given. The other requests
// that ran there are retried elsewhere.
func (f *fleet) endEndpoint(at int, poison string) {
	f.starts++
	endpoint, now := EndpointOf(fmt.Sprint(f.starts), 0), start.Add(f.at)
	record := func(name string, ran time.Duration) {
		f.known, _ = f.known.With(now, Suspect{Fingerprint: fingerprintFor(name), Ends: []End{{Endpoint: endpoint, At: now, Ran: ran}}, Seen: now})
	}
	if poison != "" {
		record(poison, 50*time.Millisecond)
	}
	interrupted := f.others[at]
	f.others[at] = nil
	for _, r := range interrupted {
		record(r.name, f.at-r.since+50*time.Millisecond)
		if r.tries < maxTries {
			to := (at + 1 + f.random.IntN(fleetSize-1)) % fleetSize
			f.others[to] = append(f.others[to], running{name: r.name, since: f.at, tries: r.tries + 1})
		}
	}
}

// BenchmarkEndsToBlock compares numbers of ends that block a request: how many endpoints poison
// requests end, and how many other requests are classified as poison.
func BenchmarkEndsToBlock(b *testing.B) {
	for name, p := range scenarios {
		for _, ends := range []int{1, 2, 3, 4} {
			b.Run(fmt.Sprintf("%s/ends=%d", name, ends), func(b *testing.B) {
				var sum outcome
				count := 0
				for b.Loop() {
					for seed := range uint64(200) {
						r := p.run(seed, ends)
						sum.lost, sum.arrived, sum.wrong = sum.lost+r.lost, sum.arrived+r.arrived, sum.wrong+r.wrong
						count++
					}
				}
				b.ReportMetric(float64(sum.lost)/float64(count), "endpoints/run")
				b.ReportMetric(float64(sum.wrong)/float64(count), "others/run")
				b.ReportMetric(float64(sum.arrived)/float64(count), "arrived/run")
			})
		}
	}
}

// TestOthersAreNotBlocked checks that a poison request ends exactly endsToBlock endpoints, and
// that no other request is classified as poison.
func TestOthersAreNotBlocked(t *testing.T) {
	for seed := range uint64(200) {
		if r := scenarios["a poison request"].run(seed, endsToBlock); r.lost != endsToBlock || r.wrong > 0 {
			t.Errorf("seed %d: %d endpoints ended and %d others were classified as poison", seed, r.lost, r.wrong)
		}
	}
}
