package record

import (
	"cmp"
	"slices"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Outcome states whether a request ran.
type Outcome string

// Outcomes of a verdict.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not run"
	Unknown Outcome = "unknown"
)

// Run is one attempt that a host sent.
type Run struct {
	Host     ident.Host    `json:"host"` // sender of the attempt
	Attempt  uint64        `json:"attempt"`
	Upstream upstream.Name `json:"upstream"`
	Outcome  Outcome       `json:"outcome"`
}

// Verdict combines the entries of several hosts about one request.
type Verdict struct {
	Request ident.Request `json:"-"`
	Outcome Outcome       `json:"outcome"`
	Reason  string        `json:"reason"`
	Runs    []Run         `json:"runs,omitempty"`
	Entries []Entry       `json:"entries,omitempty"` // of all hosts, ordered by time
}

// Judge combines the answers of the hosts that responded. The outcome is Ran if
// one of them recorded an answer of the upstream, and NotRun only if the answer of
// the incarnation that admitted the request shows it.
func Judge(request ident.Request, answers []Answer) Verdict {
	verdict := Verdict{Request: request}
	for _, answer := range answers {
		verdict.Entries = append(verdict.Entries, answer.Entries...)
		verdict.Runs = append(verdict.Runs, runsOf(answer)...)
	}
	slices.SortStableFunc(verdict.Entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	slices.SortFunc(verdict.Runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Attempt, b.Attempt))
	})
	verdict.Outcome, verdict.Reason = decide(request, verdict, answers)
	return verdict
}

func decide(request ident.Request, verdict Verdict, answers []Answer) (Outcome, string) {
	for _, run := range verdict.Runs {
		if run.Outcome == Ran {
			return Ran, "the upstream " + string(run.Upstream) + " answered"
		}
	}
	if slices.ContainsFunc(verdict.Entries, reportsRan) {
		return Ran, "a host finished the request with a code that states that it ran"
	}
	admitting := slices.IndexFunc(answers, func(a Answer) bool {
		return a.Host == request.Host && a.Incarnation == request.Incarnation
	})
	if admitting < 0 {
		return Unknown, "the incarnation that admitted the request did not answer"
	}
	outcome, reason := decideByOrigin(answers[admitting])
	open := slices.IndexFunc(verdict.Runs, func(r Run) bool { return r.Outcome == Unknown })
	if outcome == NotRun && open >= 0 {
		return Unknown, "host " + string(verdict.Runs[open].Host) + " sent the request and did not record whether it ran"
	}
	return outcome, reason
}

// decideByOrigin decides by the answer of the incarnation that admitted the
// request if no host recorded that it ran.
func decideByOrigin(answer Answer) (Outcome, string) {
	switch answer.Result {
	case NotFound:
		return NotRun, "the host never issued the identifier"
	case Forgotten:
		return Unknown, "the host may have removed its entries of the request"
	}
	final := slices.IndexFunc(answer.Entries, func(e Entry) bool { return e.Kind == Finished })
	if final < 0 {
		return Unknown, "the request is not finished"
	}
	if result := answer.Entries[final].Code; outcomeOf(result) == code.NotRun {
		return NotRun, "the host finished the request with " + result.Name()
	}
	return Unknown, "the request may have run"
}

func reportsRan(entry Entry) bool {
	return entry.Kind == Finished && outcomeOf(entry.Code) == code.Ran
}

// outcomeOf returns the outcome of a code. A code that this version does not
// define counts as MayHaveRun.
func outcomeOf(c code.Code) code.Outcome {
	switch {
	case c == code.OK:
		return code.Ran
	case c.Name() == "Unknown":
		return code.MayHaveRun
	default:
		return c.Outcome()
	}
}

// runsOf returns the attempts that the answering host sent.
func runsOf(answer Answer) []Run {
	var runs []Run
	for _, entry := range answer.Entries {
		at := slices.IndexFunc(runs, func(r Run) bool { return r.Attempt == entry.Attempt })
		switch {
		case entry.Kind == Sending && at < 0:
			runs = append(runs, Run{Host: answer.Host, Attempt: entry.Attempt, Upstream: entry.Upstream, Outcome: Unknown})
		case at < 0:
			continue
		case entry.Kind == Refused:
			runs[at].Outcome = NotRun
		case entry.Kind == Running:
			runs[at].Outcome = Ran
		}
	}
	return runs
}
