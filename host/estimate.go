package host

import (
	"time"

	"github.com/citronscale/citronscale/balancer"
)

// estimateWeight is the weight of one observation in a running mean.
const estimateWeight = 0.1

// minObservedPrompt is the length in tokens that a shorter prompt counts as.
// The time to first token of a short prompt is the duration of one step and
// does not depend on the number of prompt tokens.
const minObservedPrompt = 1024

// minObservedAnswer is the length in tokens below which an answer is not
// observed. With so few gaps, a single pause of a process dominates the time
// per token.
const minObservedAnswer = 16

// durationEstimate estimates from past requests how long a request takes at an
// engine.
type durationEstimate struct {
	meanPromptTokens  float64 // mean prompt length in tokens
	meanFirstSeconds  float64 // mean seconds from the send to the first token
	meanAnswerTokens  float64 // mean number of answer tokens after the first
	meanAnswerSeconds float64 // mean seconds from the first token to the end of the answer
}

// observeFirstToken adds an observed time from the send to the first token.
func (e *durationEstimate) observeFirstToken(promptTokens uint32, took time.Duration) {
	e.meanPromptTokens = runningMean(e.meanPromptTokens, float64(max(promptTokens, minObservedPrompt)))
	e.meanFirstSeconds = runningMean(e.meanFirstSeconds, took.Seconds())
}

// observeAnswer adds an observed time from the first token to the end.
func (e *durationEstimate) observeAnswer(answerTokens uint64, took time.Duration) {
	if answerTokens >= minObservedAnswer {
		e.meanAnswerTokens = runningMean(e.meanAnswerTokens, float64(answerTokens-1))
		e.meanAnswerSeconds = runningMean(e.meanAnswerSeconds, took.Seconds())
	}
}

func runningMean(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + estimateWeight*(value-mean)
}

// expectedDuration returns the estimated time that a request takes at an
// engine: that of its prompt and of half of its longest answer. It is zero
// without observations.
func (e *durationEstimate) expectedDuration(request *balancer.Request) time.Duration {
	const answerShare = 0.5
	seconds := e.prefillSeconds()*float64(request.PromptTokens) + e.decodeSeconds()*answerShare*float64(request.MaxTokens)
	return time.Duration(seconds * float64(time.Second))
}

// prefillSeconds returns the seconds per prompt token until the first token. It
// divides the means, because a mean of the ratios would count the time that a
// short prompt waits behind long ones as time per token.
func (e *durationEstimate) prefillSeconds() float64 {
	if e.meanPromptTokens == 0 {
		return 0
	}
	return e.meanFirstSeconds / e.meanPromptTokens
}

// decodeSeconds returns the seconds per answer token after the first.
func (e *durationEstimate) decodeSeconds() float64 {
	if e.meanAnswerTokens == 0 {
		return 0
	}
	return e.meanAnswerSeconds / e.meanAnswerTokens
}

func (p *placement) observeFirstToken(promptTokens uint32, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimate.observeFirstToken(promptTokens, took)
}

func (p *placement) observeAnswer(answerTokens uint64, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimate.observeAnswer(answerTokens, took)
}
