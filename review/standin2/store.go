//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the platform's store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created-at,omitempty"`
	Lease    int    `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// pageItems is the size of a page, which the platform limits to about 500 items.
const pageItems = 500

// store plays the platform's store. Its answers are linearizable.
type store struct {
	w       *world
	address string

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
}

func newStore(w *world) (*store, error) {
	s := &store{w: w, items: map[string]item{}, revision: 100, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["key"], s.serveKey)
	mux.HandleFunc("GET "+names["range"], s.serveRange)
	mux.HandleFunc("GET "+names["watch"], s.serveWatch)
	go func() { _ = http.Serve(listener, mux) }() // until the process ends
	return s, nil
}

// put writes a value as JSON and returns when the store has acknowledged it.
func (s *store) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.change(item{Key: key, Value: data})
	s.w.note("store: %s = %.300s", key, data)
	return nil
}

func (s *store) change(change item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	change.Revision = s.revision
	if known, ok := s.items[change.Key]; ok {
		change.Created = known.Created
	} else {
		change.Created = s.revision
	}
	if change.Deleted {
		delete(s.items, change.Key)
	} else {
		s.items[change.Key] = change
	}
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, found)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := []item{}
	for key, entry := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, entry)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(page) > pageItems
	writeJSON(w, map[string]any{"items": page[:min(len(page), pageItems)], "has-more": more, "as-of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64) // 0 is sound
	wait, _ := strconv.Atoi(query.Get("wait-ms"))             // 0 is sound
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []item{}
		s.mu.Lock()
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, map[string]any{"events": events, "as-of": asOf})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller may have gone
}

// Names of the deployment, as on a day of it.
const (
	hostName  = "ficu95.example"
	appName   = "wuno96b"
	modelName = "huvo11a"

	reservePath = "/puxa403/2f" // pallet-reserve, non_idempotent
	checkPath   = "/cufi504/2f" // stock-check, idempotent
	ledgerPath  = "/pufi791/2f" // returns-ledger, stream
)

// tenant is a tenant of a published configuration.
type tenant struct {
	Name string
	Keys []string
}

// config returns a configuration with the routes and services of the sheet.
func config(version int, tenants []tenant) map[string]any {
	c := mustDecode[map[string]any](configFile)
	list := []any{} // not null
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.Name, names["keys"]: t.Keys, "priority": 1})
	}
	c["version"], c["tenants"] = version, list
	return c
}
