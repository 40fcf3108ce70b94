package pace

import (
	"math"
	"time"
)

// usual estimates the median of the times of spans as a multiple of the published times. It
// is above 1 where the published times are too low, or engines send an event after several
// passes. Engines are compared with it then, as no engine is slower than the others.
type usual struct {
	log   float64 // natural logarithm, at least 0
	spans float64
}

const (
	// usualInterval is the least time between two spans of one engine that count: slow
	// engines have more streams at a time than others.
	usualInterval = time.Second
	// usualStep is the step towards each span. At ten engines with streams of a host, it
	// takes half a minute to follow a factor of 2 of most of them.
	usualStep = 0.002
	// firstSteps makes the first steps of a host longer: it follows a factor of 2 within
	// thirty spans.
	firstSteps = 0.5
	firstSpans = 10
)

// record adds a span.
func (u *usual) record(factor float64) {
	step := max(usualStep, firstSteps/(u.spans+firstSpans))
	u.spans++
	difference := math.Log(factor) - u.log
	u.log = min(max(u.log+min(max(difference, -step), step), 0), math.Log(maxFactor))
}

func (u *usual) factor() float64 {
	return math.Exp(u.log)
}
