//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// served is a request that a replica ran.
type served struct {
	id, method, uri, body, tenant string
	at                            time.Time
}

// replica is a stand-in of a replica. A replica with an engine answers with a stream.
type replica struct {
	id      string
	address string
	log     *recorder
	server  *http.Server
	// answer writes the answer to a request that runs.
	answer func(w http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	runs []served
}

func (w *world) addReplica(id string) (*replica, error) {
	r := &replica{id: id, log: w.log, answer: plainAnswer}
	address, server, err := w.listen(r)
	r.address, r.server = address, server
	return r, err
}

func plainAnswer(w http.ResponseWriter, r *http.Request) {
	body := "answer to " + r.Header.Get(names.RequestID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // the caller may be gone
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := in.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if expect := in.Header.Get(names.Expect); expect != "" && expect != r.id {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run := served{id: id, method: in.Method, uri: in.RequestURI, body: string(body), tenant: in.Header.Get(names.Tenant), at: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	r.log.printf("%s: runs %s: %s %s of %q", r.id, id, run.method, run.uri, run.tenant)
	w.Header().Set(names.Seal, "seal-of-"+r.id)
	r.answer(w, in)
}

func (r *replica) all() []served {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]served(nil), r.runs...)
}

// entry returns the entry of the replica in the store.
func (r *replica) entry(service, state string) map[string]any {
	return map[string]any{
		"service": service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 6, "state": state, names.ColdMs: 0, "seq": 1,
	}
}

// routeSpec is a route of the configuration.
type routeSpec struct {
	host, prefix, kind, service string
	goal, timeout               time.Duration
	resume                      bool
}

const (
	clientKey  = "key-of-team-1"
	clientTeam = "team-1"
)

// publish writes a configuration.
func (s *store) publish(version int, routes []routeSpec, services ...map[string]any) {
	var list []any
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("route-%d", i+1), "host": r.host, "prefix": r.prefix, "kind": r.kind, "service": r.service, "attempts": 2,
			"priority": 1, names.TimeoutMs: r.timeout.Milliseconds(), names.GoalMs: r.goal.Milliseconds(), names.GapGoalMs: 250, names.CanResume: r.resume,
		})
	}
	s.put(names.ConfigKey, map[string]any{
		"version": version, "routes": list, "services": services, "limits": map[string]any{names.MaxBodyBytes: 4 << 20},
		"tenants": []any{map[string]any{"name": clientTeam, names.APIKeys: []string{clientKey}}},
	})
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, names.MaxConns: 400}
}
