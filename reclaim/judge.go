package reclaim

import (
	"time"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Reason says why nobody waits for a piece of work.
type Reason int

// Reasons.
const (
	DeadlinePassed Reason = iota + 1 // the deadline of the attempt has passed
	DeadlineWrong                    // the deadline lies further ahead than any request may ask for
	HolderReplaced                   // a later incarnation of the host exists
	HolderFailed                     // the host has not been heard for the grace
)

// String returns the reason as logs spell it.
func (r Reason) String() string {
	switch r {
	case DeadlinePassed:
		return "deadline passed"
	case DeadlineWrong:
		return "deadline wrong"
	case HolderReplaced:
		return "holder replaced"
	case HolderFailed:
		return "holder failed"
	default:
		return "unknown"
	}
}

// Options bound the errors that Judge allows for.
type Options struct {
	MaxSkew     time.Duration // between the clocks of any two hosts
	MaxDeadline time.Duration // longest time to the deadline that a request may ask for
	FailedGrace time.Duration // between the failure of a host and the loss of its work
}

// DefaultOptions returns the options in use unless the configuration says
// otherwise.
func DefaultOptions() Options {
	return Options{
		MaxSkew:     2 * time.Second,
		MaxDeadline: time.Hour,
		FailedGrace: 30 * time.Second,
	}
}

// Host is what the membership view says about one host.
type Host struct {
	Name        ident.Host
	Incarnation ident.Incarnation // the newest known
	Failed      bool
	FailedSince time.Time
}

// View is the membership as the owner of an engine sees it.
type View struct {
	hosts    map[ident.Host]Host
	isolated bool
}

// NewView returns the view that holds the given hosts. If at least half of them
// have failed, the owner itself is probably cut off, and the view calls none
// of them lost.
func NewView(hosts []Host) View {
	v := View{hosts: make(map[ident.Host]Host, len(hosts))}
	failed := 0
	for _, h := range hosts {
		v.hosts[h.Name] = h
		if h.Failed {
			failed++
		}
	}
	v.isolated = 2*failed >= len(hosts)
	return v
}

// Cancel is one attempt that should be cancelled on the engine.
type Cancel struct {
	Attempt ident.Attempt
	Reason  Reason
}

// Attempts returns all work that a report shows, running, waiting or held.
func Attempts(report *upstream.Report) []ident.Attempt {
	var attempts []ident.Attempt
	for _, group := range [][]upstream.Work{report.Running, report.Waiting, report.Held} {
		for _, work := range group {
			attempts = append(attempts, work.Attempt)
		}
	}
	return attempts
}

// Judge returns the attempts among those on an engine that nobody waits for.
func Judge(now time.Time, options Options, view View, attempts []ident.Attempt) []Cancel {
	var cancels []Cancel
	for _, attempt := range attempts {
		if reason := judge(now, options, view, attempt); reason != 0 {
			cancels = append(cancels, Cancel{Attempt: attempt, Reason: reason})
		}
	}
	return cancels
}

func judge(now time.Time, options Options, view View, attempt ident.Attempt) Reason {
	if now.After(attempt.Deadline.Add(options.MaxSkew)) {
		return DeadlinePassed
	}
	if attempt.Deadline.After(now.Add(options.MaxDeadline + options.MaxSkew)) {
		return DeadlineWrong
	}
	host, known := view.hosts[attempt.Request.Host]
	if !known {
		return 0
	}
	if attempt.Request.Incarnation < host.Incarnation {
		return HolderReplaced
	}
	if host.Failed && !view.isolated && now.Sub(host.FailedSince) > options.FailedGrace {
		return HolderFailed
	}
	return 0
}
