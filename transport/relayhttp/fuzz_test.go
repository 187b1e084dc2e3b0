// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayhttp

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzFraming compares checkHead with net/http on the same head: where both accept it, they
// must agree on where the request ends.
func FuzzFraming(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \tchunked\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1 \r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nX: 1\r\n Content-Length: 4\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		// readHead reads up to the first empty line only.
		if end := bytes.Index(head, headEnd); end != len(head)-len(headEnd) {
			return
		}
		got, err := checkHead(head)
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			return
		}
		chunked := len(req.TransferEncoding) > 0 && strings.EqualFold(req.TransferEncoding[0], "chunked")
		if chunked != got.chunked {
			t.Fatalf("chunked: %v here, %v there", got.chunked, chunked)
		}
		if !chunked && max(req.ContentLength, 0) != got.length {
			t.Fatalf("length: %d here, %d there", got.length, req.ContentLength)
		}
	})
}
