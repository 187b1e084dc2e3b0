// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/state/example"
)

// Latency holds the latencies of calls of a plain service, direct and through a box, in
// microseconds, and the numbers of failed calls. Rate is in calls per second.
type Latency struct {
	Rate                     float64
	DirectP50, DirectP99     int64
	ThroughP50, ThroughP99   int64
	DirectFail, ThroughFails int
}

// MeasureLatency calls a plain service at a rate, alternating between direct calls and calls
// through a box, so that variations in the machine's speed affect both equally.
func MeasureLatency(ctx context.Context, rate float64, d time.Duration) (Latency, error) {
	t, _ := example.Table(example.Bogota)
	f, err := fleet.Start(ctx, fleet.Config{Table: t, Boxes: 1, Log: log.Discard()})
	if err != nil {
		return Latency{}, err
	}
	defer f.Stop()
	e, _ := f.Table().Endpoint("portal-franq-1")
	direct := "http://" + e.Address + "/portal/status"
	through := "http://" + f.Boxes[0].Box.CallerAddr() + "/portal/status"
	histograms := []*hdrhistogram.Histogram{
		hdrhistogram.New(1, histogramMax, histogramDigits), hdrhistogram.New(1, histogramMax, histogramDigits),
	}
	fails := make([]int, len(histograms))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxCallerConns}}
	var mutex sync.Mutex
	var wait sync.WaitGroup
	begin := time.Now()
	// Direct calls and calls through the box each run at the full rate.
	for n := 0; time.Since(begin) < d; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n) / (2 * rate) * float64(time.Second)))))
		which := n % 2
		wait.Go(func() {
			took, err := timeCall(ctx, client, []string{direct, through}[which])
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				fails[which]++
				return
			}
			_ = histograms[which].RecordValue(took.Microseconds())
		})
	}
	wait.Wait()
	return Latency{
		Rate:      rate,
		DirectP50: histograms[0].ValueAtQuantile(50), DirectP99: histograms[0].ValueAtQuantile(99),
		ThroughP50: histograms[1].ValueAtQuantile(50), ThroughP99: histograms[1].ValueAtQuantile(99),
		DirectFail: fails[0], ThroughFails: fails[1],
	}, nil
}

func timeCall(ctx context.Context, client *http.Client, url string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set(callerapi.HeaderAccount, "franquicia")
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusAccepted {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	return time.Since(begin), nil
}

// Print writes the latencies as one line of key=value pairs for scripts.
func (l Latency) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "bench latency rate=%.0f direct_p50_us=%d direct_p99_us=%d through_p50_us=%d through_p99_us=%d added_p99_us=%d failed=%d\n",
		l.Rate, l.DirectP50, l.DirectP99, l.ThroughP50, l.ThroughP99, l.ThroughP99-l.DirectP99, l.DirectFail+l.ThroughFails)
}
