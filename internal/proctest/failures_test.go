package proctest

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
)

const (
	nobody      = -1
	leavingTime = 5 * time.Second // after which a leaving upstream gets no new work
)

var allEngines = []int{0, 1, 2}

// TestRequestsEndUnderFaults runs a mix of requests while a process dies,
// freezes or goes silent. Two engines and two hosts are always left, so a
// request through a living host that was sent is answered whole.
func TestRequestsEndUnderFaults(t *testing.T) {
	cases := []struct {
		name       string
		fault      func(f *fleet)
		alive      []int
		killedHost int
	}{
		{"engine killed", func(f *fleet) { f.engines[0].kill() }, []int{1, 2}, nobody},
		{"engine frozen", func(f *fleet) { f.engines[0].signal(syscall.SIGSTOP) }, []int{1, 2}, nobody},
		{"engine silent", func(f *fleet) { f.control("POST", f.engineAt[0], "silent?on=true", nil) }, allEngines, nobody},
		{"connections silent", func(f *fleet) { f.control("POST", f.engineAt[0], "mute-connections", nil) }, allEngines, nobody},
		{"host killed", func(f *fleet) { f.hosts[0].kill() }, allEngines, 0},
		{"platform killed", func(f *fleet) { f.platform.kill() }, allEngines, nobody},
		{"platform down and engine killed", func(f *fleet) {
			f.control("POST", f.platAt, "down?on=true", nil)
			f.engines[0].kill()
		}, []int{1, 2}, nobody},
		{"platform stale and host killed", func(f *fleet) {
			f.control("POST", f.platAt, "stale?on=true", nil)
			f.hosts[0].kill()
		}, allEngines, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			results := f.mix(45, func() { c.fault(f) })
			f.checkTrue(results, c.alive, c.killedHost)
			for _, r := range results {
				assert.Assert(t, r.code == code.OK || r.code.Outcome() == code.NotRun, "%s was sent and failed with %s after %v of %v\n%s",
					r.id, r.code.Name(), r.took, r.timeout, f.linesOf(r.id))
			}
		})
	}
}

// TestHostFrozen freezes a host with requests in flight and wakes it up late.
func TestHostFrozen(t *testing.T) {
	f := newFleet(t)
	results := f.mix(30, func() {
		f.hosts[0].signal(syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		f.hosts[0].signal(syscall.SIGCONT)
	})
	f.checkTrue(results, allEngines, nobody)
}

// TestIssuedKeyThroughTwoHosts sends copies under one key through two hosts
// while its issuer is frozen, awake again, killed and replaced.
func TestIssuedKeyThroughTwoHosts(t *testing.T) {
	f := newFleet(t)
	f.control("POST", f.bookingAt, "delay?duration=1s", nil)
	key := f.issueKey(0, token)
	const body = `{"room":"1"}`
	var group sync.WaitGroup
	var codes [3]code.Code
	send := func(at, host int) {
		group.Go(func() { codes[at], _ = f.call(host, token, key, body, 8*time.Second) })
	}
	send(0, 0)
	send(1, 1)
	time.Sleep(300 * time.Millisecond)
	f.hosts[0].signal(syscall.SIGSTOP)
	send(2, 1)
	time.Sleep(2 * time.Second)
	f.hosts[0].signal(syscall.SIGCONT)
	group.Wait()
	assert.Equal(t, f.runsOfKey(key), 1)
	t.Logf("codes around the freeze: %v", codes)
	replay, err := f.call(2, token, key, body, 8*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, replay, code.OK)
	f.hosts[0].kill()
	lost, err := f.call(1, token, key, body, 8*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, lost, code.KeyIssuerLost, lost.Name())
	f.hosts[0].start()
	f.waitReady(0)
	for host := range fleetHosts {
		lost, err := f.call(host, token, key, body, 8*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, lost, code.KeyIssuerLost, lost.Name())
	}
	assert.Equal(t, f.runsOfKey(key), 1)
}

// TestIssuerKilledInTheMiddle kills the issuer while the service runs the call.
func TestIssuerKilledInTheMiddle(t *testing.T) {
	f := newFleet(t)
	f.control("POST", f.bookingAt, "delay?duration=1s", nil)
	key := f.issueKey(0, token)
	var group sync.WaitGroup
	var told code.Code
	group.Go(func() { told, _ = f.call(1, token, key, "{}", 8*time.Second) })
	time.Sleep(300 * time.Millisecond)
	f.hosts[0].kill()
	group.Wait()
	assert.Equal(t, told.Outcome(), code.MayHaveRun, told.Name())
	f.hosts[0].start()
	f.waitReady(0)
	again, err := f.call(2, token, key, "{}", 8*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, again, code.KeyIssuerLost, again.Name())
	assert.Equal(t, f.runsOfKey(key), 1)
}

// TestLeavingUpstreamGetsNoNewWork marks an engine as leaving under load.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := newFleet(t)
	var left time.Time
	results := f.mix(60, func() {
		entry := f.entries.Entries[fleetHosts]
		entry.Leaving = true
		f.control("PUT", f.platAt, "entry", entry)
		left = time.Now()
	})
	f.checkTrue(results, allEngines, nobody)
	time.Sleep(time.Until(left.Add(leavingTime)))
	f.checkTrue(f.mix(60, func() {}), allEngines, nobody)
	var runs []enginestub.Run
	f.log(f.engineAt[0], &runs)
	for _, run := range runs {
		assert.Assert(t, run.AcceptedMS <= left.Add(leavingTime).UnixMilli(), "%s began after the leaving time", run.Attempt)
	}
	assert.Assert(t, len(runs) > 0)
}

