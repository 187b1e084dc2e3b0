// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"

	"runridge.example/runridge/platform/standin"
)

// storeFront is the platform's store as routers see it: lists that may be stale are some seconds old.
type storeFront struct {
	server *httptest.Server
	behind time.Duration
	mutex  sync.Mutex
	// lists has the lists of each kind, the oldest first.
	lists map[string][]listAt
}

// listAt is a list as it was at some time.
type listAt struct {
	at   time.Time
	body []byte
}

const listInterval = 100 * time.Millisecond

// newStoreFront starts a front of a store whose stale lists are so far behind.
func newStoreFront(s *standin.Store, behind time.Duration, closed <-chan struct{}) *storeFront {
	f := &storeFront{behind: behind, lists: make(map[string][]listAt)}
	direct := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.Address()})
	// Routers end their waits themselves.
	direct.ErrorLog = log.New(io.Discard, "", 0)
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if body := f.stale(r); body != nil {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(body)
			return
		}
		direct.ServeHTTP(w, r)
	}))
	go func() {
		for {
			for _, kind := range wire.Kinds {
				f.keep(s.Address(), kind)
			}
			select {
			case <-closed:
				return
			case <-time.After(listInterval):
			}
		}
	}()
	return f
}

func (f *storeFront) address() string { return f.server.Listener.Addr().String() }

// keep keeps the present list of a kind, and drops those that are too old.
func (f *storeFront) keep(store, kind string) {
	path := wire.ObjectsPath + kind
	now := time.Now()
	resp, err := http.Get("http://" + store + path)
	if err != nil {
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := append(f.lists[path], listAt{at: now, body: body})
	for len(list) > 1 && now.Sub(list[1].at) >= f.behind {
		list = list[1:]
	}
	f.lists[path] = list
}

// stale returns the answer to a call for a list that may be stale, and nil for any other call.
func (f *storeFront) stale(r *http.Request) []byte {
	q := r.URL.Query()
	if r.Method != http.MethodGet || q.Get("stale") != "1" || q.Has("watch") || q.Has("after") {
		return nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if list := f.lists[r.URL.Path]; len(list) > 0 {
		return list[0].body
	}
	return nil
}
