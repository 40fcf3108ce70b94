package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/citronscale/citronscale/platform/platformtest"
)

// book is what the run has seen: the requests of callers, planned work, and
// promises that were broken.
type book struct {
	mu         sync.Mutex
	requests   []*request
	stops      []plannedStop
	violations map[string]int // by text
	order      []string       // texts in the order in which they came first
}

// plannedStop is a SIGTERM and the end of the process.
type plannedStop struct {
	host        *host
	incarnation int
	at, ended   time.Time
}

func newBook() *book {
	return &book{violations: map[string]int{}}
}

func (b *book) open(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
}

func (b *book) close(r *request, answer platformtest.CallerAnswer, leftAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.answer, r.leftAt, r.endedAt = answer, leftAt, time.Now()
}

func (b *book) noteStop(s plannedStop) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stops = append(b.stops, s)
}

// violate notes a broken promise, each text once.
func (b *book) violate(promise, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := promise + ": " + fmt.Sprintf(format, args...)
	if b.violations[text] == 0 {
		b.order = append(b.order, text)
	}
	b.violations[text]++
}

// snapshot returns copies of what was seen so far.
func (b *book) snapshot() (requests []request, stops []plannedStop) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.requests {
		requests = append(requests, *r)
	}
	return requests, append(stops, b.stops...)
}

// broken returns the broken promises.
func (b *book) broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string{}, b.order...)
}
