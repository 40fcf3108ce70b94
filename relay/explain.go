package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronscale/citronscale/admission"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/route"
	"github.com/citronscale/citronscale/strike"
)

// Question describes a request that Explain places without sending it.
type Question struct {
	Host, Path   string
	Team         string // empty if the request has no key
	PromptTokens int
	AnswerTokens int      // most tokens of the answer; 0 if the request names none
	Parts        []uint64 // identifiers of the parts of the prompt
}

// Explanation tells where a request would go now, and why.
type Explanation struct {
	ConfigVersion uint64               `json:"config_version"`
	Route         string               `json:"route,omitempty"`
	Kind          string               `json:"kind,omitempty"`
	Team          string               `json:"team,omitempty"`
	Refusal       *Refusal             `json:"refusal,omitempty"` // whichever service gets it
	Services      []ServiceExplanation `json:"services"`
}

// ServiceExplanation tells what happens if a request goes to one service of its route.
type ServiceExplanation struct {
	Service    string        `json:"service"`
	Weight     int           `json:"weight"`
	Chosen     string        `json:"chosen,omitempty"`
	Helpers    []string      `json:"helpers,omitempty"`
	First      time.Duration `json:"first_ns,omitempty"` // forecast of the first event
	Refusal    *Refusal      `json:"refusal,omitempty"`
	Candidates []Candidate   `json:"candidates"`
}

// Candidate is an upstream of a service.
type Candidate struct {
	Upstream      string        `json:"upstream"`
	FailureDomain string        `json:"failure_domain,omitempty"`
	Streams       int           `json:"streams"`            // under way, of all hosts for engines and of this one otherwise
	First         time.Duration `json:"first_ns,omitempty"` // forecast of the first event without helpers
	Excluded      []string      `json:"excluded,omitempty"` // reasons that exclude it
	Notes         []string      `json:"notes,omitempty"`    // reasons that make it a worse choice
}

// Refusal is the result of a request that would not be sent now.
type Refusal struct {
	Code       code.Code     `json:"code"`
	Name       string        `json:"name"`
	Detail     string        `json:"detail"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"` // least time after which the caller would be told to come back
	Waits      bool          `json:"waits,omitempty"`          // it would wait at this host first, for about RetryAfter
}

func newRefusal(err error) *Refusal {
	if err == nil {
		return nil
	}
	r := &Refusal{Code: code.Of(err), Name: code.Of(err).Name(), Detail: err.Error()}
	var limited *limitError
	var room *roomError
	switch {
	case errors.As(err, &room):
		r.RetryAfter, r.Waits = room.wait, room.mayWait
	case errors.As(err, &limited):
		r.RetryAfter = limited.wait
	case r.Code == code.NoCapacity || r.Code == code.DeadlineTooShort:
		r.RetryAfter = retryAfterMin
	}
	return r
}

// Explain tells where a request would go now. It sends nothing, and places nothing in the
// ledger or in the counts of limits. Of upstreams that are equally good, the request may get
// another one.
func (s *Server) Explain(ctx context.Context, q Question) Explanation {
	e := Explanation{Team: q.Team, Services: []ServiceExplanation{}}
	table, r, err := s.match(q.Host, q.Path)
	if table != nil {
		e.ConfigVersion = table.Version()
	}
	if err != nil {
		e.Refusal = newRefusal(err)
		return e
	}
	e.Route, e.Kind = r.Name, r.Kind.String()
	now := boottime.Now()
	x := &exchange{
		s: s, ctx: ctx, arrived: now, explains: true, table: table, route: r, team: q.Team, deadlineAt: now + r.Timeout,
		call:    Call{PromptTokens: q.PromptTokens, MaxAnswerTokens: q.AnswerTokens, Parts: q.Parts},
		content: strike.Request{Parts: q.Parts},
	}
	e.Refusal = newRefusal(x.explainAdmission())
	for _, b := range r.Backends {
		service, _ := table.Backend(r, b.Service)
		x.service = service
		e.Services = append(e.Services, x.explainService(b.Weight, now))
	}
	return e
}

// explainAdmission returns the error that refuses the request before its placement.
func (x *exchange) explainAdmission() error {
	key := ""
	if team := x.table.TeamNamed(x.team); team != nil && len(team.Keys) > 0 {
		key = team.Keys[0]
	}
	if _, err := x.s.authorize(x.table, x.route, key); err != nil {
		return err
	}
	if elapsed, isLeaving := x.s.leavingFor(x.arrived); isLeaving && elapsed > x.s.options.AdmitLeaving {
		return code.New(code.HostLeaving, "the planned stop began %v ago", elapsed)
	}
	if err := x.checkLeaving(x.arrived); err != nil {
		return err
	}
	return x.checkQuarantine()
}

