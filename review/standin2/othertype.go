//go:build review2

package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["othertype"] = runOtherType }

// runOtherType lets another writer spoil the entry of one of six engines until its next
// heartbeat. The entry names the plain service, and two of its fields have another type.
func runOtherType(w *world) (bool, error) {
	const heartbeat = 1200 * time.Millisecond
	if err := w.store.put(names["config"], config(7, []tenant{{Name: "hule930", Keys: []string{key1}}})); err != nil {
		return false, err
	}
	var engines []*replica
	for i := range 6 {
		e, err := w.newReplica(modelName, fmt.Sprintf("i-7f3a91c%d", i), "--events", fmt.Sprint(ledgerEvents))
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	for i := range 3 {
		if _, err := w.newReplica(appName, fmt.Sprintf("i-02d9e6b%d", i)); err != nil {
			return false, err
		}
	}
	if err := w.startRelays(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	spoiled := engines[0]
	go func() {
		time.Sleep(heartbeat)
		if !w.trouble {
			return
		}
		entry := spoiled.entry("ready")
		entry["service"], entry["stage"], entry["models"] = appName, 5, 7
		if err := w.store.put(names["servers"]+spoiled.id, entry); err != nil {
			w.note("spoil the entry: %v", err)
		}
		time.Sleep(heartbeat)
		if err := spoiled.register("ready"); err != nil {
			w.note("write the entry: %v", err)
		}
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	for i := range 120 {
		wg.Go(func() {
			o := w.send(w.relays[i%3], call{method: "POST", path: reservePath, key: key1, body: bytes.Repeat([]byte("x"), 600), deadline: 1500 * time.Millisecond})
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	output := spoiled.output()
	w.note("output of %s:\n%s", spoiled.id, output)
	for _, r := range w.relays {
		w.noteLog(r, `"upstream up"`, "unreadable")
	}
	broken, served := false, 0
	for _, o := range outcomes {
		if o.err == nil && o.status == 200 {
			served++
		}
		if strings.Contains(output, "runs "+o.id) {
			w.note("ROUTE: %s ran at %s, a replica of the models' service; its client got status %d", o.id, spoiled.id, o.status)
			broken = true
		}
	}
	if served == 0 {
		return broken, fmt.Errorf("none of %d requests was served", len(outcomes))
	}
	return broken, nil
}
