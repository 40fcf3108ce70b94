package host

import (
	"time"

	"github.com/citronscale/citronscale/balancer"
)

// estimateWeight is the weight of one observation in a running mean.
const estimateWeight = 0.1

// shortestLearned is the length in tokens that a shorter prompt counts as. The
// first token of a short prompt takes the time of a step and says nothing about
// the time per prompt token.
const shortestLearned = 1024

// runEstimate learns how long requests run once they are with an engine.
type runEstimate struct {
	tokens float64 // mean length of the prompts learned from
	first  float64 // mean seconds from the send to the first token
	decode float64 // seconds per answer token after the first
}

// firstToken takes in the time from the send to the first token.
func (e *runEstimate) firstToken(promptTokens uint32, took time.Duration) {
	e.tokens = average(e.tokens, float64(max(promptTokens, shortestLearned)))
	e.first = average(e.first, took.Seconds())
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
	seconds := e.prefill()*float64(request.PromptTokens) + e.decode*answerShare*float64(request.MaxTokens)
	return time.Duration(seconds * float64(time.Second))
}

// prefill returns the seconds per prompt token until the first token. It divides
// the means: a mean of the ratios would take the wait of a short prompt behind
// long ones for the time per token.
func (e *runEstimate) prefill() float64 {
	if e.tokens == 0 {
		return 0
	}
	return e.first / e.tokens
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