func (x *exchange) explainService(weight int, now time.Duration) ServiceExplanation {
	rng := rand.New(rand.NewPCG(uint64(now), 0))
	e := ServiceExplanation{Service: x.service.Name, Weight: weight, Candidates: []Candidate{}}
	views, err := x.s.candidates(x.service.Name, now)
	switch {
	case err != nil:
	case x.route.Kind == route.Stream && x.service.Engine != nil:
		err = x.explainPlan(&e, views, now)
	default:
		var free []fleet.View
		if free, err = x.s.withinLimits(views, now); err == nil {
			chosen, _ := fleet.Choose(free, x.s.options.FailureDomain, nil, rng)
			e.Chosen = chosen.ID
		}
	}
	e.Refusal = newRefusal(err)
	e.Candidates = x.explainCandidates(views, now, rng)
	return e
}

// explainPlan decides as placeAmong does.
func (x *exchange) explainPlan(e *ServiceExplanation, views []fleet.View, now time.Duration) error {
	costs := x.service.Engine
	request := x.placementRequest(costs, x.arrived)
	engines := x.engines(costs, views, now)
	if x.s.queuesStreams() {
		admission.LeaveLastSlots(costs, engines)
	}
	plan, ok := x.decide(costs, engines, request, now)
	if wait, limited := x.s.shortestWait(views, now); !ok && limited {
		return newLimitError(len(views), wait)
	}
	x.s.placing.Lock()
	plan, ok, err := x.judge(costs, engines, request, plan, ok, now)
	x.s.placing.Unlock()
	if err != nil {
		return err
	}
	if !ok {
		return code.New(code.NoCapacity, "none of %d engines has capacity for a prompt of %d tokens", len(engines), request.Prompt)
	}
	if err := x.checkPlan(costs, engines, request, plan); err != nil {
		return err
	}
	e.Chosen, e.First = views[plan.Main].ID, costmodel.Millis(plan.First)
	for _, i := range plan.Helpers {
		e.Helpers = append(e.Helpers, views[i].ID)
	}
	return nil
}

// explainCandidates describes the upstreams of the service. Those in views may get requests.
func (x *exchange) explainCandidates(views []fleet.View, now time.Duration, rng *rand.Rand) []Candidate {
	costs := x.service.Engine
	var engines []place.Engine
	if costs != nil {
		engines = x.engines(costs, views, now)
	}
	list, evacuated := []Candidate{}, x.s.upstreams.Evacuated()
	for _, v := range x.s.upstreams.All(x.service.Name, now) {
		c := Candidate{Upstream: v.ID, FailureDomain: v.FailureDomain, Streams: v.InFlight}
		i := slices.IndexFunc(views, func(w fleet.View) bool { return w.ID == v.ID })
		switch {
		case i >= 0:
		case v.Draining:
			c.Excluded = append(c.Excluded, "leaving")
		case slices.Contains(evacuated, v.FailureDomain):
			c.Excluded = append(c.Excluded, "its failure domain is evacuated")
		default:
			c.Excluded = append(c.Excluded, "leaves or rests, as its answers say")
		}
		if wait := x.s.limits.Wait(limitKey(v.ID), now); wait > 0 {
			c.Excluded = append(c.Excluded, fmt.Sprintf("at the rate that it names, or that it may get while it is cold, for %v", wait.Round(time.Millisecond)))
		}
		if i >= 0 && costs != nil {
			x.explainEngine(&c, costs, engines[i], rng)
		}
		c.Notes = append(c.Notes, candidateNotes(&v, now)...)
		list = append(list, c)
	}
	return list
}

// explainEngine adds what the placement says of one engine alone.
func (x *exchange) explainEngine(c *Candidate, costs *costmodel.Costs, e place.Engine, rng *rand.Rand) {
	request := x.placementRequest(costs, x.arrived)
	c.Streams = 0
	if e.Load != nil {
		c.Streams = len(e.Load.Sequences)
	}
	e.AtLimit = false // told by the caller
	if e.Pace > 1 {
		c.Notes = append(c.Notes, fmt.Sprintf("%.1f times slower than published", e.Pace))
	}
	plan, ok := place.Decide(costs, []place.Engine{e}, request, rng)
	switch {
	case ok:
		c.First = costmodel.Millis(plan.First)
		if err := x.checkPlan(costs, []place.Engine{e}, request, plan); err != nil {
			c.Notes = append(c.Notes, "alone: "+err.Error())
		}
	case costs.Slots > 0 && c.Streams >= costs.Slots:
		c.Excluded = append(c.Excluded, fmt.Sprintf("no free slot, %d of %d in use", c.Streams, costs.Slots))
	default:
		c.Notes = append(c.Notes, fmt.Sprintf("no memory for %d tokens without helpers", request.Prompt+request.Answer))
	}
}

func candidateNotes(v *fleet.View, now time.Duration) []string {
	var notes []string
	if v.Avoided {
		notes = append(notes, "avoided, it was unreachable")
	}
	if v.WarmUp > 0 || v.ColdUntil > now {
		notes = append(notes, "cold after its start")
	}
	if v.Returning > 0 {
		notes = append(notes, "its failure domain was evacuated until a short time ago")
	}
	const shown = 0.01 // smaller rates change no choice
	if v.FailureRate >= shown {
		notes = append(notes, fmt.Sprintf("failure rate %.2f", v.FailureRate))
	}
	return notes
}
