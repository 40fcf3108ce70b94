//go:build review3

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// ledgerTimeout is what the configuration says of the route, and answerSlack what the rule
	// allows beyond it.
	ledgerTimeout = 3 * time.Second
	answerSlack   = 500 * time.Millisecond
	// fewestLate is the number of requests without an answer from which the rule is broken, if
	// they are over a quarter.
	fewestLate = 8
)

// slowUpload has callers that send their bodies slowly, with a key that was taken away. They must
// have their refusal half a second after the timeout of the route at the latest.
func slowUpload(w *world) (bool, error) {
	const kept, withdrawn = soundKey, "anfqasnmgkcuyj8pjbvk"
	for i := range 3 {
		if _, err := w.startReplica(modelName, i, "--engine"); err != nil {
			return false, err
		}
	}
	if err := w.store.put(names["config_key"], configuration(11, kept, withdrawn)); err != nil {
		return false, err
	}
	if err := w.startRelays(3); err != nil {
		return false, err
	}
	if w.trouble {
		if err := w.store.put(names["config_key"], configuration(17, kept)); err != nil {
			return false, err
		}
		w.note("store: acknowledges version 17, which takes key %s away", withdrawn)
	}
	time.Sleep(revokeLimit + time.Second)
	for _, r := range w.relays {
		got := r.send(call{method: "POST", path: ledgerPath, key: withdrawn, body: "ledger 7", deadline: 15 * time.Second, parts: ledgerParts()})
		w.note("%s: a quick request with key %s: status %d", r.name, withdrawn, got.status)
	}

	const each = 4
	var mu sync.Mutex
	late := 0
	var wg sync.WaitGroup
	for _, r := range w.relays {
		for range each {
			wg.Go(func() {
				status, took, err := r.uploadSlowly(withdrawn)
				mu.Lock()
				defer mu.Unlock()
				w.note("%s: a slow request with key %s: status %d after %v, error %v", r.name, withdrawn, status, took.Round(time.Millisecond), err)
				if status == 0 || took > ledgerTimeout+answerSlack {
					late++
				}
			})
		}
	}
	wg.Wait()
	total := each * len(w.relays)
	w.note("requests without an answer %v after the start: %d of %d", ledgerTimeout+answerSlack, late, total)
	return late >= fewestLate && 4*late > total, nil
}

// uploadSlowly sends a request whose body takes longer than the timeout of its route, and returns
// the time until its answer begins.
func (r *relay) uploadSlowly(key string) (status int, took time.Duration, err error) {
	const pieces, interval, deadline = 40, 150 * time.Millisecond, 15 * time.Second
	piece := strings.Repeat("p", 700)
	conn, err := net.Dial("tcp4", r.front)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = conn.Close() }()
	began := time.Now()
	_ = conn.SetDeadline(began.Add(deadline))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n%s: m\r\n%s: 182040,600\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", ledgerPath, hostName,
		names["request_id"], newID(), names["deadline"], deadline.Milliseconds(), names["credential"], key, names["model"], names["tokens"],
		names["parts"], ledgerParts(), pieces*len(piece))
	if err != nil {
		return 0, 0, err
	}
	answered := make(chan struct{})
	go func() {
		for range pieces {
			select {
			case <-answered:
				return
			case <-time.After(interval):
			}
			if _, err := conn.Write([]byte(piece)); err != nil {
				return // the host has closed the connection; its answer is read
			}
		}
	}()
	defer close(answered)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	took = time.Since(began)
	if err != nil {
		return 0, took, err
	}
	_ = response.Body.Close()
	return response.StatusCode, took, nil
}

// ledgerParts returns the prompt parts of a request of the size on the sheet.
func ledgerParts() string {
	return "5c1e07a2:40," + newID()[:8] + ":182000"
}
