//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is an item of the store or the deletion of one.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

// pageItems is the size of a page. The protocol allows up to about 500 items, and the site
// files set 50.
const pageItems = 50

// store is a stand-in of the platform's store. It keeps its whole history.
type store struct {
	// lag returns how old the content of a read may be that allows stale content. The
	// argument is the key after which the page begins.
	lag func(after string) time.Duration
	log *recorder

	mu       sync.Mutex
	history  []entry
	revision uint64
	changed  chan struct{}
}

func newStore(log *recorder) *store {
	return &store{lag: func(string) time.Duration { return 0 }, log: log, revision: 10, changed: make(chan struct{})}
}

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("store: " + err.Error())
	}
	s.change(entry{Key: key, Value: data})
}

func (s *store) remove(key string) {
	s.change(entry{Key: key, Deleted: true})
}

func (s *store) change(e entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e.Revision, e.at = s.revision, time.Now()
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
	s.log.printf("store: acknowledges revision %d, key %s, %d bytes, deleted %v", e.Revision, e.Key, len(e.Value), e.Deleted)
}

// content returns the content as of a time, sorted by key, and its revision.
func (s *store) content(at time.Time) ([]entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := map[string]entry{}
	revision := uint64(10)
	for _, e := range s.history {
		if e.at.After(at) {
			break
		}
		revision = e.Revision
		if e.Deleted {
			delete(items, e.Key)
		} else {
			items[e.Key] = e
		}
	}
	list := make([]entry, 0, len(items))
	for _, e := range items {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	return list, revision
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.RangePath, s.serveRange)
	mux.HandleFunc("GET "+names.WatchPath, s.serveWatch)
	return mux
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, stale := query.Get("after"), query.Get(names.StaleOK) == "1"
	at := time.Now()
	if stale {
		at = at.Add(-s.lag(after))
	}
	items, revision := s.content(at)
	page, more := pageOf(items, query.Get("prefix"), after)
	keys := make([]string, len(page))
	for i, e := range page {
		keys[i] = e.Key
	}
	s.log.printf("store: page after %q, stale allowed %v, age %v, as of %d: %s", after, stale, time.Since(at).Round(10*time.Millisecond), revision, strings.Join(keys, " "))
	writeJSON(w, map[string]any{"items": page, names.HasMore: more, names.AsOf: revision})
}

// pageOf returns the first page of the items with a prefix after a key, and whether there
// are more.
func pageOf(items []entry, prefix, after string) (page []entry, more bool) {
	page = []entry{}
	for _, e := range items {
		if !strings.HasPrefix(e.Key, prefix) || e.Key <= after {
			continue
		}
		if len(page) == pageItems {
			return page, true
		}
		page = append(page, e)
	}
	return page, false
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get(names.WaitMs))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []entry{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, names.AsOf: revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, map[string]any{"events": events, names.AsOf: revision})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		panic(http.ErrAbortHandler)
	}
}
