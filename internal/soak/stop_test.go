package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/platform/platformtest"
)

const (
	longService = "long"
	longTimeout = 10 * time.Second
	// longWork ends within the grace for requests that are sent before the stop only.
	longWork = 3 * time.Second
)

// Guards against requests that may not be repeated, are sent to a host that is being stopped
// and are cut without an answer at the end of its grace.
func TestLongWorkIsRefusedOrEndsInAPlannedStop(t *testing.T) {
	for name, warm := range map[string]bool{"no request before": false, "requests before": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stopBesideLongWork(t, warm)
		})
	}
}

func stopBesideLongWork(t *testing.T, warm bool) {
	seed := *firstSeed + 9_000
	if warm {
		seed++
	}
	w := newWorld(t, seed, 1)
	replica := platformtest.NewPacedReplica("long-1", 0, platformtest.Pace{Slots: 200, Work: longWork})
	t.Cleanup(replica.Close)
	w.mu.Lock()
	w.config.long = true
	w.publish()
	key := w.config.keys["team-1"]
	w.mu.Unlock()
	w.store.PublishServer(replica.ID, longService, replica.Address(), "domain-0", "ready", 200)
	time.Sleep(stableTime) // until the host knows both
	h := w.hosts[0]
	var group sync.WaitGroup
	var mu sync.Mutex
	byStatus := map[int]int{}
	send := func(name string, at time.Duration) {
		group.Go(func() {
			id := name + "-" + fmt.Sprint(at.Milliseconds())
			ctx, cancel := context.WithTimeout(context.Background(), longTimeout+time.Second)
			defer cancel()
			answer := platformtest.Call(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, platformtest.CallerRequest{
				ID: id, Method: http.MethodPost, Address: h.at(portCallers), Host: callHost, Path: "/long/" + id, Key: key, Body: "body", Deadline: longTimeout,
			})
			ran := false
			for _, r := range replica.Runs() {
				ran = ran || r.RequestID() == id
			}
			mu.Lock()
			defer mu.Unlock()
			byStatus[answer.Status]++
			assert.Check(t, answer.Err == nil || !ran, "%s was cut while it ran: %v", id, answer.Err)
			assert.Check(t, answer.Status != http.StatusServiceUnavailable || !ran, "%s was refused and ran", id)
		})
	}
	if warm {
		send("before", 0)
		time.Sleep(longWork + 500*time.Millisecond)
	}
	const every = 40 * time.Millisecond
	for at := -800 * time.Millisecond; at < graceTime; at += every {
		if at == 0 {
			h.signal(syscall.SIGTERM, true)
		}
		send("request", at)
		time.Sleep(every)
	}
	group.Wait()
	w.logf("requests by status: %v", byStatus)
	assert.Assert(t, byStatus[http.StatusOK] > 0 && byStatus[http.StatusServiceUnavailable] > 0, "%v", byStatus)
}
