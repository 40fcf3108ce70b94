//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["rebornstream"] = runRebornStream }

// ledgerEvents is the number of events of a stream, as on the sheet.
const ledgerEvents = 19

// runRebornStream cuts one of six engines off before the first byte of its answers has
// passed. The engine crashes behind the cut in the middle of its streams, which have neither a
// length nor chunks, and starts again under its id before the cut heals. The cut is shorter
// than the keep-alive probes of the relay take to give a connection up.
func runRebornStream(w *world) (bool, error) {
	if err := w.store.put(names["config"], config(7, []tenant{{Name: "hule930", Keys: []string{key1}}})); err != nil {
		return false, err
	}
	var engines []*replica
	for i := range 6 {
		e, err := w.newReplica(modelName, fmt.Sprintf("i-7f3a91c%d", i), "--events", fmt.Sprint(ledgerEvents), "--work", "300ms", "--gap", "50ms", fmt.Sprintf("--unframed=%v", i < 3))
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := w.startRelays(3); err != nil {
		return false, err
	}
	usual := call{
		method: "POST", path: ledgerPath, key: key1, body: []byte("ledger"), deadline: 15 * time.Second,
		header: map[string]string{names["model"]: "m", names["tokens"]: "40000,650"},
	}
	if err := w.warmUp(usual, engines, 140); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	outcomes := make([]outcome, 18)
	var wg sync.WaitGroup
	for i := range outcomes {
		wg.Go(func() {
			outcomes[i] = w.send(w.relays[i%3], call{
				method: "POST", path: ledgerPath + "?" + lateQuery, key: key1, body: []byte("ledger"), deadline: 15 * time.Second,
				header: map[string]string{
					names["model"]: "m", names["tokens"]: "40000,650",
					names["prompt"]: fmt.Sprintf("5c1e07a2:40,%x:39960", 0xe4402b00+i),
				},
			})
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	cut := engines[0]
	for _, e := range engines[:3] { // the one with most late streams, among those with unframed ones
		if strings.Count(e.output(), lateQuery) > strings.Count(cut.output(), lateQuery) {
			cut = e
		}
	}
	if w.trouble {
		cut.link.setCut(true)
		time.Sleep(700 * time.Millisecond)
		cut.kill()
		time.Sleep(200 * time.Millisecond)
		if err := cut.start(); err != nil {
			return false, err
		}
		time.Sleep(250 * time.Millisecond)
		cut.link.setCut(false)
	}
	wg.Wait()
	broken, served := false, 0
	for _, o := range outcomes {
		if o.err == nil && o.status == 200 {
			served++
		}
		if o.err == nil && o.status == 200 && o.body != wholeStream(ledgerEvents, o.id) {
			w.note("ORDER: %s ended as complete with %d of %d events", o.id, strings.Count(o.body, "id: "), ledgerEvents)
			broken = true
		}
	}
	if err := checkUnframed(engines); err != nil {
		return broken, err
	}
	w.note("output of %s:\n%s", cut.id, cut.output())
	for _, r := range w.relays {
		w.noteLog(r, `"upstream up"`, "unframed end")
	}
	if late := cut.count("unframed"); late == 0 || served == 0 {
		return broken, fmt.Errorf("the engine gave %d late answers, %d were served", late, served)
	}
	return broken, nil
}
