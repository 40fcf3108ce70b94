package host

import (
	"time"

	"github.com/citronscale/citronscale/balancer"
)

// estimateWeight is the weight of one observation in a running mean.
const estimateWeight = 0.1

// runEstimate learns how long requests run once they are with an engine.
type runEstimate struct {
	prefill float64 // seconds per prompt token until the first token
	decode  float64 // seconds per answer token after the first
}

// firstToken takes in the time from the send to the first token.
func (e *runEstimate) firstToken(promptTokens uint32, took time.Duration) {
	e.prefill = average(e.prefill, took.Seconds()/float64(max(promptTokens, 1)))
}

// finished takes in the time from the first token to the end.
func (e *runEstimate) finished(answerTokens uint64, took time.Duration) {
	if answerTokens > 1 {
		e.decode = average(e.decode, took.Seconds()/float64(answerTokens-1))
	}
}

func average(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + estimateWeight*(value-mean)
}

// run returns the time that a request needs once it is with an engine: its
// prompt and half of its longest answer. It is zero until something was learned.
func (e *runEstimate) run(request *balancer.Request) time.Duration {
	const answerShare = 0.5
	seconds := e.prefill*float64(request.PromptTokens) + e.decode*answerShare*float64(request.MaxTokens)
	return time.Duration(seconds * float64(time.Second))
}

func (p *placement) learnFirstToken(promptTokens uint32, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimate.firstToken(promptTokens, took)
}

func (p *placement) learnFinished(answerTokens uint64, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimate.finished(answerTokens, took)
}
