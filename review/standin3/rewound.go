//go:build review3

package main

import (
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment.
const (
	revokeLimit = 5 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// rewoundRestart withdraws a key. Once the time for that is over, the store is away for a moment
// and comes back from a copy that still has the key, and one host is killed and starts again
// before the operator has written the configuration again. No request that is sent with the key
// after the time for the withdrawal may run.
func rewoundRestart(w *world) (bool, error) {
	const kept, withdrawn = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"
	var replicas []*replica
	for i := range 3 {
		r, err := w.startReplica(appName, i)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	if err := w.store.put(names["config_key"], configuration(11, kept, withdrawn)); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, r := range replicas {
		go r.beat(stop)
	}
	if err := w.startRelays(3); err != nil {
		return false, err
	}
	with := func(key string) call {
		return call{method: "POST", path: reservePath, key: key, body: "pallet 7", deadline: 1500 * time.Millisecond}
	}
	for _, r := range w.relays {
		for _, key := range []string{kept, withdrawn} {
			got := r.send(with(key))
			w.note("%s: before the change, key %s: status %d", r.name, key, got.status)
		}
	}
	time.Sleep(3 * time.Second)
	older, copied := w.store.copyNow(), time.Now()
	w.note("store: a copy of it is made at revision %d", older.revision)
	time.Sleep(100 * time.Millisecond)
	if err := w.store.put(names["config_key"], configuration(17, kept)); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	w.note("store: acknowledges version 17, which takes key %s away", withdrawn)
	time.Sleep(revokeLimit - time.Second)
	for _, r := range w.relays {
		w.note("%s: key %s: status %d", r.name, withdrawn, r.send(with(withdrawn)).status)
	}
	time.Sleep(time.Until(acknowledged.Add(revokeLimit - 300*time.Millisecond)))

	restarted := w.relays[2]
	if w.trouble {
		w.store.goAway()
		w.note("store: away")
		restarted.process.kill()
		w.note("%s: killed", restarted.name)
		time.Sleep(400 * time.Millisecond)
		w.store.comeBack(older)
		w.note("store: back from the copy, which is %v old, with version 11", time.Since(copied).Round(time.Millisecond))
		time.Sleep(600 * time.Millisecond)
		if err := restarted.start(); err != nil {
			return false, err
		}
	}
	back := time.Now()

	// The client of the withdrawn key goes on to send, at each host.
	var mu sync.Mutex
	sent := map[string]time.Time{}
	statuses := map[string]map[int]int{}
	var wg sync.WaitGroup
	for _, r := range w.relays {
		statuses[r.name] = map[int]int{}
		wg.Go(func() {
			for time.Since(back) < 4*time.Second {
				got := r.send(with(withdrawn))
				mu.Lock()
				sent[got.id] = got.sentAt
				statuses[r.name][got.status]++
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(1400 * time.Millisecond)
	if w.trouble {
		if err := w.store.put(names["config_key"], configuration(17, kept)); err != nil {
			return false, err
		}
		w.note("store: the operator has written version 17 again")
	}
	wg.Wait()
	for _, r := range w.relays {
		w.note("%s: statuses for key %s: %v", r.name, withdrawn, statuses[r.name])
		w.note("%s: at the end, key %s: status %d", r.name, kept, r.send(with(kept)).status)
	}
	restarted.noteLog(`"configuration accepted"`)
	return w.ranAfter(replicas, sent, acknowledged.Add(revokeLimit))
}

// ranAfter reports whether a replica ran one of the requests that was sent after a time.
func (w *world) ranAfter(replicas []*replica, sent map[string]time.Time, limit time.Time) (bool, error) {
	late := 0
	for _, r := range replicas {
		lines, err := r.output()
		if err != nil {
			return false, err
		}
		for _, line := range lines {
			fields := strings.Fields(line)
			if len(fields) < 3 || fields[1] != "runs" {
				continue
			}
			if at, ok := sent[fields[2]]; ok && at.After(limit) {
				late++
				w.note("replica %s ran request %s, sent %v after the limit", r.id, fields[2], at.Sub(limit).Round(time.Millisecond))
			}
		}
	}
	w.note("requests with the withdrawn key that were sent after the limit and ran: %d", late)
	return late > 0, nil
}

// beat registers a replica again and again, as replicas do.
func (r *replica) beat(stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			_ = r.register() // the next one makes up for it
		}
	}
}
