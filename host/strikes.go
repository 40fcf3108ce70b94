package host

import (
	"sync"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/strike"
	"github.com/citronscale/citronscale/upstream"
)

// strikes guards the registry of content that crashes engines with a mutex.
type strikes struct {
	mu        sync.Mutex
	registry  *strike.Registry
	running   map[upstream.Name]map[strike.Digest]int // content that this host runs, by engine
	lastCrash map[upstream.Name]uint64                // last incarnation whose crash was recorded
}

const (
	maxStrikes  = 4096
	strikeDecay = time.Hour
)

func newStrikes() *strikes {
	return &strikes{
		registry:  strike.New(strike.Options{MaxRecords: maxStrikes, Decay: strikeDecay}),
		running:   make(map[upstream.Name]map[strike.Digest]int),
		lastCrash: make(map[upstream.Name]uint64),
	}
}

// judge returns the verdict on content: whether and how it may run.
func (s *strikes) judge(now time.Time, content strike.Digest) strike.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Judge(now, content)
}

// begin records that content runs on an engine. The returned function removes
// the record.
func (s *strikes) begin(name upstream.Name, content strike.Digest) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[name] == nil {
		s.running[name] = make(map[strike.Digest]int)
	}
	s.running[name][content]++
	return sync.OnceFunc(func() { s.endRun(name, content) })
}

func (s *strikes) endRun(name upstream.Name, content strike.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[name][content]--
	if s.running[name][content] <= 0 {
		delete(s.running[name], content)
	}
}

// crashed records a strike against all content that this host ran on a crashed
// engine, and returns the number of contents. A crash may be detected several
// times; content that started after the first detection ran on the next
// incarnation.
func (s *strikes) crashed(now time.Time, name upstream.Name, incarnation uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != 0 && s.lastCrash[name] == incarnation {
		return 0
	}
	s.lastCrash[name] = incarnation
	contents := make([]strike.Digest, 0, len(s.running[name]))
	for content := range s.running[name] {
		contents = append(contents, content)
	}
	if len(contents) > 0 {
		alone := len(contents) == 1 && s.registry.Isolated(contents[0])
		s.registry.Crash(now, name, incarnation, contents, alone)
	}
	return len(contents)
}

// finished clears content that ran to its end.
func (s *strikes) finished(content strike.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Finished(content)
}

// startTrial starts a trial of suspect content. It returns false while this
// host runs another copy of the content.
func (s *strikes) startTrial(content strike.Digest, verdict strike.Verdict) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.StartTrial(content, verdict)
}

// suspectEngines returns the engines on which this host runs suspect content.
func (s *strikes) suspectEngines(now time.Time) []upstream.Name {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []upstream.Name
	for name, contents := range s.running {
		for content := range contents {
			if s.registry.Judge(now, content) != strike.Allow {
				names = append(names, name)
				break
			}
		}
	}
	return names
}

func (s *strikes) endTrial(content strike.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.EndTrial(content)
}

// gossip returns the strikes that the next heartbeat carries.
func (s *strikes) gossip(now time.Time) []*peerv1.StrikeRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Gossip(now, strikesPerHeartbeat)
}

// merge adds the strikes of a heartbeat.
func (s *strikes) merge(now time.Time, records []*peerv1.StrikeRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Merge(now, records)
}
