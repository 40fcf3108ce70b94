package place

import "time"

// Prices are in the worth of an answer to a very short prompt. They were set on
// days of the users' bench; docs/PLATFORM.md tells what they weigh.
const (
	// Harm begins at lateFrom of a goal, less what a prediction is off for
	// streams that are placed at the same moment, and is certain at lateAt.
	lateFrom  = 0.85
	lateSlack = 80.0 // milliseconds
	lateAt    = 1.1
	// slowCost makes the earlier of two answers that are in time win; a share of
	// the worth for each goal that it takes.
	slowCost = 0.05
	// openCost is the price of the first writer of an engine: an engine without
	// writers can read long prompts without a pause in anybody's answer.
	openCost = 0.12
	// helperCost is the price of each engine more, which may fail or stall.
	helperCost = 0.004
	// failingCost is the price of a share of failures of one.
	failingCost = 0.8
	// remoteCost is the price of another failure domain.
	remoteCost = 0.01
	// memoryShare is the part of an engine's memory that is planned with; the
	// length of answers is an estimate.
	memoryShare = 0.92
	// partShare is the largest part of an engine's memory that one part of a
	// prompt takes that no engine can hold alone.
	partShare = 0.35
	// timeCost and busyCost price a second of an engine: the latter by the share
	// of all engines that read already. A short prompt is worth some forty in a
	// second of reading, a long one five, one over several engines two.
	timeCost = 1.0
	busyCost = 4.0
	// pauseShare is how often a prompt that was placed before a stream is read
	// after its first event.
	pauseShare = 0.5
	// mostHelpers is the largest number of helpers that an engine takes.
	mostHelpers = 15
	// helpFrom is the prompt, in tokens, from which helpers are weighed.
	helpFrom = 6000
)

// Patience is how long a caller waits for an event before it leaves: by
// agreement with callers the longest of these three.
func Patience(goal, gap time.Duration) time.Duration {
	return max(leastPatience, 4*goal, 8*gap)
}

const leastPatience = 2 * time.Second

// lateShare is the part of an answer's worth that is lost if it is late; the
// rest is lost if the caller leaves. Callers value a late answer at about a
// quarter.
const lateShare = 0.75

// loss returns the expected loss, as a share of its worth, of an answer whose
// first event takes x.
func loss(x, goal, patience float64) float64 {
	return lateShare*late(x, goal) + (1-lateShare)*late(x, patience)
}

// late returns the expected loss of an answer that takes x of a goal.
func late(x, goal float64) float64 {
	if goal <= 0 {
		return 1
	}
	from := max(lateFrom*goal-lateSlack, goal/3)
	return min(max((x-from)/(lateAt*goal-from), 0), 1)
}
