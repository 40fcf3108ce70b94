package revision

import (
	"time"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/source"
)

// Decision is what became of an offered document.
type Decision int

// Decisions.
const (
	Accepted  Decision = iota + 1 // the document is in force now
	Confirmed                     // the document was in force already
	Older                         // a higher revision is in force
	Conflict                      // the same revision with a greater digest is in force
	Rejected                      // the document is invalid
)

// identity names one document.
type identity struct {
	revision uint64
	digest   uint64
}

func (i identity) after(other identity) bool {
	if i.revision != other.revision {
		return i.revision > other.revision
	}
	return i.digest > other.digest
}

// State is the configuration of one host.
type State struct {
	machine   *chart.Machine
	inForce   *config.Config
	document  source.Document
	chunks    []chunk
	since     time.Time // when the document came into force
	confirmed time.Time // when the service or a peer last stated it
	rejected  identity  // newest document that was found invalid
}

// NewState returns a state with nothing in force.
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

// ConfirmedAt returns when the service or a peer last stated the document in
// force.
func (s *State) ConfirmedAt() time.Time {
	return s.confirmed
}

// Chart returns the state of the configuration chart.
func (s *State) Chart() chart.State {
	return s.machine.State()
}

func (s *State) current() identity {
	if s.inForce == nil {
		return identity{}
	}
	return identity{s.inForce.Revision, s.inForce.Digest}
}

// Newer reports whether a document with the given revision and digest would
// replace the one in force. It is false for one that was rejected before.
func (s *State) Newer(revision, digest uint64) bool {
	other := identity{revision, digest}
	return other.after(s.current()) && other != s.rejected
}

// Known returns the highest revision that the service need not show again: the
// one in force or a higher one that was rejected.
func (s *State) Known() uint64 {
	return max(s.current().revision, s.rejected.revision)
}

// Offer judges a document from the service or a peer. The error of a rejected
// document lists its faults.
func (s *State) Offer(now time.Time, document source.Document) (Decision, error) {
	offered := identity{document.Revision, config.Digest(document.Data)}
	current := s.current()
	switch {
	case s.inForce != nil && offered == current:
		s.confirm(now)
		return Confirmed, nil
	case s.inForce != nil && offered.revision < current.revision:
		s.fire(chart.ConfigurationOlder)
		return Older, nil
	case s.inForce != nil && current.after(offered):
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

// Confirm notes that a peer or the service states the revision in force.
func (s *State) Confirm(now time.Time, revision, digest uint64) {
	if s.inForce != nil && s.current() == (identity{revision, digest}) {
		s.confirm(now)
	}
}

func (s *State) confirm(now time.Time) {
	s.confirmed = now
	s.fire(chart.ConfigurationConfirm)
}

// Check marks the configuration as stale if nobody confirmed it for maxAge.
func (s *State) Check(now time.Time, maxAge time.Duration) {
	if s.inForce != nil && now.Sub(s.confirmed) > maxAge {
		s.fire(chart.ConfigurationSilence)
	}
}

// fire moves the chart. The events that the chart calls impossible are not
// fired: none is before a document is in force.
func (s *State) fire(event chart.Event) {
	if _, err := s.machine.Fire(event); err != nil {
		panic("revision: " + err.Error())
	}
}
