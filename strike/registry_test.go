package strike

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/internal/testseed"
	"github.com/citronscale/citronscale/upstream"
)

const (
	testHosts    = 3
	testEngines  = 6
	testContents = 5
	testDecay    = time.Hour
	poison       = Digest(1) // crashes every engine that runs it
	historySteps = 120
)

// simulation contains the registries of three hosts, the undelivered heartbeats and
// the engines, whose incarnations count their crashes.
type simulation struct {
	t           assert.TestingT
	choose      testseed.Chooser
	now         time.Time
	hosts       [testHosts]*Registry
	engines     [testEngines]engine
	undelivered []heartbeat

	unsuspectedCrashes int            // copies that crashed an engine, sent by hosts without a strike against the content
	suspectCrashes     [testHosts]int // copies that crashed an engine, by host that had such a strike
}

type engine struct {
	incarnation uint64
	copies      []runningCopy
}

type runningCopy struct {
	host    int
	content Digest
	verdict Verdict
}

type heartbeat struct {
	to      int
	strikes []*peerv1.StrikeRecord
}

func newSimulation(t assert.TestingT, choose testseed.Chooser) *simulation {
	s := &simulation{t: t, choose: choose, now: time.UnixMilli(1_000_000)}
	for h := range s.hosts {
		s.hosts[h] = New(Options{Decay: testDecay, MaxRecords: 1000})
	}
	return s
}

func (s *simulation) step() {
	steps := []func(){s.send, s.send, s.run, s.run, s.gossip, s.deliver, s.deliver, s.dropHeartbeat}
	steps[s.choose.Pick("step", len(steps))]()
	for h, registry := range s.hosts {
		for content := range Digest(testContents) {
			assert.Assert(s.t, content == poison || registry.Judge(s.now, content) != Refuse, "content %d is refused", content)
		}
		assert.Assert(s.t, s.suspectCrashes[h] <= 2, "host %d crashed %d engines with copies of a known suspect", h, s.suspectCrashes[h])
	}
}

// send starts a copy of some content on an engine if the verdict of the host
// allows it.
func (s *simulation) send() {
	h := s.choose.Pick("host", testHosts)
	content := Digest(s.choose.Pick("content", testContents))
	e := &s.engines[s.choose.Pick("engine", testEngines)]
	switch s.hosts[h].Judge(s.now, content) {
	case Allow:
		if len(e.copies) == 0 || e.copies[0].verdict != Isolate {
			e.copies = append(e.copies, runningCopy{h, content, Allow})
		}
	case Spread:
		if !s.forbidsSpread(h, e) && s.hosts[h].StartTrial(content, Spread) {
			e.copies = append(e.copies, runningCopy{h, content, Spread})
		}
	case Isolate:
		if len(e.copies) == 0 && s.hosts[h].StartTrial(content, Isolate) {
			e.copies = append(e.copies, runningCopy{h, content, Isolate})
		}
	}
}

// forbidsSpread reports whether an engine must not get a copy with verdict Spread.
func (s *simulation) forbidsSpread(h int, e *engine) bool {
	return slices.ContainsFunc(e.copies, func(c runningCopy) bool {
		return c.verdict == Isolate || (c.host == h && s.hosts[h].Judge(s.now, c.content) != Allow)
	})
}

// run ends all copies on an engine: with a crash if the poison is among them,
// otherwise with complete answers.
func (s *simulation) run() {
	at := s.choose.Pick("engine", testEngines)
	e := &s.engines[at]
	crashed := slices.ContainsFunc(e.copies, func(c runningCopy) bool { return c.content == poison })
	if crashed {
		s.crash(upstream.Name(strconv.Itoa(at)), e)
	}
	for _, c := range e.copies {
		if !crashed {
			s.hosts[c.host].Finished(c.content)
		}
		if c.verdict != Allow {
			s.hosts[c.host].EndTrial(c.content)
		}
	}
	e.copies = nil
}

func (s *simulation) crash(name upstream.Name, e *engine) {
	e.incarnation++
	for _, c := range e.copies {
		switch {
		case c.content != poison:
		case c.verdict == Allow:
			s.unsuspectedCrashes++
		default:
			s.suspectCrashes[c.host]++
		}
	}
	for h, registry := range s.hosts {
		var contents []Digest
		for _, c := range e.copies {
			if c.host == h {
				contents = append(contents, c.content)
			}
		}
		if len(contents) > 0 {
			registry.Crash(s.now, name, e.incarnation, contents, e.copies[0].verdict == Isolate)
		}
	}
}

func (s *simulation) gossip() {
	from := s.choose.Pick("from", testHosts)
	to := s.choose.Pick("to", testHosts)
	s.undelivered = append(s.undelivered, heartbeat{to, s.hosts[from].Gossip(s.now, 1+s.choose.Pick("records", 8))})
}

// deliver delivers a heartbeat, out of order and sometimes twice.
func (s *simulation) deliver() {
	if len(s.undelivered) == 0 {
		return
	}
	at := s.choose.Pick("heartbeat", len(s.undelivered))
	s.hosts[s.undelivered[at].to].Merge(s.now, s.undelivered[at].strikes)
	if s.choose.Pick("again", 4) > 0 {
		s.undelivered = slices.Delete(s.undelivered, at, at+1)
	}
}

