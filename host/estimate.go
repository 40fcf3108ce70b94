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

// shortestAnswer is the length in tokens from which an answer is learned from.
// The few gaps of a shorter one tell more about one pause of a process than
// about the time per token.
const shortestAnswer = 16

// runEstimate learns how long requests run once they are with an engine.
type runEstimate struct {
	tokens float64 // mean length of the prompts learned from
	first  float64 // mean seconds from the send to the first token
	answer float64 // mean tokens after the first of the answers learned from
	write  float64 // mean seconds from their first token to their end
}

// firstToken takes in the time from the send to the first token.
func (e *runEstimate) firstToken(promptTokens uint32, took time.Duration) {
	e.tokens = average(e.tokens, float64(max(promptTokens, shortestLearned)))
	e.first = average(e.first, took.Seconds())
}

// finished takes in the time from the first token to the end.
func (e *runEstimate) finished(answerTokens uint64, took time.Duration) {
	if answerTokens >= shortestAnswer {
		e.answer = average(e.answer, float64(answerTokens-1))
		e.write = average(e.write, took.Seconds())
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
	seconds := e.prefill()*float64(request.PromptTokens) + e.decode()*answerShare*float64(request.MaxTokens)
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

// decode returns the seconds per answer token after the first.
func (e *runEstimate) decode() float64 {
	if e.answer == 0 {
		return 0
	}
	return e.write / e.answer
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
