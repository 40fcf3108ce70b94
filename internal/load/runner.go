package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
)

const (
	// prepareAhead is the time before its arrival at which the prompt of a
	// request is made, so that making it doesn't delay the sending.
	prepareAhead = 200 * time.Millisecond
	// answerGrace is the time that a host gets beyond the timeout of a request
	// before the caller gives up.
	answerGrace = 5 * time.Second
)

// Runner sends arrivals to entry hosts.
type Runner struct {
	Workload *Workload
	Seed     uint64 // of the hosts that arrivals are sent to
	Prompts  uint64 // seed of the prompts
	Model    string
	Teams    []Team   // in the order of Workload.TeamWeights
	Hosts    []string // caller addresses of the entry hosts
	Caller   *Caller
}

// WithFreshPrompts returns a runner that sends other prompts of the same
// lengths at the same times, so that no prefix cache knows them from this one.
func (r *Runner) WithFreshPrompts() *Runner {
	fresh := *r
	fresh.Seed = ^r.Seed
	return &fresh
}

// Result is the outcome of one arrival.
type Result struct {
	Arrival Arrival
	Host    string        // address of the entry host
	Late    time.Duration // between the time of the arrival and its sending
	Answer  *Answer
	Whole   bool // the end marker came and the text is that of the engines
	Wrong   bool // the end marker came and the text is another one
}

// InTime reports whether the whole answer came within the timeout.
func (r *Result) InTime(timeout time.Duration) bool {
	return r.Whole && r.Answer.Took <= timeout
}

// Run sends all arrivals at their times and waits for the answers.
func (r *Runner) Run(ctx context.Context, arrivals []Arrival) []Result {
	results := make([]Result, len(arrivals))
	rng := rand.New(rand.NewPCG(r.Seed, uint64(len(r.Hosts))))
	started := time.Now().Add(prepareAhead)
	var running sync.WaitGroup
	for i, arrival := range arrivals {
		host := r.Hosts[rng.IntN(len(r.Hosts))]
		if !sleepUntil(ctx, started.Add(arrival.At-prepareAhead)) {
			return results[:i]
		}
		running.Add(1)
		go func() {
			defer running.Done()
			results[i] = r.send(ctx, started, arrival, host)
		}()
	}
	running.Wait()
	return results
}

func (r *Runner) send(ctx context.Context, started time.Time, arrival Arrival, host string) Result {
	stream := &r.Workload.Streams[arrival.Stream]
	request := &Request{
		Model:     r.Model,
		Prompt:    r.Workload.Prompt(arrival, r.Prompts),
		MaxTokens: arrival.MaxTokens,
		Timeout:   time.Duration(stream.Timeout),
		Token:     r.Teams[arrival.Team].Token,
	}
	result := Result{Arrival: arrival, Host: host, Answer: &Answer{Code: NoAnswer}}
	body, err := request.Encode()
	if err != nil {
		result.Answer.Detail = fmt.Sprintf("encode request: %v", err)
		return result
	}
	at := started.Add(arrival.At)
	if !sleepUntil(ctx, at) {
		result.Answer.Detail = "interrupted"
		return result
	}
	result.Late = time.Since(at)
	ctx, cancel := context.WithTimeout(ctx, request.Timeout+answerGrace)
	defer cancel()
	result.Answer = r.Caller.Complete(ctx, host, request, body)
	result.judge(request)
	return result
}

// judge compares the answer with the one that engines give to the prompt.
func (r *Result) judge(request *Request) {
	if r.Answer.Code != code.OK {
		return
	}
	r.Whole = r.Answer.Text == enginestub.Answer(request.Prompt, request.MaxTokens)
	r.Wrong = !r.Whole
	r.Answer.Text = "" // not needed any more
}

// sleepUntil reports false if ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return ctxtime.Sleep(ctx, time.Until(at))
}
