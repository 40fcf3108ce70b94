package proctest

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
)

const (
	lossBound  = 3               // engines that content may cost if its copies follow each other
	spreadTime = 5 * time.Second // in which strikes reach all hosts
)

// restartEngines starts each engine again that ends, until stop is called, and
// counts how often one ended.
func (f *fleet) restartEngines() (lost *atomic.Int64, stop func()) {
	var group sync.WaitGroup
	lost = new(atomic.Int64)
	done := make(chan struct{})
	for n := range fleetEngines {
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-f.engines[n].ended:
					lost.Add(1)
					f.engines[n].start()
				}
			}
		})
	}
	return lost, func() {
		close(done)
		group.Wait()
	}
}

// TestCrashingPromptIsRefused sends a prompt that crashes every engine through
// all hosts, with other requests beside it.
func TestCrashingPromptIsRefused(t *testing.T) {
	f := newFleet(t)
	lost, stop := f.restartEngines()
	defer stop()
	var group sync.WaitGroup
	var others []*result
	group.Go(func() { others = f.mix(30, func() {}) })
	time.Sleep(500 * time.Millisecond)
	for n := range 2 * fleetHosts {
		before := lost.Load()
		copied := f.complete(n%fleetHosts, 100, enginestub.CrashMarker, 50, false, 30*time.Second)
		assert.Assert(t, !copied.whole)
		t.Logf("through %s: %s, %d engines lost", hostName(n%fleetHosts), copied.code.Name(), lost.Load())
		if lost.Load() > before {
			time.Sleep(spreadTime) // the bound holds for copies that are sent after the strikes of the last arrived
		}
	}
	last := f.complete(1, 100, enginestub.CrashMarker, 50, false, 30*time.Second)
	assert.Equal(t, last.code, code.RequestQuarantined, last.code.Name())
	assert.Assert(t, lost.Load() <= lossBound, "%d engines lost", lost.Load())
	group.Wait()
	for _, r := range others {
		assert.Assert(t, r.code == code.OK || r.code.Outcome() == code.NotRun, "%s was sent and failed with %s", r.id, r.code.Name())
		assert.Assert(t, r.code != code.RequestQuarantined, "%s is innocent", r.id)
	}
}

// TestBrokenServiceRunsOnce cuts the connection of each call after it ran. No
// layer may send it again, net/http with its rule for idempotency keys included.
func TestBrokenServiceRunsOnce(t *testing.T) {
	f := newFleet(t)
	warm := f.issueKey(0, token)
	answered, err := f.call(0, token, warm, "warm", 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, answered, code.OK)
	f.control("POST", f.bookingAt, "close-before-answer?on=true", nil)
	for host := range fleetHosts {
		key := f.issueKey(0, token)
		first, err := f.call(host, token, key, "{}", 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, first, code.UpstreamLost, first.Name())
		for again := range fleetHosts {
			second, err := f.call(again, token, key, "{}", 5*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, second, code.KeyOutcomeUnknown, second.Name())
		}
		assert.Equal(t, f.runsOfKey(key), 1)
	}
	f.control("POST", f.bookingAt, "close-before-answer?on=false", nil)
	replayed, err := f.call(2, token, warm, "warm", 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, replayed, code.OK)
	assert.Equal(t, f.runsOfKey(warm), 1)
}
