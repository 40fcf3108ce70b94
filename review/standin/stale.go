//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["stale"] = staleList }

const (
	stableTime = 3000 * time.Millisecond // stable-ms of the small deployments
	drainTime  = 2000 * time.Millisecond // drain-ms
	staleAge   = 3 * time.Second         // of the later pages of a list that may be stale
	// modelReplicas and appReplicas are those of the grown deployment.
	modelReplicas = 69
	appReplicas   = 3
	staleHosts    = 6
)

// staleList restarts a host soon after a replica has left. The list of replicas has two
// pages. Both may be seconds old: the first is current, the second three seconds old. The
// replica that left must get no request from a host that is in touch. With RELEASE=1 the
// model replicas are replaced meanwhile.
func staleList(w *world) (bool, error) {
	const host = "shop.example"
	s := newStore(w.log)
	s.lag = func(after string) time.Duration {
		if after == "" {
			return 0
		}
		return staleAge
	}
	address, _, err := w.listen(s.handler())
	if err != nil {
		return false, err
	}
	check := routeSpec{host: host, prefix: "/check/", kind: "idempotent", service: "franchise-app", goal: 100 * time.Millisecond, timeout: 800 * time.Millisecond}
	s.publish(1, []routeSpec{check}, plainService("franchise-app"), plainService("manifest-model"))
	for i := range modelReplicas {
		// No route leads to these, so nothing listens there.
		idle := replica{address: "127.0.0.1:9"}
		s.put(fmt.Sprintf("%si-%02d", names.ServerPrefix, i+1), idle.entry("manifest-model", "ready"))
	}
	var all []*replica
	for i := range appReplicas {
		r, err := w.addReplica(fmt.Sprintf("i-%02d", modelReplicas+i+1))
		if err != nil {
			return false, err
		}
		all = append(all, r)
		s.put(names.ServerPrefix+r.id, r.entry("franchise-app", "ready"))
	}
	time.Sleep(staleAge + time.Second)

	if err := w.addRelays(staleHosts, address); err != nil {
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for i, r := range w.relays {
		clients.Go(func() { w.callForever(ctx, r, http.MethodGet, host, "/check/7", i) })
	}
	time.Sleep(4 * time.Second)

	if os.Getenv("RELEASE") == "1" {
		stop := make(chan struct{})
		defer close(stop)
		go s.release(stop)
	}

	leaving := all[appReplicas-1]
	s.remove(names.ServerPrefix + leaving.id)
	left := time.Now()
	time.Sleep(time.Second)
	since := left.Add(drainTime)
	if restarted := w.relays[0]; w.trouble {
		restarted.kill()
		time.Sleep(200 * time.Millisecond)
		if err := restarted.start(); err != nil {
			return false, err
		}
		since = latest(since, restarted.startedAt.Add(stableTime))
	}
	w.log.printf("all hosts are in touch, and the bound of the replica that left is over, at %.3f", since.Sub(w.log.start).Seconds())
	time.Sleep(time.Until(since.Add(5 * time.Second)))
	cancel()
	clients.Wait()

	late := 0
	byClient := map[string]int{}
	for _, run := range leaving.all() {
		if run.at.After(since) {
			late++
			byClient[run.id[:2]]++
		}
	}
	w.log.printf("of these by client, where client 0 calls the host that was killed: %v", byClient)
	w.log.printf("%s left at %.3f; requests that reached it since %.3f: %d", leaving.id, left.Sub(w.log.start).Seconds(), since.Sub(w.log.start).Seconds(), late)
	return late == 0, nil
}

// release replaces the model replicas one after the other until stop is closed.
func (s *store) release(stop <-chan struct{}) {
	const step = 300 * time.Millisecond
	idle := replica{address: "127.0.0.1:9"}
	for i := 1; i <= modelReplicas; i++ {
		old := fmt.Sprintf("%si-%02d", names.ServerPrefix, i)
		for _, change := range []func(){
			func() { s.put(fmt.Sprintf("%si-9%02d", names.ServerPrefix, i), idle.entry("manifest-model", "ready")) },
			func() { s.put(old, idle.entry("manifest-model", "draining")) },
			func() { s.remove(old) },
		} {
			select {
			case <-stop:
				return
			case <-time.After(step):
				change()
			}
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// callForever sends requests to a host, one after the other, until ctx ends.
func (w *world) callForever(ctx context.Context, r *relay, method, host, path string, client int) {
	const interval = 50 * time.Millisecond
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("c%d-%d", client, n)
		status, body := call(ctx, transport, r.front, method, host, path, id)
		w.log.printf("client %d: %s to %s: status %d, body %q", client, id, r.name, status, body)
		time.Sleep(interval)
	}
}

// call sends one request without a body. The status is 0 without an answer.
func call(ctx context.Context, transport *http.Transport, address, method, host, path, id string) (int, string) {
	const deadline = 1500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set(names.RequestID, id)
	request.Header.Set(names.Credential, clientKey)
	request.Header.Set(names.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}
