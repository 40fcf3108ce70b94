//go:build review2

package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

func init() { cases["reborn"] = runReborn }

const key1 = "n2ctnfzs989anu6wsjnb"

// runReborn cuts one of six replicas off while it writes answers without a length. Half of the
// replicas give such answers, to a few of their requests. The
// replica crashes behind the cut and starts again under its id before the cut heals.
func runReborn(w *world) (bool, error) {
	if err := w.store.put(names["config"], config(7, []tenant{{Name: "hule930", Keys: []string{key1}}})); err != nil {
		return false, err
	}
	var replicas []*replica
	for i := range 6 {
		r, err := w.newReplica(appName, fmt.Sprintf("i-7f3a91c%d", i), "--rest", "400ms", fmt.Sprintf("--unframed=%v", i < 3))
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	if err := w.startRelays(3); err != nil {
		return false, err
	}
	usual := call{method: "POST", path: reservePath, key: key1, body: bytes.Repeat([]byte("x"), 600), deadline: 1500 * time.Millisecond}
	if err := w.warmUp(usual, replicas, 140); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	late := usual
	late.path += "?" + lateQuery
	outcomes := make([]outcome, 18)
	var wg sync.WaitGroup
	for i := range outcomes {
		wg.Go(func() {
			outcomes[i] = w.send(w.relays[i%3], late)
		})
	}
	time.Sleep(150 * time.Millisecond)
	cut := replicas[0]
	if w.trouble {
		cut.link.setCut(true)
		time.Sleep(100 * time.Millisecond)
		cut.kill()
		time.Sleep(250 * time.Millisecond)
		if err := cut.start(); err != nil {
			return false, err
		}
		time.Sleep(400 * time.Millisecond)
		cut.link.setCut(false)
	}
	wg.Wait()
	broken, served := false, 0
	for _, o := range outcomes {
		if o.err == nil && o.status == 200 {
			served++
		}
		if o.err == nil && o.status == 200 && o.body != wholeBody(o.id) {
			w.note("MIXED: %s was answered 200 and complete with %d of the replica's %d bytes", o.id, len(o.body), answerBytes)
			broken = true
		}
	}
	if err := checkUnframed(replicas); err != nil {
		return broken, err
	}
	w.note("output of %s:\n%s", cut.id, cut.output())
	for _, r := range w.relays {
		w.noteLog(r, `"upstream up"`, "unframed end")
	}
	if late := cut.count("unframed"); late == 0 || served == 0 {
		return broken, fmt.Errorf("the replica gave %d late answers, %d were served", late, served)
	}
	return broken, nil
}
