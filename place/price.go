package place

import "time"

// Costs are in units of the value of an answer to a very short prompt.
// docs/PLATFORM.md explains them.
const (
	// The risk of missing a goal rises from 0 at rampStart times the goal, less
	// rampSlackMillis, to 1 at rampEnd times the goal. The slack covers the
	// prediction error for streams that are placed at the same moment.
	rampStart       = 0.85
	rampSlackMillis = 80.0
	rampEnd         = 1.1
	// latencyCost is the cost of a first event that takes as long as its goal, as
	// a share of the answer's value. It makes the faster of two plans win if both
	// meet the goal.
	latencyCost = 0.05
	// idleEngineCost is the cost of decoding on an engine that decodes no other
	// stream: such an engine can prefill long prompts without pausing an answer.
	idleEngineCost = 0.12
	// helperCost is the cost of each additional engine, which may fail or stall.
	helperCost = 0.004
	// failureCost is the cost of an engine that fails all requests, as a share of
	// the answer's value.
	failureCost = 0.8
	// remoteCost is the cost of an engine in another failure domain.
	remoteCost = 0.01
	// sharedCost is the cost of an engine that hosts of other groups prefer, as a share
	// of the answer's value: they may have placed streams there that are not known yet.
	sharedCost = 0.1
	// minSearchPrompt is the prompt length in tokens from which all engines are
	// considered.
	minSearchPrompt = 30000
	// maxDrawn is how many of these engines are considered for a short prompt.
	maxDrawn = 3
	// memoryShare is the share of an engine's memory that plans may use. The rest
	// is a margin because answer lengths are estimates.
	memoryShare = 0.92
	// heldPartShare is the largest share of an engine's memory for one part of a
	// prompt that does not fit one engine.
	heldPartShare = 0.35
	// A second of prefill on one engine costs engineSecondCost, plus
	// busySecondCost times the share of engines that are busy with prefill. For
	// comparison, the answers have a value of about 40 per second of prefill for
	// short prompts, 5 for long ones and 2 for those that need several engines.
	engineSecondCost = 1.0
	busySecondCost   = 4.0
	// pauseProbability is the probability that a prompt that was placed before a
	// stream is prefilled after the stream's first event, and so pauses it.
	pauseProbability = 0.5
	// maxHelpers is the largest number of helpers of one stream.
	maxHelpers = 15
	// minSplitPrompt is the prompt length in tokens from which helpers are
	// considered.
	minSplitPrompt = 6000
)

// CallerTimeout returns how long a caller waits for an event before it disconnects:
// by agreement with callers, the longest of these three times.
func CallerTimeout(goal, gap time.Duration) time.Duration {
	return max(minCallerTimeout, 4*goal, 8*gap)
}

const minCallerTimeout = 2 * time.Second

// lateLossShare is the share of an answer's value that is lost if the first event
// misses its goal; the rest is lost if the caller disconnects. Callers value a
// late answer at about a quarter of one that is on time.
const lateLossShare = 0.75

// loss returns the expected loss, as a share of an answer's value, if the first
// event is predicted after delay milliseconds.
func loss(delay, goal, callerTimeout float64) float64 {
	return lateLossShare*missRisk(delay, goal) + (1-lateLossShare)*missRisk(delay, callerTimeout)
}

// missRisk returns the risk, from 0 to 1, that an event predicted after delay
// milliseconds misses its goal.
func missRisk(delay, goal float64) float64 {
	if goal <= 0 {
		return 1
	}
	start := max(rampStart*goal-rampSlackMillis, goal/3)
	return min(max((delay-start)/(rampEnd*goal-start), 0), 1)
}
