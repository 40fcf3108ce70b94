package fleet

import (
	"slices"
	"strings"
	"time"
)

// All returns all upstreams of a service, also those that get no requests, sorted by identifier.
func (s *Set) All(service string, now time.Duration) []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var views []View
	published, ok := s.warming[service]
	for _, m := range s.members {
		if m.upstream.Service == service {
			views = append(views, s.view(m, published, ok, now))
		}
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return views
}
