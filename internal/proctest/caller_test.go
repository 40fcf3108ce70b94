package proctest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/attempt"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
	"github.com/citronscale/citronscale/internal/stub/servicestub"
)

// result is what a caller saw of one request.
type result struct {
	host    int
	id      string
	whole   bool
	code    code.Code // zero if the answer is whole or the connection broke
	broken  error     // the connection to the entry host
	text    string
	want    string
	took    time.Duration
	timeout time.Duration
}

type answerDocument struct {
	Code    code.Code `json:"code"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// complete sends a prompt of about the given tokens through a host.
func (f *fleet) complete(host, promptTokens int, label string, maxTokens uint32, stream bool, timeout time.Duration) *result {
	prompt := label + " " + strings.Repeat("note ", promptTokens*4/5)
	r := &result{host: host, timeout: timeout, want: enginestub.Answer(prompt, maxTokens)}
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": stream})
	assert.NilError(f.t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callers[host]+"/v1/completions", bytes.NewReader(body))
	assert.NilError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Citron-Timeout", timeout.String())
	start := time.Now()
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		r.broken = err
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.id = response.Header.Get("Citron-Request-Id")
	r.read(response, stream)
	r.took = time.Since(start)
	return r
}

func (r *result) read(response *http.Response, stream bool) {
	if !stream || response.StatusCode != http.StatusOK {
		data, err := io.ReadAll(response.Body)
		r.broken = err
		r.take(data)
		r.whole = err == nil && r.code == code.OK && r.text != ""
		return
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.whole = r.code == code.OK
			return
		}
		r.take([]byte(data))
	}
	if r.code == code.OK {
		r.broken = fmt.Errorf("the stream ended without its end marker: %w", io.ErrUnexpectedEOF)
	}
}

func (r *result) take(data []byte) {
	var document answerDocument
	if json.Unmarshal(data, &document) != nil {
		return
	}
	for _, choice := range document.Choices {
		r.text += choice.Text
	}
	r.code = max(r.code, document.Code)
	if document.Error != nil && r.code == code.OK {
		_, _ = fmt.Sscan(document.Error.Code, &r.code)
	}
}

// mix sends requests of several lengths through all hosts at once and runs the
// fault while they are in flight.
func (f *fleet) mix(requests int, fault func()) []*result {
	results := make([]*result, requests)
	var group sync.WaitGroup
	for n := range requests {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 30 * time.Millisecond)
			tokens := []int{1_000, 4_000, 30_000}[n%3]
			results[n] = f.complete(n%fleetHosts, tokens, fmt.Sprintf("request %d", n), 200, n%2 == 0, time.Minute)
		})
	}
	time.Sleep(time.Duration(requests) * 15 * time.Millisecond)
	fault()
	group.Wait()
	return results
}

// checkTrue compares what callers were told with what the engines ran. Records
// of engines that were killed are lost, and with them the runs they held.
func (f *fleet) checkTrue(results []*result, alive []int, killedHost int) {
	ran := map[string]bool{}
	for _, n := range alive {
		var runs []enginestub.Run
		f.log(f.engineAt[n], &runs)
		for _, run := range runs {
			parsed, err := ident.ParseAttempt(run.Attempt)
			assert.NilError(f.t, err)
			ran[parsed.Request.String()] = true
		}
	}
	seen := map[string]int{}
	for n, r := range results {
		switch {
		case r.whole:
			seen["whole"]++
			assert.Equal(f.t, r.text, r.want, "request %d (%s)", n, r.id)
		case r.code != code.OK:
			seen[r.code.Name()]++
			assert.Assert(f.t, r.code.Outcome() != code.NotRun || !ran[r.id], "%s was told %s and ran", r.id, r.code.Name())
			assert.Assert(f.t, strings.HasPrefix(r.want, r.text), "%s got text that is not its own", r.id)
		default:
			seen["connection broken"]++
			assert.Equal(f.t, r.host, killedHost, "request %d through a living host: %v", n, r.broken)
		}
		assert.Assert(f.t, r.took <= r.timeout+attempt.FinishGrace, "%s took %s of %s", r.id, r.took, r.timeout)
	}
	f.t.Logf("%d requests: %v", len(results), seen)
}

// call sends a call to the booking service and returns the code, zero if it
// was answered.
func (f *fleet) call(host int, bearer, key, body string, timeout time.Duration) (code.Code, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callers[host]+"/services/booking/bookings", strings.NewReader(body))
	assert.NilError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+bearer)
	request.Header.Set("Citron-Timeout", timeout.String())
	if key != "" {
		request.Header["Idempotency-Key"] = []string{key}
	}
	request.GetBody = nil // the caller's own transport must not send again
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return code.OK, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return code.OK, err
	}
	var document answerDocument
	_ = json.Unmarshal(data, &document) // answers of the service hold no code
	return document.Code, nil
}

func (f *fleet) issueKey(host int, bearer string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callers[host]+"/v1/idempotency-keys", nil)
	assert.NilError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+bearer)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Keys []string `json:"keys"`
	}
	assert.NilError(f.t, json.NewDecoder(response.Body).Decode(&answer))
	assert.Equal(f.t, len(answer.Keys), 1)
	return answer.Keys[0]
}

// runsOfKey returns how often the booking service ran calls with the key.
func (f *fleet) runsOfKey(key string) int {
	var calls []servicestub.Call
	f.log(f.bookingAt, &calls)
	runs := 0
	for _, c := range calls {
		if c.Key == key {
			runs++
		}
	}
	return runs
}
