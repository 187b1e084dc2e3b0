// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httphead checks the heads of HTTP/1 answers as they are read from a connection. net/http accepts
// heads that RFC 9112 forbids, and hides some of what would show it: all readers of answers read through
// this package.
package httphead

import (
	"bytes"
	"errors"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// Part is a part of the head of an answer.
type Part string

// The parts of a head.
const (
	PartVersion Part = "version"
	PartStatus  Part = "status"
	PartReason  Part = "reason"
	PartName    Part = "field_name"
	PartValue   Part = "field_value"
	PartFraming Part = "framing"
)

// MalformedError is the error of an answer whose head is malformed. It holds no bytes of the peer.
type MalformedError struct {
	// Part is what is malformed.
	Part Part
}

// Error describes the error.
func (e *MalformedError) Error() string { return "malformed answer: " + string(e.Part) }

// ErrTooLong is the error of an answer whose head, with all interim answers before it, exceeds its limit.
var ErrTooLong = errors.New("the head of the answer is too long")

// Reader reads a connection and checks the head of each answer that is expected. A read that follows a
// malformed line of a head returns a MalformedError, so that nobody gets the whole head. It is safe to call
// Expect while a Read waits.
type Reader struct {
	source io.Reader
	limit  int

	mutex sync.Mutex
	// unread are bytes that were read before and go before the source.
	unread []byte
	// due is true until the final head that is expected has ended; complete is true after that.
	due, complete bool
	// left is how many bytes the head may still have, and line the part of its current line that was read.
	left int
	line []byte
	head headState
	err  error
}

// NewReader returns a reader that passes all bytes on until an answer is expected. A head may have limit
// bytes.
func NewReader(source io.Reader, limit int) *Reader { return &Reader{source: source, limit: limit} }

// Expect starts the check of the next answer. The bytes of unread, which were read before but are not used,
// belong to it.
func (r *Reader) Expect(unread []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unread = bytes.Clone(unread)
	r.due, r.complete, r.left, r.line, r.head = true, false, r.limit, nil, headState{}
}

// Complete reports whether the whole head of the expected answer was read and is sound.
func (r *Reader) Complete() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.complete
}

// Err returns the MalformedError or ErrTooLong that a read returned or will return; nil if there is none. Parsers
// may return an error of their own instead.
func (r *Reader) Err() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.err
}

// Read reads from the connection. Errors of its own are MalformedError and ErrTooLong.
func (r *Reader) Read(p []byte) (int, error) {
	if n, done, err := r.readUnread(p); done {
		return n, err
	}
	n, err := r.source.Read(p)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n = r.check(p[:n])
	if n > 0 && r.err != nil {
		return n, nil
	}
	if r.err != nil {
		return 0, r.err
	}
	return n, err
}

// readUnread reads from the unread bytes. It returns false if the source is to be read instead.
func (r *Reader) readUnread(p []byte) (n int, done bool, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.err != nil {
		return 0, true, r.err
	}
	if len(r.unread) == 0 {
		return 0, false, nil
	}
	n = copy(p, r.unread)
	r.unread = r.unread[n:]
	return r.check(p[:n]), true, nil
}

// check checks the bytes of heads at the start of p, and returns how many bytes may be passed on. If it sets
// the error, these reach into the malformed line: net/http sends a request again if the first byte of its
// answer cannot be read. The mutex is held.
func (r *Reader) check(p []byte) int {
	passed := 0
	for r.due && passed < len(p) {
		end := bytes.IndexByte(p[passed:], '\n')
		size := end + 1
		if end < 0 {
			size = len(p) - passed
		}
		if size > r.left {
			r.err = ErrTooLong
			return passed + r.left
		}
		r.left -= size
		r.line = append(r.line, p[passed:passed+size]...)
		if end < 0 {
			return len(p)
		}
		if r.err = r.endLine(); r.err != nil {
			return passed + max(end, 1)
		}
		passed += size
	}
	return len(p)
}

// endLine checks the line that has ended. The mutex is held.
func (r *Reader) endLine() error {
	line := strings.TrimSuffix(strings.TrimSuffix(string(r.line), "\n"), "\r")
	r.line = r.line[:0]
	ended, err := r.head.add(line)
	switch {
	case err != nil:
		return err
	case ended && r.head.interim:
		r.head = headState{}
	case ended:
		r.due, r.complete, r.line = false, true, nil
	}
	return nil
}

// headState is what is known of a head from its lines so far.
type headState struct {
	// begun is true after the status line, and fields after the first field.
	begun, fields bool
	interim       bool
	// http10 is true for an answer in HTTP/1.0.
	http10 bool
}

// add checks the next line of the head, without its end, and reports whether it is the last.
func (h *headState) add(line string) (ended bool, err error) {
	switch {
	case !h.begun:
		h.begun = true
		return false, h.checkStatus(line)
	case line == "":
		return true, nil
	case line[0] == ' ' || line[0] == '\t':
		return false, h.checkContinued(line)
	default:
		h.fields = true
		return false, h.checkField(line)
	}
}

// statusPattern splits a status line (RFC 9112, section 4). The reason and the blank before it may be missing,
// and the status may have several blanks before it.
var statusPattern = regexp.MustCompile(`^HTTP/1\.([0-9]) +([^ ]*)(?: (.*))?$`)

const (
	minStatus = 100
	maxStatus = 599
	// switchingProtocols is an answer only to requests that ask for another protocol, and these ask for none.
	switchingProtocols = 101
	firstFinalStatus   = 200
)

// checkStatus checks a status line. A line that has another form than those of HTTP/1 is of a wrong version.
func (h *headState) checkStatus(line string) error {
	parts := statusPattern.FindStringSubmatch(line)
	if parts == nil {
		return &MalformedError{PartVersion}
	}
	h.http10 = parts[1] == "0"
	status, err := strconv.ParseUint(parts[2], 10, 16)
	if err != nil || len(parts[2]) != 3 || status < minStatus || status > maxStatus || status == switchingProtocols {
		return &MalformedError{PartStatus}
	}
	h.interim = status < firstFinalStatus
	if !httpguts.ValidHeaderFieldValue(parts[3]) {
		return &MalformedError{PartReason}
	}
	return nil
}

// checkField checks the line of a field.
func (h *headState) checkField(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return &MalformedError{PartName}
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return &MalformedError{PartValue}
	}
	if h.http10 && strings.EqualFold(name, "Transfer-Encoding") {
		// HTTP/1.0 has no chunks: the end of such an answer is not known (RFC 9112, section 6.1).
		return &MalformedError{PartFraming}
	}
	return nil
}

// checkContinued checks a line that continues the value of the field before it.
func (h *headState) checkContinued(line string) error {
	if !h.fields {
		return &MalformedError{PartName}
	}
	if !httpguts.ValidHeaderFieldValue(line) {
		return &MalformedError{PartValue}
	}
	return nil
}
