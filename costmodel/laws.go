package costmodel

import "time"

// Costs are the published costs of the operations of one kind of engine. Times
// are in milliseconds, contexts and prompts in tokens.
type Costs struct {
	Slots                 int     // maximum number of concurrent requests
	MemoryTokens          int     // capacity for tokens of prompts and answers
	StepMillis            float64 // one decoding step: a token for each decoding request
	PerSequenceMillis     float64 // added to a step for each decoding request
	ContextMillis         float64 // added to a step for each 1,000 tokens of context
	PrefillTokensPerMilli float64 // prompt tokens prefilled in a millisecond
	PairsMillis           float64 // added to a prefill for each million pairs of prompt tokens
	ChunkTokens           int     // maximum prompt tokens prefilled in one step
	Stride                int     // steps of a pass in which the engine decodes
	HopMillis             float64 // added to a step for a prompt held by several engines
	MeanPromptTokens      int     // mean prompt, in tokens
	MeanAnswerTokens      int     // mean answer, in tokens
}

const (
	tokensPerContextUnit = 1000.0
	pairsPerUnit         = 1e6
)

// Prefill returns the time that each engine takes for its part of a prompt that is
// divided into equal parts.
func (c *Costs) Prefill(tokens, parts int) float64 {
	n := float64(tokens)
	linear := 0.0
	if c.PrefillTokensPerMilli > 0 {
		linear = n / c.PrefillTokensPerMilli
	}
	pairs := n * n / 2 / pairsPerUnit * c.PairsMillis
	return (linear + pairs) / float64(max(parts, 1))
}

// Step returns the time of one decoding step for a number of sequences and the
// sum of their contexts.
func (c *Costs) Step(sequences int, context float64) float64 {
	return c.StepMillis + float64(sequences)*c.PerSequenceMillis + context/tokensPerContextUnit*c.ContextMillis
}

// Pass returns the time of a pass without prefill.
func (c *Costs) Pass(sequences int, context float64) float64 {
	return float64(max(c.Stride, 1)) * c.Step(sequences, context)
}

// PassPrefill returns how much of a prefill of the given tokens, which takes millis,
// falls into one pass: a pass has Stride steps, and each prefills at most
// ChunkTokens.
func (c *Costs) PassPrefill(tokens int, millis float64) float64 {
	limit := max(c.ChunkTokens, 1) * max(c.Stride, 1)
	if tokens <= limit {
		return millis
	}
	return millis * float64(limit) / float64(tokens)
}

// Millis converts a time in milliseconds to a duration.
func Millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
