package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/load"
)

const (
	mixDuration = 8 * time.Second
	mixSeed     = 1
	// bookingPause keeps the records of the services short.
	bookingPause = 20 * time.Millisecond
	// memoryBound is the time after the last fault within which engines that
	// live hold no memory: the longest deadline of the mix and a margin.
	memoryBound = 40 * time.Second
)

// mix is the load of the demo: short and medium prompts and a few that exceed
// one engine.
func mix() *load.Workload {
	return &load.Workload{
		Name:        "mix",
		Duration:    load.Duration(mixDuration),
		TeamWeights: []int{3, 2, 1},
		Streams: []load.Stream{
			{
				Name:         "short",
				Rate:         12,
				PromptTokens: load.Range{Min: 1_000, Max: 3_000},
				MaxTokens:    load.Range{Min: 16, Max: 96},
				Timeout:      load.Duration(15 * time.Second),
			},
			{
				Name:         "medium",
				Rate:         1,
				PromptTokens: load.Range{Min: 8_000, Max: 30_000},
				MaxTokens:    load.Range{Min: 32, Max: 128},
				Timeout:      load.Duration(20 * time.Second),
			},
			{
				Name:         "over-one-engine",
				Rate:         0.25,
				PromptTokens: load.Range{Min: 500_000, Max: 600_000},
				MaxTokens:    load.Range{Min: 32, Max: 64},
				Timeout:      load.Duration(30 * time.Second),
			},
		},
	}
}

// booking is one call that may not be repeated, sent through several hosts.
type booking struct {
	key   string
	codes []code.Code // of each copy; OK if it was answered
}

// book issues keys at one host after the other and sends each key through all
// hosts until ctx ends.
func (f *fleet) book(ctx context.Context) []booking {
	var bookings []booking
	for i := 0; ctx.Err() == nil; i++ {
		issuer := f.hosts[i%len(f.hosts)]
		var answer struct {
			Keys []string `json:"keys"`
		}
		result, data := f.post(issuer, "/v1/idempotency-keys", "", `{"count":1}`)
		if result != code.OK || json.Unmarshal(data, &answer) != nil || len(answer.Keys) != 1 {
			continue
		}
		b := booking{key: answer.Keys[0]}
		for k := range f.hosts {
			host := f.hosts[(i+1+k)%len(f.hosts)]
			copied, _ := f.post(host, "/services/booking/bookings", b.key, fmt.Sprintf(`{"room":%d}`, i))
			b.codes = append(b.codes, copied)
		}
		bookings = append(bookings, b)
		time.Sleep(bookingPause)
	}
	return bookings
}

// post returns the result code of a call, or load.NoAnswer.
func (f *fleet) post(host *hostNode, path, key, body string) (code.Code, []byte) {
	req, err := http.NewRequest(http.MethodPost, "http://"+host.callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return load.NoAnswer, nil
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+demoTeams[0].Token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return load.NoAnswer, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return load.NoAnswer, nil
	}
	var problem struct {
		Code code.Code `json:"code"`
	}
	if resp.StatusCode != http.StatusOK {
		if json.Unmarshal(data, &problem) != nil || problem.Code == code.OK {
			return load.NoAnswer, nil
		}
	}
	return problem.Code, data
}

func (f *fleet) bookingRuns(key string) int {
	runs := 0
	for _, service := range f.services {
		runs += service.stub.RunsOfKey(key)
	}
	return runs
}

// An engine, an entry host and the platform die while the mix runs. Every
// request ends whole or with a true code within its time, no booking runs
// twice, and the engines that live hold no memory afterwards.
func TestKillsDuringMix(t *testing.T) {
	f := startFleet(t, 3, 4)
	deadHost, deadEngine := f.hosts[1], f.engines[2]
	ctx, cancel := context.WithTimeout(t.Context(), mixDuration)
	defer cancel()
	var bookings []booking
	var background sync.WaitGroup
	background.Go(func() { bookings = f.book(ctx) })
	background.Go(func() {
		time.Sleep(mixDuration / 4)
		deadEngine.server.Close()
		time.Sleep(mixDuration / 4)
		deadHost.kill()
		time.Sleep(mixDuration / 4)
		f.platform.SetDown(true)
	})
	w := mix()
	results := f.runMix(t.Context(), w, mixSeed)
	background.Wait()
	f.checkResults(t, w, results, deadHost)
	f.checkBookings(t, bookings)
	f.engines = append(f.engines[:2:2], f.engines[3])
	f.waitMemoryFree(t, memoryBound)
}

// checkResults compares every result with the record of the engines.
func (f *fleet) checkResults(t *testing.T, w *load.Workload, results []load.Result, dead *hostNode) {
	t.Helper()
	whole := 0
	for i := range results {
		result := &results[i]
		stream := w.Streams[result.Arrival.Stream]
		about := fmt.Sprintf("request %s of stream %s: code %d: %s", result.Answer.RequestID, stream.Name, result.Answer.Code, result.Answer.Detail)
		if result.Answer.Code != code.OK {
			t.Logf("%s\nruns %+v\n%s", about, f.runsOf(result.Answer.RequestID), f.logOf(result.Answer.RequestID))
		}
		assert.Check(t, !result.Wrong, about)
		assert.Check(t, result.Answer.Took <= time.Duration(stream.Timeout)+time.Second, "%s: took %v", about, result.Answer.Took)
		switch {
		case result.Whole:
			whole++
		case result.Answer.Code == load.NoAnswer:
			assert.Check(t, dead != nil && result.Host == dead.callers, about)
		case result.Answer.Code.Outcome() == code.NotRun:
			assert.Check(t, len(f.runsOf(result.Answer.RequestID)) == 0, "%s: ran as %+v", about, f.runsOf(result.Answer.RequestID))
		}
	}
	t.Logf("%d of %d requests whole", whole, len(results))
	assert.Check(t, whole > len(results)/2)
}

// checkBookings compares what callers were told with the record of the
// services.
func (f *fleet) checkBookings(t *testing.T, bookings []booking) {
	t.Helper()
	ran := 0
	for _, b := range bookings {
		runs := f.bookingRuns(b.key)
		ran += runs
		assert.Check(t, runs <= 1, "key %s ran %d times: %v", b.key, runs, b.codes)
		answered, notRun := false, true
		for _, c := range b.codes {
			answered = answered || c == code.OK
			notRun = notRun && c > code.OK && c.Outcome() == code.NotRun
		}
		assert.Check(t, !answered || runs == 1, "key %s was answered and ran %d times: %v", b.key, runs, b.codes)
		assert.Check(t, !notRun || runs == 0, "key %s was refused as not run and ran %d times: %v", b.key, runs, b.codes)
	}
	t.Logf("%d bookings, %d ran", len(bookings), ran)
	assert.Check(t, ran > 0)
}
