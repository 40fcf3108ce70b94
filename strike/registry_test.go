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

// world holds the registries of three hosts, undelivered heartbeats and the
// engines, which count how often each was lost.
type world struct {
	t       assert.TestingT
	choose  testseed.Chooser
	now     time.Time
	hosts   [testHosts]*Registry
	engines [testEngines]engine
	wire    []heartbeat

	unaware int            // copies that crashed an engine, sent by hosts that knew of no strike
	trials  [testHosts]int // the same for hosts that knew of one
}

type engine struct {
	incarnation uint64
	copies      []running
}

type running struct {
	host    int
	content Digest
	verdict Verdict
}

type heartbeat struct {
	to      int
	strikes []*peerv1.StrikeRecord
}

func newWorld(t assert.TestingT, choose testseed.Chooser) *world {
	w := &world{t: t, choose: choose, now: time.UnixMilli(1_000_000)}
	for h := range w.hosts {
		w.hosts[h] = New(Options{Decay: testDecay, MaxRecords: 1000})
	}
	return w
}

func (w *world) step() {
	steps := []func(){w.send, w.send, w.run, w.run, w.gossip, w.deliver, w.deliver, w.lose}
	steps[w.choose.Pick("step", len(steps))]()
	for h, registry := range w.hosts {
		for content := range Digest(testContents) {
			assert.Assert(w.t, content == poison || registry.Judge(w.now, content) != Refuse, "content %d is refused", content)
		}
		assert.Assert(w.t, w.trials[h] <= 2, "host %d lost %d engines to copies of a known suspect", h, w.trials[h])
	}
}

// send places a copy of some content by the verdict of a host.
func (w *world) send() {
	h := w.choose.Pick("host", testHosts)
	content := Digest(w.choose.Pick("content", testContents))
	e := &w.engines[w.choose.Pick("engine", testEngines)]
	switch w.hosts[h].Judge(w.now, content) {
	case Allow:
		if len(e.copies) == 0 || e.copies[0].verdict != Isolate {
			e.copies = append(e.copies, running{h, content, Allow})
		}
	case Spread:
		if !w.runsSuspect(h, e) && w.hosts[h].StartTrial(content, Spread) {
			e.copies = append(e.copies, running{h, content, Spread})
		}
	case Isolate:
		if len(e.copies) == 0 && w.hosts[h].StartTrial(content, Isolate) {
			e.copies = append(e.copies, running{h, content, Isolate})
		}
	}
}

// runsSuspect reports whether an engine is no place for a spread copy.
func (w *world) runsSuspect(h int, e *engine) bool {
	return slices.ContainsFunc(e.copies, func(c running) bool {
		return c.verdict == Isolate || (c.host == h && w.hosts[h].Judge(w.now, c.content) != Allow)
	})
}

// run ends what an engine runs: whole, or with a crash if the poison is there.
func (w *world) run() {
	at := w.choose.Pick("engine", testEngines)
	e := &w.engines[at]
	crashed := slices.ContainsFunc(e.copies, func(c running) bool { return c.content == poison })
	if crashed {
		w.crash(upstream.Name(strconv.Itoa(at)), e)
	}
	for _, c := range e.copies {
		if !crashed {
			w.hosts[c.host].Finished(c.content)
		}
		if c.verdict != Allow {
			w.hosts[c.host].EndTrial(c.content)
		}
	}
	e.copies = nil
}

func (w *world) crash(name upstream.Name, e *engine) {
	e.incarnation++
	for _, c := range e.copies {
		switch {
		case c.content != poison:
		case c.verdict == Allow:
			w.unaware++
		default:
			w.trials[c.host]++
		}
	}
	for h, registry := range w.hosts {
		var contents []Digest
		for _, c := range e.copies {
			if c.host == h {
				contents = append(contents, c.content)
			}
		}
		if len(contents) > 0 {
			registry.Crash(w.now, name, e.incarnation, contents, e.copies[0].verdict == Isolate)
		}
	}
}

func (w *world) gossip() {
	from := w.choose.Pick("from", testHosts)
	to := w.choose.Pick("to", testHosts)
	w.wire = append(w.wire, heartbeat{to, w.hosts[from].Gossip(w.now, 1+w.choose.Pick("records", 8))})
}

