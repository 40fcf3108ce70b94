//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["fraction"] = runFraction }

// runFraction takes a key away by a configuration that also publishes new mean token counts of
// the engines. With the disruption the means are fractions, without it whole numbers.
func runFraction(w *world) (bool, error) {
	const (
		revokeBound = 5 * time.Second // revoke-ms
		key2        = "anfqasnmgkcuyj8pjbvk"
	)
	both := []tenant{{Name: "hule930", Keys: []string{key1, key2}}}
	if err := w.store.put(names["config"], config(7, both)); err != nil {
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
	for _, o := range append(check(key1), check(key2)...) {
		if o.status != 200 {
			return false, fmt.Errorf("a request with a key in force got status %d, error %w", o.status, o.err)
		}
	}
	changed := config(12, []tenant{{Name: "hule930", Keys: []string{key1}}})
	usual := map[string]any{"prompt": 11402, "answer": 1259}
	if w.trouble {
		usual = map[string]any{"prompt": 11402.6, "answer": 1259.2}
	}
	engine := changed["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
	engine["usual"] = usual
	if err := w.store.put(names["config"], changed); err != nil {
		return false, err
	}
	time.Sleep(revokeBound + time.Second)
	revoked := check(key2)
	check(key1)
	output := replica.output()
	w.note("output of %s:\n%s", replica.id, output)
	for _, r := range w.relays {
		w.note("readiness of %s: %d", r.host, status(r.ready, "/ready"))
		w.noteLog(r, "config")
	}
	broken := false
	for _, o := range revoked {
		if strings.Contains(output, "runs "+o.id) {
			w.note("CONFIG: %s ran %.1f s after its key was taken away", o.id, (revokeBound + time.Second).Seconds())
			broken = true
		}
	}
	return broken, nil
}
