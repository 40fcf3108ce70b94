package processtest

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/load"
)

const (
	faultAfter       = 2 * time.Second // from the start of the mix
	faultMixDuration = 5 * time.Second
	// stopMixDuration exceeds the time in which a leaving host still admits.
	stopMixDuration = 9 * time.Second
	stopTimeout     = 30 * time.Second
)

// shortMix is the mix without prompts that exceed one engine.
func shortMix(duration time.Duration) *load.Workload {
	w := mix()
	w.Duration = load.Duration(duration)
	w.Streams = w.Streams[:2]
	return w
}

// during runs the short mix and bookings, and a fault among them.
func (f *fleet) during(t *testing.T, duration time.Duration, fault func()) (*load.Workload, []load.Result, []booking) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var bookings []booking
	var background sync.WaitGroup
	background.Go(func() { bookings = f.book(ctx) })
	background.Go(func() {
		time.Sleep(faultAfter)
		fault()
	})
	w := shortMix(duration)
	results := f.runMix(t.Context(), w, mixSeed)
	background.Wait()
	return w, results, bookings
}

// stop asks the daemon to stop and returns its exit code.
func (h *hostNode) stop(t *testing.T) int {
	t.Helper()
	assert.NilError(t, h.command.Process.Signal(syscall.SIGTERM))
	select {
	case <-h.exited:
	case <-time.After(stopTimeout):
		t.Fatalf("%s did not stop within %v", h.name, stopTimeout)
	}
	return h.command.ProcessState.ExitCode()
}

// A planned stop cuts off no request: the host finishes what it has admitted.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := startFleet(t, 3, 4)
	stopping := f.hosts[1]
	var exitCode int
	w, results, bookings := f.during(t, stopMixDuration, func() { exitCode = stopping.stop(t) })
	assert.Equal(t, exitCode, 0)
	for i := range results {
		answer := results[i].Answer
		refusedToConnect := answer.Code == load.NoAnswer && strings.Contains(answer.Detail, "connection refused")
		notRun := answer.Code > code.OK && answer.Code.Outcome() == code.NotRun
		assert.Check(t, results[i].Whole || refusedToConnect || notRun,
			"request %s: code %d: %s", answer.RequestID, answer.Code, answer.Detail)
	}
	f.checkResults(t, w, results, stopping)
	f.checkBookings(t, bookings)
	f.waitMemoryFree(t, memoryBound)
}

// All connections that are open go silent for good while new ones work.
func TestSilentConnections(t *testing.T) {
	f := startFleet(t, 3, 4)
	w, results, bookings := f.during(t, faultMixDuration, func() {
		for _, engine := range f.engines {
			engine.stub.Gate.MuteConnections()
		}
		for _, service := range f.services {
			service.stub.Gate.MuteConnections()
		}
	})
	// The deadlines of the short stream leave time for a second attempt.
	for i := range results {
		if w.Streams[results[i].Arrival.Stream].Name == "short" {
			assert.Check(t, results[i].Whole, "request %s: code %d: %s", results[i].Answer.RequestID, results[i].Answer.Code, results[i].Answer.Detail)
		}
	}
	f.checkResults(t, w, results, nil)
	f.checkBookings(t, bookings)
	f.waitMemoryFree(t, memoryBound)
}

// A host is frozen and wakes up late, still believing what was true before.
func TestFrozenHostWakesLate(t *testing.T) {
	f := startFleet(t, 3, 4)
	frozen := f.hosts[1]
	w, results, bookings := f.during(t, faultMixDuration, func() {
		assert.Check(t, frozen.command.Process.Signal(syscall.SIGSTOP))
		time.Sleep(faultMixDuration)
		assert.Check(t, frozen.command.Process.Signal(syscall.SIGCONT))
	})
	for i := range results {
		if results[i].Host != frozen.callers {
			assert.Check(t, results[i].Answer.Code != load.NoAnswer, "%+v", results[i].Answer)
		}
	}
	f.checkResults(t, w, results, frozen)
	f.checkBookings(t, bookings)
	f.waitMemoryFree(t, memoryBound)
}