func (s *simulation) dropHeartbeat() {
	if len(s.undelivered) > 0 {
		at := s.choose.Pick("lost", len(s.undelivered))
		s.undelivered = slices.Delete(s.undelivered, at, at+1)
	}
}

// settle exchanges all strikes, clears the contents other than the poison as if
// they were sent again and finished, and checks that all hosts agree.
func (s *simulation) settle() {
	s.engines = [testEngines]engine{}
	s.exchange()
	for content := range Digest(testContents) {
		if content != poison && s.hosts[0].Judge(s.now, content) != Allow {
			s.hosts[0].Finished(content) // its isolated copy runs to completion
		}
	}
	s.exchange()
	for _, registry := range s.hosts {
		for content := range Digest(testContents) {
			assert.Assert(s.t, content == poison || registry.Judge(s.now, content) == Allow, "content %d is not cleared", content)
			assert.Equal(s.t, registry.Judge(s.now, content), s.hosts[0].Judge(s.now, content), "hosts disagree")
		}
	}
}

func (s *simulation) exchange() {
	for _, from := range s.hosts {
		for _, to := range s.hosts {
			to.Merge(s.now, from.Gossip(s.now, MaxMerge))
		}
	}
	for _, to := range s.hosts {
		to.Merge(s.now, s.hosts[testHosts-1].Gossip(s.now, MaxMerge))
	}
}

func runHistory(t assert.TestingT, choose testseed.Chooser) {
	s := newSimulation(t, choose)
	for range historySteps {
		s.step()
	}
	s.settle()
}

// TestOnlyCrashingContentIsRefused guards against content that crashes more
// engines than the bound of the package comment allows, and against refusal of
// other content, while heartbeats are lost, duplicated and delayed.
func TestOnlyCrashingContentIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runHistory(t, testseed.Drawn{T: t})
	})
}

// TestOnlyCrashingContentIsRefusedSeeded runs 1000 seeded histories.
func TestOnlyCrashingContentIsRefusedSeeded(t *testing.T) {
	for history := range uint64(1000) {
		t.Run(strconv.FormatUint(history, 10), func(t *testing.T) {
			runHistory(t, testseed.Seeded(history))
		})
	}
}

// TestSequentialCopiesCrashThreeEngines sends the poison through each host in
// turn, each time after the strikes of the previous crash arrived at all hosts.
func TestSequentialCopiesCrashThreeEngines(t *testing.T) {
	s := newSimulation(t, testseed.Seeded(1))
	for round := range 20 {
		h := round % testHosts
		verdict := s.hosts[h].Judge(s.now, poison)
		if verdict == Refuse {
			continue
		}
		e := &s.engines[round%testEngines]
		e.copies = []runningCopy{{h, poison, verdict}}
		if verdict != Isolate {
			e.copies = append(e.copies, runningCopy{h, 2 + Digest(round), Allow})
		}
		s.crash(upstream.Name(strconv.Itoa(round%testEngines)), e)
		s.exchange()
	}
	assert.Equal(t, s.unsuspectedCrashes+s.suspectCrashes[0]+s.suspectCrashes[1]+s.suspectCrashes[2], 3)
	assert.Equal(t, s.hosts[0].Judge(s.now, 2), Spread)
	assert.Equal(t, s.hosts[0].Judge(s.now.Add(testDecay), poison), Allow)
}

// TestMergeIsCommutative guards against registries that differ after the same
// strikes arrive in another order or twice.
func TestMergeIsCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		strikes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *peerv1.StrikeRecord {
			return &peerv1.StrikeRecord{
				ContentDigest: rapid.Uint64Range(1, 3).Draw(t, "content"), CrashDigest: rapid.Uint64Range(1, 3).Draw(t, "crash"),
				TimeMs: rapid.Uint64Range(1, 1_100_000).Draw(t, "time"), Suspects: rapid.Uint32Range(1, 3).Draw(t, "suspects"),
				Cleared: rapid.Bool().Draw(t, "cleared"),
			}
		}), 0, 12).Draw(t, "strikes")
		inOrder, reordered := New(Options{testDecay, 100}), New(Options{testDecay, 100})
		inOrder.Merge(now, strikes)
		shuffled := rapid.Permutation(strikes).Draw(t, "order")
		reordered.Merge(now, shuffled)
		reordered.Merge(now, shuffled[:len(shuffled)/2])
		assert.Equal(t, len(inOrder.records), len(reordered.records))
		for key, stored := range inOrder.records {
			assert.Assert(t, stored.time.Equal(reordered.records[key].time) && stored.suspects == reordered.records[key].suspects && stored.cleared == reordered.records[key].cleared)
		}
	})
}

func TestMemoryIsBounded(t *testing.T) {
	r := New(Options{Decay: testDecay, MaxRecords: 10})
	now := time.UnixMilli(1_000_000)
	r.Crash(now, "engine-1", 1, []Digest{poison}, true)
	for n := range Digest(100) {
		r.Crash(now.Add(time.Second), "engine-2", uint64(n), []Digest{2 * n, 2*n + 1}, false)
		assert.Assert(t, r.Len() <= 10)
	}
	assert.Equal(t, r.Judge(now, poison), Isolate)
}
