package reclaim

import (
	"time"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Reason is why an attempt is abandoned.
type Reason int

// Reasons.
const (
	DeadlinePassed Reason = iota + 1 // the deadline of the attempt has passed
	DeadlineWrong                    // the deadline lies further ahead than any request may ask for
	HolderReplaced                   // a newer incarnation of the host exists
	HolderFailed                     // the host has been marked failed for longer than the grace period
)

// String returns the reason as written in logs.
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

// Options are the tolerances that Judge applies.
type Options struct {
	MaxSkew     time.Duration // largest difference between the clocks of any two hosts
	MaxDeadline time.Duration // longest time to the deadline that a request may ask for
	FailedGrace time.Duration // grace period from the failure of a host until its work is cancelled
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		MaxSkew:     2 * time.Second,
		MaxDeadline: time.Hour,
		FailedGrace: 30 * time.Second,
	}
}

// Host is the membership state of one host.
type Host struct {
	Name        ident.Host
	Incarnation ident.Incarnation // newest known incarnation
	Failed      bool
	FailedSince time.Time
}

// View is the membership view of the owner of an engine.
type View struct {
	hosts    map[ident.Host]Host
	isolated bool
}

// NewView returns the view of the given hosts. If at least half of them have
// failed, the owner itself is probably isolated, and Judge cancels no work for
// HolderFailed.
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

// Attempts returns the attempts of all running, waiting and held work in a
// report.
func Attempts(report *upstream.Report) []ident.Attempt {
	var attempts []ident.Attempt
	for _, group := range [][]upstream.Work{report.Running, report.Waiting, report.Held} {
		for _, work := range group {
			attempts = append(attempts, work.Attempt)
		}
	}
	return attempts
}

// Judge returns the abandoned attempts among those on an engine.
func Judge(now time.Time, options Options, view View, attempts []ident.Attempt) []Cancel {
	var cancels []Cancel
	for _, attempt := range attempts {
		if reason := cancelReason(now, options, view, attempt); reason != 0 {
			cancels = append(cancels, Cancel{Attempt: attempt, Reason: reason})
		}
	}
	return cancels
}

func cancelReason(now time.Time, options Options, view View, attempt ident.Attempt) Reason {
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
