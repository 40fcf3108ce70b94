//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is an item of the store, or the removal of one.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created-at,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// backup is a copy of the store.
type backup struct {
	revision uint64
	items    map[string]entry
	history  int
}

// store plays the platform's store. Its answers are linearizable.
type store struct {
	w       *world
	address string

	mu       sync.Mutex
	era      int
	revision uint64
	items    map[string]entry
	history  []entry
	away     bool
	changed  chan struct{} // closed at each change
}

func newStore(w *world) (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{w: w, address: listener.Addr().String(), era: 1, revision: 400, items: map[string]entry{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["range_path"], s.serveRange)
	mux.HandleFunc("GET "+names["watch_path"], s.serveWatch)
	go func() { _ = http.Serve(listener, mux) }() // until this process ends
	return s, nil
}

// put writes a value. Its return is the acknowledgement.
func (s *store) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return fmt.Errorf("the store is away")
	}
	s.revision++
	e := entry{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if known, ok := s.items[key]; ok {
		e.Created = known.Created
	}
	s.items[key] = e
	s.history = append(s.history, e)
	s.notify()
	return nil
}

// notify wakes the watches. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyNow makes a copy of the store.
func (s *store) copyNow() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{s.revision, maps.Clone(s.items), len(s.history)}
}

// goAway lets the store close all connections without an answer.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// comeBack lets the store answer again with the content of a copy.
func (s *store) comeBack(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.era = false, s.era+1
	s.revision, s.items, s.history = b.revision, maps.Clone(b.items), slices.Clone(s.history[:b.history])
	s.notify()
}

func (s *store) answer(w http.ResponseWriter, era, status int, value any) {
	w.Header().Set(names["era"], strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller may have gone
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	s.mu.Lock()
	away, era, revision := s.away, s.era, s.revision
	var page []entry
	for key, e := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			page = append(page, e)
		}
	}
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	slices.SortFunc(page, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	more := len(page) > pageItems
	page = append([]entry{}, page[:min(len(page), pageItems)]...)
	s.answer(w, era, http.StatusOK, map[string]any{"items": page, "has-more": more, "as-of": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait-ms")) // none is 0
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	begun := s.era
	s.mu.Unlock()
	for over := false; ; {
		s.mu.Lock()
		away, era, revision, changed := s.away, s.era, s.revision, s.changed
		events := []entry{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case away || era != begun:
			panic(http.ErrAbortHandler) // a watch that waits is cut
		case after > revision:
			s.answer(w, era, http.StatusGone, map[string]any{})
			return
		case len(events) > 0 || over:
			s.answer(w, era, http.StatusOK, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// remove removes an entry, as the platform does after three heartbeats of silence.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, entry{Key: key, Revision: s.revision, Deleted: true})
	s.notify()
}
