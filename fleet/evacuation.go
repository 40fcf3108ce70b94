package fleet

import (
	"maps"
	"slices"
	"time"
)

// Evacuate takes the upstreams of a failure domain out of use until Readmit. Requests
// that they run are not affected. It reports whether that is a change.
func (s *Set) Evacuate(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.evacuated[domain]
	s.evacuated[domain] = true
	return changed
}

// Readmit ends the evacuation of a failure domain and reports whether that is a change. Its
// upstreams may be cold, so they count as cold for the warm-up of their service.
func (s *Set) Readmit(domain string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.evacuated[domain]
	if changed {
		s.readmitted[domain] = now
	}
	delete(s.evacuated, domain)
	return changed
}

// Evacuated returns the sorted names of the evacuated failure domains.
func (s *Set) Evacuated() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	domains := slices.AppendSeq([]string{}, maps.Keys(s.evacuated))
	slices.Sort(domains)
	return domains
}

// offered reports whether an upstream may get new requests.
func (s *Set) offered(m *member) bool {
	return !m.upstream.Draining && !s.evacuated[m.upstream.FailureDomain]
}