// deliver hands over a heartbeat, out of order and sometimes twice.
func (w *world) deliver() {
	if len(w.wire) == 0 {
		return
	}
	at := w.choose.Pick("heartbeat", len(w.wire))
	w.hosts[w.wire[at].to].Merge(w.now, w.wire[at].strikes)
	if w.choose.Pick("again", 4) > 0 {
		w.wire = slices.Delete(w.wire, at, at+1)
	}
}

func (w *world) lose() {
	if len(w.wire) > 0 {
		at := w.choose.Pick("lost", len(w.wire))
		w.wire = slices.Delete(w.wire, at, at+1)
	}
}

// settle exchanges all strikes and lets the callers send the other contents
// again until all are cleared.
func (w *world) settle() {
	w.engines = [testEngines]engine{}
	w.exchange()
	for content := range Digest(testContents) {
		if content != poison && w.hosts[0].Judge(w.now, content) != Allow {
			w.hosts[0].Finished(content) // its isolated copy runs whole
		}
	}
	w.exchange()
	for _, registry := range w.hosts {
		for content := range Digest(testContents) {
			assert.Assert(w.t, content == poison || registry.Judge(w.now, content) == Allow, "content %d is not cleared", content)
			assert.Equal(w.t, registry.Judge(w.now, content), w.hosts[0].Judge(w.now, content), "hosts disagree")
		}
	}
}

func (w *world) exchange() {
	for _, from := range w.hosts {
		for _, to := range w.hosts {
			to.Merge(w.now, from.Gossip(w.now, MaxMerge))
		}
	}
	for _, to := range w.hosts {
		to.Merge(w.now, w.hosts[testHosts-1].Gossip(w.now, MaxMerge))
	}
}

func runHistory(t assert.TestingT, choose testseed.Chooser) {
	w := newWorld(t, choose)
	for range historySteps {
		w.step()
	}
	w.settle()
}

// TestCrashingContentIsSingledOut checks the bound of the package comment and
// that no other content is refused, with heartbeats lost, doubled and late.
func TestCrashingContentIsSingledOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runHistory(t, testseed.Drawn{T: t})
	})
}

// TestCrashingContentIsSingledOutLong tries many seeded histories.
func TestCrashingContentIsSingledOutLong(t *testing.T) {
	for history := range uint64(1000) {
		t.Run(strconv.FormatUint(history, 10), func(t *testing.T) {
			runHistory(t, testseed.Seeded(history))
		})
	}
}

// TestThreeEnginesAreLost sends the poison through every host in turn, each
// after the strikes of the last arrived.
func TestThreeEnginesAreLost(t *testing.T) {
	w := newWorld(t, testseed.Seeded(1))
	for round := range 20 {
		h := round % testHosts
		verdict := w.hosts[h].Judge(w.now, poison)
		if verdict == Refuse {
			continue
		}
		e := &w.engines[round%testEngines]
		e.copies = []running{{h, poison, verdict}}
		if verdict != Isolate {
			e.copies = append(e.copies, running{h, 2 + Digest(round), Allow})
		}
		w.crash(upstream.Name(strconv.Itoa(round%testEngines)), e)
		w.exchange()
	}
	assert.Equal(t, w.unaware+w.trials[0]+w.trials[1]+w.trials[2], 3)
	assert.Equal(t, w.hosts[0].Judge(w.now, 2), Spread)
	assert.Equal(t, w.hosts[0].Judge(w.now.Add(testDecay), poison), Allow)
}

// TestMergeIsCommutative merges the same strikes in two orders, some twice.
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
		one, two := New(Options{testDecay, 100}), New(Options{testDecay, 100})
		one.Merge(now, strikes)
		shuffled := rapid.Permutation(strikes).Draw(t, "order")
		two.Merge(now, shuffled)
		two.Merge(now, shuffled[:len(shuffled)/2])
		assert.Equal(t, len(one.records), len(two.records))
		for key, known := range one.records {
			assert.Assert(t, known.time.Equal(two.records[key].time) && known.suspects == two.records[key].suspects && known.cleared == two.records[key].cleared)
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
