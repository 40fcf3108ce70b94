package pace

import (
	"time"

	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/place"
)

const (
	// An event is overdue after lateRatio times its prediction and minLate more, in which
	// hosts hear of the streams that others placed before.
	lateRatio = 1.75
	minLate   = 250 * time.Millisecond
)

// Predict returns the prediction for an engine and the span of time before now.
type Predict func(costs *costmodel.Costs, engine uint32, span time.Duration) Expected

// Expected is the prediction for an engine at its published speed, in milliseconds.
type Expected struct {
	Pass    float64 // one pass of its sequences
	Prefill float64 // the most prefill that it may have run in the span
	Gap     float64 // the longest gap between events, begun with the span
	First   float64 // the longest wait for a first event, begun with the span
	Overdue bool    // the first events of two streams of any hosts are overdue
}

// NewExpected returns the prediction for an engine with a load, nil if it is idle, that was
// derived at the given age before now.
func NewExpected(costs *costmodel.Costs, load *place.Load, span, age time.Duration) Expected {
	if load == nil {
		pass := costs.Pass(1, 0)
		return Expected{Pass: pass, Gap: pass, First: 2 * pass}
	}
	pass := load.Pass(costs)
	begun, waited := millis(span-age), load.Waited()
	return Expected{
		Pass: pass, Prefill: load.PrefillWithin(begun),
		// A prompt waits for the end of a pass and is prefilled in the next one.
		Gap: load.LongestWait(begun, pass), First: load.LongestWait(begun, 2*pass),
		Overdue: overdue(waited, load.LongestWait(waited, 2*pass)),
	}
}

// overdue reports whether a wait is well beyond the prediction. Both are in milliseconds.
func overdue(took, predicted float64) bool {
	return took >= lateRatio*predicted && took >= predicted+millis(minLate)
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
