// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// waitTimeout bounds the wait for an expected event.
const waitTimeout = 10 * time.Second

// blockedWriter is an output that blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	text    strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.Write(p)
}

func TestWriter(t *testing.T) {
	convey.Convey("A blocked output does not block writers, and dropped lines are counted", t, func() {
		out := &blockedWriter{release: make(chan struct{})}
		w := NewWriter(out)
		for range linesPerSecond + queuedLines + 10 {
			n, err := w.Write([]byte("line\n"))
			convey.So(n, convey.ShouldEqual, 5)
			convey.So(err, convey.ShouldBeNil)
		}
		close(out.release)
		w.Close()
		// Close gives up after a timeout; the test waits for the writer's goroutine to
		// finish.
		<-w.done
		convey.So(out.text.String(), convey.ShouldContainSubstring, "log_lines_dropped count=")
		convey.So(strings.Count(out.text.String(), "line\n"), convey.ShouldBeLessThanOrEqualTo, linesPerSecond+queuedLines)
	})
	convey.Convey("Close does not wait for an output that is blocked for good", t, func() {
		out := &blockedWriter{release: make(chan struct{})}
		defer close(out.release)
		w := NewWriter(out)
		_, _ = w.Write([]byte("line\n"))
		closed := make(chan struct{})
		go func() {
			w.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(waitTimeout):
			t.Error("Close is blocked by the output")
		}
	})
	convey.Convey("The rate is limited, and tokens are refilled over time", t, func() {
		now := time.Unix(1_700_000_000, 0)
		w := &Writer{now: func() time.Time { return now }, tokens: linesPerSecond}
		admitted := 0
		for range linesPerSecond + 100 {
			if w.admit() {
				admitted++
			}
		}
		convey.So(admitted, convey.ShouldEqual, linesPerSecond)
		now = now.Add(time.Second / 2)
		convey.So(w.admit(), convey.ShouldBeTrue)
	})
}
