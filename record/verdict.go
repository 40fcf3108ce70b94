package record

import (
	"cmp"
	"slices"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Outcome is the joint answer to the question whether a request ran.
type Outcome string

// Outcomes of a verdict.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not run"
	Unknown Outcome = "unknown"
)

// Run is one attempt that left a host.
type Run struct {
	Host     ident.Host    `json:"host"` // that sent the attempt
	Attempt  uint64        `json:"attempt"`
	Upstream upstream.Name `json:"upstream"`
	Outcome  Outcome       `json:"outcome"`
}

// Verdict joins what several hosts know about one request.
type Verdict struct {
	Request ident.Request `json:"-"`
	Outcome Outcome       `json:"outcome"`
	Reason  string        `json:"reason"`
	Runs    []Run         `json:"runs,omitempty"`
	Entries []Entry       `json:"entries,omitempty"` // of all hosts by time
}

// Judge joins the answers of the hosts that could be asked. It says Ran if one
// of them saw the upstream answer, and NotRun only if the incarnation that
// admitted the request says so.
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
	if slices.ContainsFunc(verdict.Entries, saysRan) {
		return Ran, "a host finished the request with a code that says it ran"
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
		return Unknown, "host " + string(verdict.Runs[open].Host) + " sent the request and does not know whether it ran"
	}
	return outcome, reason
}

// decideByOrigin judges by the word of the incarnation that admitted the
// request, when nobody saw it run.
func decideByOrigin(answer Answer) (Outcome, string) {
	switch answer.Result {
	case NotFound:
		return NotRun, "the host never gave the identifier out"
	case Forgotten:
		return Unknown, "the host no longer remembers the request"
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

func saysRan(entry Entry) bool {
	return entry.Kind == Finished && outcomeOf(entry.Code) == code.Ran
}

// outcomeOf returns what a code says. A code that this version does not know
// says nothing certain.
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

// runsOf returns the attempts that left the answering host.
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
