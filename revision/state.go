package revision

import (
	"time"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/source"
)

// Decision is the result of an offer of a document.
type Decision int

// Decisions.
const (
	Accepted  Decision = iota + 1 // the document is in force now
	Confirmed                     // the document was in force already
	Older                         // a higher revision is in force
	Conflict                      // the same revision with a greater digest is in force
	Rejected                      // the document is invalid
)

// documentID identifies one document.
type documentID struct {
	revision uint64
	digest   uint64
}

func (i documentID) supersedes(other documentID) bool {
	if i.revision != other.revision {
		return i.revision > other.revision
	}
	return i.digest > other.digest
}

// State is the configuration state of one host.
type State struct {
	machine   *chart.Machine
	inForce   *config.Config
	document  source.Document
	chunks    []chunk
	since     time.Time  // when the document came into force
	confirmed time.Time  // when the service or a peer last confirmed it
	rejected  documentID // last document that was found invalid
}

// NewState returns a state without a document in force.
func NewState() *State {
	return &State{machine: chart.MustLoad(chart.Configuration).New()}
}

// InForce returns the configuration in force, nil if there is none.
func (s *State) InForce() *config.Config {
	return s.inForce
}

// Since returns when the document in force came into force on this host.
func (s *State) Since() time.Time {
	return s.since
}

// ConfirmedAt returns when the service or a peer last confirmed the document in
// force.
func (s *State) ConfirmedAt() time.Time {
	return s.confirmed
}

// Chart returns the state of the configuration chart.
func (s *State) Chart() chart.State {
	return s.machine.State()
}

func (s *State) current() documentID {
	if s.inForce == nil {
		return documentID{}
	}
	return documentID{s.inForce.Revision, s.inForce.Digest}
}

// Newer reports whether a document with the given revision and digest would
// replace the one in force. It is false for one that was rejected before.
func (s *State) Newer(revision, digest uint64) bool {
	candidate := documentID{revision, digest}
	return candidate.supersedes(s.current()) && candidate != s.rejected
}

// Known returns the highest revision that need not be read from the service
// again: the one in force or a higher one that was rejected.
func (s *State) Known() uint64 {
	return max(s.current().revision, s.rejected.revision)
}

// Offer decides on a document from the service or a peer, and puts it in force if
// it is valid and newer than the current one. The error of a rejected document lists its faults.
func (s *State) Offer(now time.Time, document source.Document) (Decision, error) {
	offered := documentID{document.Revision, config.Digest(document.Data)}
	current := s.current()
	switch {
	case s.inForce != nil && offered == current:
		s.confirm(now)
		return Confirmed, nil
	case s.inForce != nil && offered.revision < current.revision:
		s.fire(chart.ConfigurationOlder)
		return Older, nil
	case s.inForce != nil && current.supersedes(offered):
		s.fire(chart.ConfigurationOlder)
		return Conflict, nil
	}
	parsed, err := config.Parse(document.Revision, document.Data)
	if err != nil {
		s.rejected = offered
		s.fire(chart.ConfigurationReject)
		return Rejected, err
	}
	s.accept(now, document, parsed)
	return Accepted, nil
}

func (s *State) accept(now time.Time, document source.Document, parsed *config.Config) {
	s.inForce = parsed
	s.document = document
	s.chunks = split(document.Data)
	s.since = now
	s.confirmed = now
	s.fire(chart.ConfigurationAccept)
}

// Confirm records a confirmation by the service or a peer if the given revision
// and digest are those in force.
func (s *State) Confirm(now time.Time, revision, digest uint64) {
	if s.inForce != nil && s.current() == (documentID{revision, digest}) {
		s.confirm(now)
	}
}

func (s *State) confirm(now time.Time) {
	s.confirmed = now
	s.fire(chart.ConfigurationConfirm)
}

// Check marks the configuration as stale if neither the service nor a peer has
// confirmed it within maxAge.
func (s *State) Check(now time.Time, maxAge time.Duration) {
	if s.inForce != nil && now.Sub(s.confirmed) > maxAge {
		s.fire(chart.ConfigurationSilence)
	}
}

// fire applies an event to the chart. The chart declares some events impossible
// while no document is in force; they are not fired then.
func (s *State) fire(event chart.Event) {
	if _, err := s.machine.Fire(event); err != nil {
		panic("revision: " + err.Error())
	}
}
