//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["lasttenant"] = runLastTenant }

// runLastTenant takes the keys of the only tenant away by a configuration that names no tenant
// any more, waits longer than the bound, and sends requests with the old key, with a key that
// never existed and without one.
func runLastTenant(w *world) (bool, error) {
	const revokeBound = 5 * time.Second // revoke-ms
	only := []tenant{{Name: "hule930", Keys: []string{key1}}}
	if err := w.store.put(names["config"], config(7, only)); err != nil {
		return false, err
	}
	replica, err := w.newReplica(appName, "i-7f3a91c0")
	if err != nil {
		return false, err
	}
	if err := w.startRelays(3); err != nil {
		return false, err
	}
	check := func(key string) []outcome {
		var list []outcome
		for _, r := range w.relays {
			list = append(list, w.send(r, call{method: "GET", path: checkPath, key: key, deadline: 1500 * time.Millisecond}))
		}
		return list
	}
	for _, o := range check(key1) {
		if o.status != 200 {
			return false, fmt.Errorf("a request with a key in force got status %d, error %w", o.status, o.err)
		}
	}
	if w.trouble {
		if err := w.store.put(names["config"], config(12, []tenant{})); err != nil {
			return false, err
		}
	}
	time.Sleep(revokeBound + time.Second)
	var refused []outcome
	if late := check(key1); w.trouble { // otherwise the key is still in force
		refused = append(refused, late...)
	}
	refused = append(refused, check("anfqasnmgkcuyj8pjbvk")...)
	refused = append(refused, check("")...)
	output := replica.output()
	w.note("output of %s:\n%s", replica.id, output)
	for _, r := range w.relays {
		w.noteLog(r, "config")
	}
	broken := false
	for _, o := range refused {
		if strings.Contains(output, "runs "+o.id) {
			w.note("broken: %s ran %.1f s after its key was taken away, or without a key that any configuration held", o.id, (revokeBound + time.Second).Seconds())
			broken = true
		}
	}
	return broken, nil
}
