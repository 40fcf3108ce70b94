package hedge

import (
	"fmt"
	"time"
)

// Facts are what is known of a request when its second send is due.
type Facts struct {
	Repeatable bool          // it may run more than once
	Events     int           // that the caller has
	Runs       int           // attempts that may have run, including the one under way
	Attempts   int           // most upstreams that may run it
	TimeLeft   time.Duration // to its deadline
	// Alone tells that one upstream serves the request without helpers. Helpers hold memory
	// and prefill for others, so a second send of a long prompt costs several upstreams.
	Alone     bool
	Suspected bool // its content is suspected of crashing upstreams, or its connection was lost
	Upstreams int  // of the service
	Busy      int  // of these, those without a free slot
	// Candidates counts the upstreams that may get the second send: not tried, with room,
	// and neither avoided, cold, leaving nor at a limit.
	Candidates int
}

// Verdict is the decision about a second send.
type Verdict int

// Verdicts. All but Send name the first reason against a second send.
const (
	Send Verdict = iota
	NotRepeatable
	Answering
	NoAttemptLeft
	NoTime
	NotAlone
	Suspected
	ShortOfRoom
	NoCandidate
	OverBudget
)

var verdictNames = [...]string{
	"send", "not repeatable", "answering", "no attempt left", "no time", "needs helpers",
	"content suspected", "short of room", "no candidate", "over budget",
}

// String returns the verdict as dumps show it.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict(%d)", int(v))
	}
	return verdictNames[v]
}

const (
	// minTimeLeft is the time to the deadline from which a second send can still be worth
	// its work: a connection to another failure domain and a short answer.
	minTimeLeft = 50 * time.Millisecond
	// busyShare and minBusy bound the upstreams without a free slot: a service with more of
	// them needs its room for first sends. One full upstream is usual in a large service and
	// is itself a reason to try another one.
	busyShare = 0.25
	minBusy   = 2
)

// judge returns the verdict of the facts, without the budget.
func judge(f Facts) Verdict {
	switch {
	case !f.Repeatable:
		return NotRepeatable
	case f.Events > 0:
		return Answering
	case f.Runs >= f.Attempts:
		return NoAttemptLeft
	case f.TimeLeft < minTimeLeft:
		return NoTime
	case !f.Alone:
		return NotAlone
	case f.Suspected:
		return Suspected
	case shortOfRoom(f):
		return ShortOfRoom
	case f.Candidates == 0:
		return NoCandidate
	default:
		return Send
	}
}

func shortOfRoom(f Facts) bool {
	if f.Upstreams == 0 {
		return false
	}
	return f.Busy >= f.Upstreams || f.Busy >= minBusy && float64(f.Busy) > busyShare*float64(f.Upstreams)
}
