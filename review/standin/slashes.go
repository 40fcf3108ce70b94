//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["slashes"] = doubleSlash }

// doubleSlash sends requests whose path begins with two slashes. A change of the
// configuration adds a route for all paths of their host. Replicas must get the paths that
// the callers sent.
func doubleSlash(w *world) (bool, error) {
	const host = "shop.example"
	s := newStore(w.log)
	address, _, err := w.listen(s.handler())
	if err != nil {
		return false, err
	}
	reserve := routeSpec{host: host, prefix: "/reserve/", kind: "non_idempotent", service: "franchise-app", goal: 100 * time.Millisecond, timeout: 800 * time.Millisecond}
	s.publish(1, []routeSpec{reserve}, plainService("franchise-app"))
	var all []*replica
	for i := range appReplicas {
		r, err := w.addReplica(fmt.Sprintf("i-%02d", i+1))
		if err != nil {
			return false, err
		}
		all = append(all, r)
		s.put(names.ServerPrefix+r.id, r.entry("franchise-app", "ready"))
	}
	if err := w.addRelays(2, address); err != nil {
		return false, err
	}
	for _, r := range w.relays {
		if err := r.start(); err != nil {
			return false, err
		}
	}
	for _, r := range w.relays {
		if err := r.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	sent := map[string]string{} // paths by request
	round := func(name string) error {
		for i, r := range w.relays {
			for j, path := range []string{"/reserve/7", "/reserve//7", "//reserve/7", "//pallets/reserve/7?shop=3"} {
				id := fmt.Sprintf("%s-%d-%d", name, i, j)
				sent[id] = path
				if err := w.post(r, host, path, id); err != nil {
					return err
				}
			}
		}
		return nil
	}
	if err := round("before"); err != nil {
		return false, err
	}
	if w.trouble {
		everything := reserve
		everything.prefix = "/"
		s.publish(2, []routeSpec{reserve, everything}, plainService("franchise-app"))
	}
	time.Sleep(3 * time.Second) // the propagation time is 2 s
	if err := round("after"); err != nil {
		return false, err
	}
	held := true
	for _, r := range all {
		for _, run := range r.all() {
			if run.method != http.MethodPost || run.uri != sent[run.id] || run.body != bodyOf(run.id) {
				held = false
				w.log.printf("%s ran %s with the path %q instead of %q", r.id, run.id, run.uri, sent[run.id])
			}
		}
	}
	return held, nil
}

func bodyOf(id string) string {
	return "{\"pallet\":7,\"request\":\"" + id + "\"}"
}

// post sends a request with the exact path on a connection of its own.
func (w *world) post(r *relay, host, path, id string) error {
	conn, err := net.DialTimeout("tcp4", r.front, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return err
	}
	body := bodyOf(id)
	lines := []string{
		"POST " + path + " HTTP/1.1", "Host: " + host, names.RequestID + ": " + id, names.Deadline + ": 1500",
		names.Credential + ": " + clientKey, fmt.Sprintf("Content-Length: %d", len(body)), "", body,
	}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	w.log.printf("client: %s, path %q, to %s: status %d, body %q", id, path, r.name, response.StatusCode, answer)
	return nil
}
