package relay

import (
	"errors"
	"time"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/standing"
)

// candidates returns the upstreams of a service that may get a request now. All attempts,
// first or later, choose among them. It fails if there is none.
func (s *Server) candidates(service string, now time.Duration) ([]fleet.View, error) {
	views := s.upstreams.ForService(service, now)
	listed := len(views)
	selection := s.standing.Select(views, now)
	switch {
	case len(selection.Usable) > 0:
		return selection.Usable, nil
	case selection.Resting:
		return nil, newRestError(listed, selection.Wait)
	default:
		return nil, code.New(code.NoCapacity, "service %q has %d upstreams, %d of them leave", service, listed, selection.Leaving)
	}
}

// newRestError refuses a request because all upstreams rest or leave. It waits, or tells its
// caller when to come back, as one that is refused by the rates of the upstreams.
func newRestError(upstreams int, wait time.Duration) error {
	return &limitError{
		code.New(code.UpstreamResting, "all of %d upstreams rest or leave, the first one returns in %v", upstreams, wait), wait,
	}
}

// recordStanding records what an answer says of its upstream. Refusals count too.
func (s *Server) recordStanding(upstream fleet.Upstream, answer Answer, sentAt time.Duration) {
	if answer.RetryAfterInvalid {
		s.metrics.RelayInvalidRetryAfter()
	}
	change := s.standing.Answered(upstream, standing.Answer{Leaving: answer.Leaving, Rest: answer.RetryAfter, SentAt: sentAt}, boottime.Now())
	if change.Rests {
		s.logStanding(event.UpstreamResting, chart.StandingResting, upstream, answer.RetryAfter)
	}
	if change.Serves {
		s.logStanding(event.UpstreamServing, chart.StandingServing, upstream, 0)
	}
	if change.Leaves {
		s.logStanding(event.UpstreamDeparting, chart.StandingLeaving, upstream, 0)
		s.peers.StreamProgressed()
	}
}

func (s *Server) logStanding(e event.Event, state chart.State, upstream fleet.Upstream, rest time.Duration) {
	s.metrics.RelayUpstreamStanding(string(state))
	line := s.log.Emit(e).Str("upstream", upstream.ID).Str("service", upstream.Service).Int64("started", upstream.Started)
	if rest > 0 {
		line = line.Dur("rest", rest)
	}
	line.Msg("")
}

// checkStanding refuses an attempt whose upstream began to leave or to rest after it was
// placed: to reserve memory may take longer than the upstream allows.
func (s *Server) checkStanding(upstream fleet.Upstream, now time.Duration) error {
	if s.standing.Admits(upstream, now) {
		return nil
	}
	return code.New(code.NoCapacity, "upstream %s began to leave or to rest after the placement", upstream.ID)
}

// withReturn replaces the refusal of a request that no upstream took by the one that tells
// when the first upstream returns, if all rest.
func (x *exchange) withReturn(refusal error) error {
	if c := code.Of(refusal); x.attempts == 0 || c != code.NoCapacity && c != code.RetryBudgetSpent {
		return refusal
	}
	_, err := x.s.candidates(x.service.Name, boottime.Now())
	var rest *limitError
	if !errors.As(err, &rest) {
		return refusal
	}
	return err
}

// StandingEntry is the form in dumps of what an upstream said of itself.
type StandingEntry struct {
	Upstream  string        `json:"upstream"`
	Started   uint32        `json:"started"` // low 32 bits of the start of its process, Unix milliseconds; 0: not known
	State     string        `json:"state"`
	Leaving   time.Duration `json:"leaving_ns,omitempty"`    // since its first answer that said so
	FromPeer  bool          `json:"from_peer,omitempty"`     // a peer told first that it leaves
	Rest      time.Duration `json:"rest_ns,omitempty"`       // until the pause that it asked for ends
	Returning bool          `json:"one_at_a_time,omitempty"` // after the pause, until a request is answered
}

// Standings returns what upstreams said of themselves, for dumps.
func (s *Server) Standings(now time.Duration) []StandingEntry {
	list := []StandingEntry{}
	for _, id := range s.upstreams.IDs() {
		for _, e := range s.standing.Entries(id, now) {
			list = append(list, StandingEntry{
				Upstream: id, Started: e.Started, State: string(e.State), Leaving: e.Leaving, FromPeer: e.FromPeer, Rest: e.Rest, Returning: e.Returning,
			})
		}
	}
	return list
}
