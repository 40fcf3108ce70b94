package costmodel

import "time"

// Laws are the published costs of one kind of engine. Times are in
// milliseconds, contexts and prompts in tokens.
type Laws struct {
	Slots           int     // requests at once
	MemoryTokens    int     // tokens of prompts and answers held at once
	StepMillis      float64 // one token of every writing request
	PerWriterMillis float64 // added to a step for each writing request
	ContextMillis   float64 // added to a step for each 1,000 tokens of context
	ReadPerMilli    float64 // prompt tokens read in a millisecond
	PairsMillis     float64 // added for each million pairs of tokens of a prompt
	ChunkTokens     int     // prompt tokens read in one step at most
	Stride          int     // steps of a pass that has writers
	HopMillis       float64 // added to a step whose prompt is held by several engines
	UsualPrompt     int     // mean prompt, in tokens
	UsualAnswer     int     // mean answer, in tokens
}

const (
	tokensPerContextUnit = 1000.0
	pairsPerUnit         = 1e6
)

// Read returns the time in which one of parts engines reads its share of a
// prompt.
func (l *Laws) Read(tokens, parts int) float64 {
	n := float64(tokens)
	reading := 0.0
	if l.ReadPerMilli > 0 {
		reading = n / l.ReadPerMilli
	}
	pairs := n * n / 2 / pairsPerUnit * l.PairsMillis
	return (reading + pairs) / float64(max(parts, 1))
}

// Step returns the time of one step with the given writers and the sum of
// their contexts.
func (l *Laws) Step(writers int, context float64) float64 {
	return l.StepMillis + float64(writers)*l.PerWriterMillis + context/tokensPerContextUnit*l.ContextMillis
}

// Pass returns the time of a pass that reads nothing.
func (l *Laws) Pass(writers int, context float64) float64 {
	return float64(max(l.Stride, 1)) * l.Step(writers, context)
}

// PassRead bounds the reading within one pass: a pass has Stride steps, and
// each reads at most ChunkTokens.
func (l *Laws) PassRead(tokens int, millis float64) float64 {
	most := max(l.ChunkTokens, 1) * max(l.Stride, 1)
	if tokens <= most {
		return millis
	}
	return millis * float64(most) / float64(tokens)
}

// Millis converts a figure of this package into a duration.
func Millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
