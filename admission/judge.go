package admission

import (
	"sync"
	"time"

	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/place"
)

// Action is what to do with a stream.
type Action int

// Actions.
const (
	Run        Action = iota + 1
	Wait              // at this host, until streams end
	RefuseRoom        // no answer is possible before the caller leaves or the deadline
	RefuseTeam        // its team is over its share
)

// Situation is the state of a service as one host knows it.
type Situation struct {
	Costs   *costmodel.Costs
	Engines []place.Engine        // with their loads
	Streams func() []place.Stream // running on these engines; called only if room is scarce
	Queue   *Queue                // of this host
	Hosts   int                   // including this one; each may have as many waiting as this one
	Queues  bool                  // streams may wait
	Shares  bool                  // teams over their share are refused
	Now     time.Duration
}

// Verdict is the decision on one stream.
type Verdict struct {
	Action Action
	// Wait is the time until the stream is expected to get room, and Known whether there is
	// such a forecast.
	Wait           time.Duration
	Known          bool
	Scarce, Over   bool    // room is scarce; the team is over its share
	Running, Share float64 // of its team, in tokens of work, if room is scarce
}

// Judge decides on a stream. While room is scarce, it is left to streams that can still meet
// their goal, and to more urgent ones that were refused lately: a stream that has missed its
// goal already takes it only after half of its possible wait, a second for a short stream. Room tells whether engines have room for it now, and waits
// whether it is in the queue already. A stream that waits is not refused for the share of
// its team: it goes on waiting, behind the others.
func (s *Situation) Judge(r *Request, room, waits bool) Verdict {
	v := Verdict{}
	streams := sync.OnceValue(s.Streams)
	predict := sync.OnceValue(func() *Prediction { return Predict(s.Costs, s.Engines, streams(), s.Now) })
	utilization := Utilization(s.Costs, s.Engines)
	if s.Shares && r.Team != 0 {
		v.Scarce = utilization >= ScarceShare || !room && s.Queue.OthersWait(r.Service, r.Team)
		if v.Scarce {
			work := NewTeamWork(streams(), s.Queue.Work(r.Service))
			v.Running, v.Share = work.Share(r.Team, utilization)
			v.Over = v.Running > v.Share
		}
	}
	switch {
	case v.Over:
		v.Wait, v.Known = predict().Until(r.Team, v.Running, v.Share), true
		v.Action = RefuseTeam
		if waits && MayWait(r, v.Wait, s.Now, waits) {
			v.Action = Wait
		}
		return v
	case room && s.Queues && (r.Yields || waits && class(r, s.Now) > 0) && utilization >= ScarceShare:
		v.Known = true
		v.Action = RefuseRoom
		if MayWait(r, 0, s.Now, waits) {
			v.Action = Wait
		}
		return v
	case room:
		v.Action = Run
		return v
	}
	ahead, tokens := s.Queue.Ahead(r, s.Now)
	v.Wait, v.Known = predict().Wait(r.Tokens, ahead*max(s.Hosts, 1), tokens)
	v.Action = RefuseRoom
	if s.Queues && v.Known && MayWait(r, v.Wait, s.Now, waits) {
		v.Action = Wait
	}
	return v
}

// maxParts is the largest number of engines that prefill one prompt, and partTokens the
// size from which another one is of use.
const (
	maxParts   = 16
	partTokens = 20000
)

// Times are the times of a stream from which its limits in the queue follow.
type Times struct {
	Arrived, DeadlineAt time.Duration
	Goal, GapGoal       time.Duration
}

// LatestStarts returns the latest start of a stream that meets its goal, and the latest at
// which an answer is still possible: the first event must come before the caller leaves,
// and the expected answer must be complete before the deadline, both on idle engines.
func LatestStarts(costs *costmodel.Costs, r place.Request, engines int, t Times) (goalBy, startBy time.Duration) {
	parts := min(max(r.Prompt/partTokens, 1), maxParts, max(engines, 1))
	first := costmodel.Millis(costs.Prefill(r.Prompt, parts))
	step := costs.Step(1, float64(r.Prompt))
	pass := costmodel.Millis(costs.Pass(1, float64(r.Prompt)))
	answer := costmodel.Millis(float64(r.Answer) * step)
	goalBy = t.Arrived + t.Goal - first - pass
	startBy = min(t.DeadlineAt-first-answer, t.Arrived+place.CallerTimeout(t.Goal, t.GapGoal)-first-pass)
	return goalBy, startBy
}

// lastSlots is the number of slots that are left to the hosts that prefer an engine. Others
// hear of its streams with a delay, and hosts whose streams wait all look for the first slot
// that comes free.
const lastSlots = 2

// LeaveLastSlots excludes the engines that other hosts prefer and that have few free slots.
func LeaveLastSlots(costs *costmodel.Costs, engines []place.Engine) {
	for i := range engines {
		e := &engines[i]
		if costs.Slots > 0 && e.Shared && e.Load != nil && len(e.Load.Sequences) >= costs.Slots-lastSlots {
			e.AtLimit = true
		}
	}
}
