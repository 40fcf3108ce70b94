//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["entry"] = incompleteEntry }

// heartbeatInterval is the interval in which replicas write their entry.
const heartbeatInterval = 1200 * time.Millisecond

// incompleteEntry lets another writer spoil the entry of a model replica: fields are
// missing, and those that are left name another service. The replica writes its own entry
// again with its next heartbeat. Meanwhile the entry names no replica to use, so no request
// of the other service may reach the replica.
func incompleteEntry(w *world) (bool, error) {
	const host = "shop.example"
	s := newStore(w.log)
	address, _, err := w.listen(s.handler())
	if err != nil {
		return false, err
	}
	reserve := routeSpec{host: host, prefix: "/reserve/", kind: "non_idempotent", service: "franchise-app", goal: 100 * time.Millisecond, timeout: 800 * time.Millisecond}
	s.publish(1, []routeSpec{reserve}, plainService("franchise-app"), plainService("manifest-model"))
	var model *replica
	for i := range 2 * appReplicas {
		r, err := w.addReplica(fmt.Sprintf("i-%02d", i+1))
		if err != nil {
			return false, err
		}
		service := "franchise-app"
		if i >= appReplicas {
			service, model = "manifest-model", r
		}
		r.answer = func(w http.ResponseWriter, in *http.Request) {
			time.Sleep(15 * time.Millisecond) // the usual work
			body := service + " ran " + in.Header.Get(names.RequestID)
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = io.WriteString(w, body)
		}
		s.put(names.ServerPrefix+r.id, r.entry(service, "ready"))
	}
	if err := w.addRelays(3, address); err != nil {
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
		clients.Go(func() { w.callForever(ctx, r, http.MethodPost, host, "/reserve/7", i) })
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		s.put(names.ServerPrefix+model.id, map[string]any{
			"service": "franchise-app", "address": model.address, "zone": "zone-a", "slots": 6, "state": "ready",
		})
	}
	time.Sleep(heartbeatInterval)
	if w.trouble {
		s.put(names.ServerPrefix+model.id, model.entry("manifest-model", "ready"))
	}
	time.Sleep(3 * time.Second)
	cancel()
	clients.Wait()
	wrong := model.all()
	w.log.printf("requests of franchise-app that ran at %s, a replica of manifest-model: %d", model.id, len(wrong))
	return len(wrong) == 0, nil
}