// TestPlannedStopCutsNothing stops a host while it relays long streams.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := newFleet(t)
	const streams = 12
	results := make([]*result, streams)
	var group sync.WaitGroup
	for n := range streams {
		group.Go(func() {
			results[n] = f.complete(0, 1_000, fmt.Sprintf("long %d", n), 1_500, true, time.Minute)
		})
	}
	time.Sleep(time.Second)
	f.hosts[0].signal(syscall.SIGTERM)
	group.Wait()
	f.checkTrue(results, allEngines, nobody)
	for n, r := range results {
		assert.Assert(t, r.whole, "stream %d: %s %v", n, r.code.Name(), r.broken)
	}
	<-f.hosts[0].ended
	assert.Equal(t, f.hosts[0].command.ProcessState.ExitCode(), 0)
}

// TestHostileInputRunsNothing sends wrong tokens, keys and bodies.
func TestHostileInputRunsNothing(t *testing.T) {
	f := newFleet(t)
	foreign := f.issueKey(0, otherToken)
	key := f.issueKey(0, token)
	forged := key[:len(key)-1] + "A"
	if forged == key {
		forged = key[:len(key)-1] + "B"
	}
	cases := []struct {
		name, bearer, key, body string
		want                    code.Code
	}{
		{"wrong token", "nobody", key, "{}", code.TeamTokenInvalid},
		{"no token", "", key, "{}", code.TeamTokenInvalid},
		{"no key", token, "", "{}", code.KeyRequired},
		{"own key", token, "6fa459ea-ee8a-3ca4-894e-db77e160355e", "{}", code.KeyNotIssued},
		{"foreign key", token, foreign, "{}", code.KeyForeign},
		{"forged key", token, forged, "{}", code.KeyNotIssued},
		{"long key", token, strings.Repeat("a", 4096), "{}", code.KeyNotIssued},
		{"large body", token, key, strings.Repeat("x", 17<<20), code.BodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for host := range fleetHosts {
				got, err := f.call(host, c.bearer, c.key, c.body, 5*time.Second)
				assert.NilError(t, err)
				assert.Equal(t, got, c.want, got.Name())
			}
		})
	}
	var calls []struct{}
	f.log(f.bookingAt, &calls)
	assert.Equal(t, len(calls), 0)
}
