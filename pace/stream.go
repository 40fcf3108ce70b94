package pace

import (
	"sync/atomic"
	"time"

	"github.com/citronscale/citronscale/costmodel"
)

const (
	// minWait is how long a read must wait for an event to show that nothing was queued
	// behind the event before it.
	minWait = time.Millisecond
	// maxWrite is the longest write of an event to a caller after which the upstream can
	// not have been held up. Socket buffers take longer to fill.
	maxWrite = 20 * time.Millisecond
	// A span has at least spanGaps gaps between events and takes at least minSpan: a host
	// with a tenth of a core may read each event up to 100 ms late. Two gaps are enough if
	// they take as long as longSpan.
	spanGaps = 3
	minSpan  = 250 * time.Millisecond
	longSpan = 400 * time.Millisecond
)

// Stream follows the events of one stream of this host. Reading and Event are called by
// one goroutine and allocate nothing.
type Stream struct {
	book    *Book
	engine  uint32
	costs   *costmodel.Costs
	begun   time.Duration
	first   time.Duration // predicted wait for the first event at the published speed; 0: not known
	started bool          // the first event has arrived

	begunAwake int64 // reading of Book.awake

	// An event is settled if nothing was queued behind it when it was read, so it was not
	// read much later than it arrived. Gaps are measured between settled events.
	last      time.Duration // latest event
	settled   bool          // settledAt is valid
	settledAt time.Duration
	events    int // since settledAt, without the latest one before it settles

	span gaps

	// For checks of silence by other goroutines.
	waitingSince atomic.Int64 // reading of Book.awake since when an event is awaited, or notWaiting
	decoding     atomic.Bool
	lastGap      atomic.Int64
}

const notWaiting = -1

// gaps are consecutive gaps between events.
type gaps struct {
	count         int
	events        int // some gaps contain events that were read in a burst
	sum           time.Duration
	longest       time.Duration
	longestEvents int
}

func (g *gaps) add(gap time.Duration, events int) {
	g.count++
	g.events += events
	g.sum += gap
	if g.longestEvents == 0 || gap*time.Duration(g.longestEvents) > g.longest*time.Duration(events) {
		g.longest, g.longestEvents = gap, events
	}
}

// Reading records that the stream waits for its next event from now on. The event before
// was written to the caller in the given time.
func (s *Stream) Reading(wrote time.Duration) {
	if wrote > maxWrite {
		s.settled, s.events, s.span = false, 0, gaps{} // a slow caller may have held up the engine
	}
	s.waitingSince.Store(s.book.awake.Load())
}

// Event records an event that was read at the given time after the read had waited for a
// time. It reports whether a span is complete, of which the caller
// calls Book.Span.
func (s *Stream) Event(now, waited time.Duration) bool {
	s.waitingSince.Store(notWaiting)
	if s.started && waited >= minWait {
		s.settle()
	}
	if !s.started {
		s.started = true
		s.decoding.Store(true)
	}
	s.last = now
	s.events++
	if s.settled { // a stream that waits has no event queued behind this one
		s.lastGap.Store(int64(now-s.settledAt) / int64(s.events))
	}
	return s.span.count >= spanGaps && s.span.sum >= minSpan || s.span.count == spanGaps-1 && s.span.sum >= longSpan
}

// settle makes the latest event a settled one.
func (s *Stream) settle() {
	if s.settled && s.events > 0 {
		gap := s.last - s.settledAt
		s.span.add(gap, s.events)
	}
	s.settled, s.settledAt, s.events = true, s.last, 0
}

// spanLength returns the time since the span began, for the prediction of its prefill. The
// prefill of a stream whose first event came at the begin of the span lies before it; hosts
// tell of first events to some ten milliseconds.
func (s *Stream) spanLength(now time.Duration) time.Duration {
	return now - s.settledAt + s.span.sum - CheckInterval
}
