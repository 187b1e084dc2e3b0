// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httphead

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"runridge.example/runridge/tests/peer"
)

// pieces is a reader that returns at most size bytes at once.
type pieces struct {
	rest io.Reader
	size int
}

func (p *pieces) Read(b []byte) (int, error) { return p.rest.Read(b[:min(len(b), p.size)]) }

// sizes are the sizes of pieces in which answers arrive, in bytes.
var sizes = []int{1, 2, 3, 7, 64, 4096}

const limit = 4096

// readAll returns what a reader passes on of a text that arrives in pieces.
func readAll(text string, size int) (r *Reader, passed string, err error) {
	r = NewReader(&pieces{strings.NewReader(text), size}, limit)
	r.Expect(nil)
	data, err := io.ReadAll(r)
	return r, string(data), err
}

func TestMalformedPart(t *testing.T) {
	// Forms that are left to the parser, which refuses them.
	parsed := map[string]bool{
		"length that is no number": true, "length with a sign": true, "two lengths": true, "encoding not known": true, "two encodings": true,
	}
	want := map[string]Part{
		"status 000": PartStatus, "switch of protocols": PartStatus, "version 2.0": PartVersion, "control byte in a reason": PartReason,
		"blank in a name": PartName, "blank after Content-Length": PartName, "blank before the first name": PartName,
		"control byte in a value": PartValue, "control byte in a continued value": PartValue, "chunks in version 1.0": PartFraming,
		"after an interim, a name": PartName,
	}
	for name, answer := range peer.MalformedAnswers() {
		t.Run(name, func(t *testing.T) {
			for _, size := range sizes {
				r, passed, err := readAll(answer.Text(), size)
				var malformed *MalformedError
				if parsed[name] {
					if err != nil || passed != answer.Text() || !r.Complete() {
						t.Errorf("pieces of %d: %q, error %v", size, passed, err)
					}
					continue
				}
				if !errors.As(err, &malformed) || !errors.Is(r.Err(), err) || r.Complete() || strings.HasSuffix(passed, "\r\n\r\n") && passed != answer.Interim {
					t.Fatalf("pieces of %d: %q, error %v", size, passed, err)
				}
				if part, known := want[name]; known && malformed.Part != part {
					t.Errorf("pieces of %d: %s, want %s", size, malformed.Part, part)
				}
				if passed == "" {
					t.Errorf("pieces of %d: nothing was passed on", size)
				}
			}
		})
	}
}

func TestSoundAnswersPass(t *testing.T) {
	for name, answer := range peer.MendableAnswers() {
		t.Run(name, func(t *testing.T) {
			for _, size := range sizes {
				if r, passed, err := readAll(answer.Text(), size); err != nil || passed != answer.Text() || !r.Complete() {
					t.Errorf("pieces of %d: %q, error %v", size, passed, err)
				}
			}
		})
	}
}

func TestBodyIsNotChecked(t *testing.T) {
	text := peer.RawAnswer{Body: "X Foo: b\r\nHTTP/1.1 000 OK\r\n\r\n\x00" + strings.Repeat("b", 2*limit)}.Text()
	for _, size := range sizes {
		if _, passed, err := readAll(text, size); err != nil || passed != text {
			t.Errorf("pieces of %d: %d of %d bytes, error %v", size, len(passed), len(text), err)
		}
	}
}

func TestLimit(t *testing.T) {
	head := func(size int) string {
		const rest = "HTTP/1.1 200 OK\r\nX-Long: \r\n\r\n"
		return "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", size-len(rest)) + "\r\n\r\n"
	}
	cases := map[string]struct {
		text string
		err  error
	}{
		"as long as may be":         {text: head(limit)},
		"a byte longer":             {text: head(limit + 1), err: ErrTooLong},
		"with interim answers":      {text: "HTTP/1.1 100 Continue\r\n\r\n" + head(limit), err: ErrTooLong},
		"a line without an end":     {text: strings.Repeat("x", 2*limit), err: ErrTooLong},
		"interim answers, no other": {text: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", limit), err: ErrTooLong},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, size := range sizes {
				_, passed, err := readAll(c.text, size)
				if !errors.Is(err, c.err) || len(passed) > limit {
					t.Errorf("pieces of %d: %d bytes, error %v, want %v", size, len(passed), err, c.err)
				}
			}
		})
	}
}

func TestUnreadBytesAreChecked(t *testing.T) {
	text := peer.RawAnswer{Fields: []string{"X Foo: b"}}.Text()
	for split := range len(text) {
		r := NewReader(strings.NewReader(text[split:]), limit)
		unread := []byte(text[:split])
		r.Expect(unread)
		clear(unread)
		passed, err := io.ReadAll(r)
		if malformed := new(MalformedError); !errors.As(err, &malformed) || !strings.HasPrefix(text, string(passed)) {
			t.Errorf("split at %d: %q, error %v", split, passed, err)
		}
	}
}

func TestBytesOfNoAnswerPass(t *testing.T) {
	r := NewReader(bytes.NewReader([]byte("X Foo: b\r\n")), limit)
	if passed, err := io.ReadAll(r); err != nil || string(passed) != "X Foo: b\r\n" || r.Complete() {
		t.Errorf("%q, error %v", passed, err)
	}
}

func ExampleReader() {
	r := NewReader(strings.NewReader("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"), limit)
	r.Expect(nil)
	_, err := io.ReadAll(r)
	fmt.Println(err)
	// Output: malformed answer: status
}
