package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronscale/citronscale/costmodel"
)

const (
	// Slow is the least estimate that counts: peers are told, and the engine is marked.
	Slow = 1.5
	// Normal is the estimate below which an engine counts as at its published speed again.
	Normal = 1.2
	// maxFactor bounds estimates, so that a long silence is forgotten soon.
	maxFactor = 16
	// gain and fallGain are the shares of the difference to a span by which the estimate
	// follows it up and down. One span at the published speed, about a quarter of a second,
	// ends an estimate of 4: a slow engine can't send one.
	gain     = 0.6
	fallGain = 0.75
	// firstGain is the same for a first event in time, which is weaker evidence.
	firstGain = 0.3
	// An estimate holds for holdTime after its last observation, then its logarithm halves
	// every halfLife: an estimate of 8 falls below Slow after 2.7 s.
	holdTime = time.Second
	halfLife = 700 * time.Millisecond
	// memory is how long an observation counts at all.
	memory = 4 * time.Second
	// suspicionTime is the time within which late first events and silences count together.
	suspicionTime = 1500 * time.Millisecond
	// maxFirstFactor bounds what late first events alone say.
	maxFirstFactor = 2
	// reportSpread is how much older than the newest report on an engine another one may be to
	// count next to it. Spans of one stream on a slow engine are about that far apart.
	reportSpread = time.Second
	// CheckInterval is the interval in which Check should be called.
	CheckInterval = 50 * time.Millisecond
	// maxAwakeStep bounds the time between two calls of Check that counts as time in which
	// this host would have read an event. A host that was suspended has read nothing.
	maxAwakeStep = CheckInterval + 10*time.Millisecond
	// enoughPeers is the number of peers that must have said the same of an engine lately for
	// this host to be silent: what is told must not grow with the streams on slow engines.
	enoughPeers = 2
	// maxReports bounds what one host tells and what is kept of one peer.
	maxReports = 32
)

// Report is what one host knows of an engine. Times are readings of the clock of this host.
type Report struct {
	Engine uint32
	Factor float64
	At     time.Duration // of the last observation
}

func (w Report) decayed(now time.Duration) float64 {
	age := now - w.At - holdTime
	return math.Exp(math.Log(w.Factor) * math.Exp2(-max(float64(age)/float64(halfLife), 0)))
}

// engine is what this host has observed of an engine.
type engine struct {
	Report
	suspect      *Stream // that waited too long for its first event
	suspectRatio float64
	suspectedAt  time.Duration
	sentSlow     time.Duration // latest time that peers were told that it is slow
	usualAt      time.Duration // latest span that counted for the usual times
}

// raise raises the estimate to a factor that was observed at least.
func (e *engine) raise(factor float64, now time.Duration) {
	e.Factor, e.At = max(e.decayed(now), min(factor, maxFactor)), now
}

// approach moves the estimate towards an observed factor by a share of the difference.
func (e *engine) approach(factor, share float64, now time.Duration) {
	from, to := math.Log(e.decayed(now)), math.Log(min(max(factor, 1), maxFactor))
	e.Factor, e.At = math.Exp(from+share*(to-from)), now
}

// Book holds the estimates of all engines. It is safe for concurrent use.
type Book struct {
	awake atomic.Int64 // time that this host was awake, as calls of Check show it

	mu        sync.Mutex
	checkedAt time.Duration
	expiredAt time.Duration
	streams   map[*Stream]bool
	usual     usual
	own       map[uint32]*engine
	peers     map[uint32]map[string]Report
	marked    map[uint32]bool // engines that count as slow
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{streams: map[*Stream]bool{}, own: map[uint32]*engine{}, peers: map[uint32]map[string]Report{}, marked: map[uint32]bool{}}
}

// Begin follows a stream that was placed on an engine. The prediction for the first event
// is for the published speed; 0 if there is none.
func (b *Book) Begin(key uint32, costs *costmodel.Costs, first, now time.Duration) *Stream {
	s := &Stream{book: b, engine: key, costs: costs, begun: now, begunAwake: b.awake.Load(), first: first}
	s.Reading(0)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams[s] = true
	return s
}

// End ends the observation of a stream.
func (b *Book) End(s *Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.streams, s)
}

// Idle reports whether no stream is followed and no engine is marked as slow, so that
// Check has nothing to do.
func (b *Book) Idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.streams) == 0 && len(b.marked) == 0
}

func (b *Book) usualFactor() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usual.factor()
}

func (b *Book) engine(key uint32) *engine {
	e, ok := b.own[key]
	if !ok {
		e = &engine{Report: Report{Engine: key, Factor: 1, At: never}, suspectedAt: never, sentSlow: never, usualAt: never}
		b.own[key] = e
	}
	return e
}

// never is a time before all observations.
const never = -time.Hour

// First records that the first event of a stream arrived. Late ones of two streams within
// a short time count; one in time is evidence that the engine has recovered.
func (b *Book) First(s *Stream, predict Predict, now time.Duration) {
	if s.first <= 0 {
		return
	}
	usual := b.usualFactor()
	// A first event that this host could have read before is not late.
	awake := time.Duration(b.awake.Load()-s.begunAwake) + maxAwakeStep
	took := min(now-s.begun, awake)
	planned := usual * millis(s.first)
	late, ratio := overdue(millis(took), planned), millis(took)/planned
	if late { // as far as was known when the stream was placed
		predicted := max(planned, usual*predict(s.costs, s.engine, took).First)
		late, ratio = overdue(millis(took), predicted), millis(took)/predicted
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine(s.engine)
	switch {
	case late:
		if e.suspect != nil && e.suspect != s && now-e.suspectedAt < suspicionTime {
			e.raise(min(ratio, e.suspectRatio, maxFirstFactor), now)
		}
		e.suspect, e.suspectedAt, e.suspectRatio = s, now, ratio
	case millis(now-s.begun) <= Normal*planned:
		e.approach(ratio, firstGain, now)
	}
}

// Span records a complete span of a stream. Its longest gap doesn't count: the prefill of a
// prompt that this host doesn't know of, or a lost packet, delays one event.
func (b *Book) Span(s *Stream, predict Predict, now time.Duration) {
	g, length := s.span, s.spanLength(now)
	s.span = gaps{}
	passes := float64(g.events - g.longestEvents)
	took := millis(g.sum - g.longest)
	high := took / (passes * s.costs.Pass(1, 0))
	low := high
	if high > Normal { // most spans need no prediction, which costs as much as a placement
		expected := predict(s.costs, s.engine, length)
		// How much of the prefill ran within the span is not known.
		low, high = took/(passes*expected.Pass+expected.Prefill), took/(passes*expected.Pass)
	}
	if math.IsNaN(high) || math.IsInf(high, 1) {
		return // the published costs say nothing of passes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine(s.engine)
	if now-e.usualAt >= usualInterval {
		e.usualAt = now
		b.usual.record(low)
	}
	low, high = low/b.usual.factor(), high/b.usual.factor()
	switch before := e.decayed(now); {
	case high < before:
		e.approach(high, fallGain, now)
	case low > before:
		e.approach(low, gain, now)
	case high <= Slow*max(low, 1):
		e.approach(before, gain, now)
	}
}

// Change is the beginning or the end of the time in which an engine counts as slow.
type Change struct {
	Estimate
	Slow bool
}

// Estimate is the estimate for an engine.
type Estimate struct {
	Engine uint32
	Factor float64
	Age    time.Duration // of the latest observation
	Own    bool          // this host has observed it lately
	Peers  int           // peers that have
}

// Check looks for engines that are silent while streams of this host wait for an event. It
// returns the engines that began or ceased to count as slow since the last call.
func (b *Book) Check(now time.Duration, predict Predict) []Change {
	silences := findSilences(b.waits(now), predict, b.usualFactor())
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, found := range silences {
		b.applySilence(key, found, now)
	}
	b.expire(now)
	return b.changes(now)
}

// waits returns how long each stream has waited for its next event while this host was
// awake, 0 for those that don't wait.
func (b *Book) waits(now time.Duration) map[*Stream]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := min(max(now-b.checkedAt, 0), maxAwakeStep)
	b.checkedAt = now
	before := b.awake.Load()
	b.awake.Store(before + int64(step))
	waits := make(map[*Stream]time.Duration, len(b.streams))
	for s := range b.streams {
		waits[s] = 0
		if since := s.waitingSince.Load(); since != notWaiting {
			waits[s] = time.Duration(before - since) // it may have begun just before this step
		}
	}
	return waits
}

// silence is the evidence of the streams that wait for an engine.
type silence struct {
	votes int
	ratio float64 // that all of them have waited, as a multiple of the prediction
	first []*Stream
}

// findSilences returns the engines with overdue events. A single late event doesn't count,
// so a stream has two votes if its event before was late as well.
func findSilences(waits map[*Stream]time.Duration, predict Predict, usual float64) map[uint32]*silence {
	found := map[uint32]*silence{}
	followed := map[uint32]bool{}
	for s, waited := range waits {
		followed[s.engine] = true
		if waited < minLate {
			continue
		}
		expected := predict(s.costs, s.engine, waited)
		decoding := s.decoding.Load()
		if !decoding && s.first <= 0 {
			continue // it may wait for other engines
		}
		predicted := expected.Gap
		if !decoding {
			predicted = max(millis(s.first), expected.First)
		}
		predicted *= usual
		if expected.Pass <= 0 || !overdue(millis(waited), predicted) {
			continue
		}
		f, ok := found[s.engine]
		if !ok {
			f = &silence{ratio: math.Inf(1)}
			found[s.engine] = f
			if expected.Overdue {
				f.votes++
			}
		}
		f.votes++
		f.ratio = min(f.ratio, millis(waited)/predicted)
		if lastGap := time.Duration(s.lastGap.Load()); decoding && millis(lastGap) > lateRatio*usual*predict(s.costs, s.engine, waited+lastGap).Gap {
			f.votes++
		}
		if !decoding {
			f.first = append(f.first, s)
		}
	}
	if len(followed) > 1 && len(found) == len(followed) {
		return nil // all at once: it is the connection of this host
	}
	return found
}

func (b *Book) applySilence(key uint32, found *silence, now time.Duration) {
	e := b.engine(key)
	votes := found.votes
	if now-e.suspectedAt < suspicionTime && !slices.Contains(found.first, e.suspect) {
		votes++
	}
	for _, report := range b.peers[key] {
		if report.decayed(now) >= Slow {
			votes++
			break
		}
	}
	if votes > 1 {
		e.raise(found.ratio, now)
	}
}

func (b *Book) changes(now time.Duration) []Change {
	var changes []Change
	for key := range b.keys() {
		estimate := b.estimate(key, now)
		switch {
		case !b.marked[key] && estimate.Factor >= Slow:
			b.marked[key] = true
			changes = append(changes, Change{estimate, true})
		case b.marked[key] && estimate.Factor < Normal:
			delete(b.marked, key)
			changes = append(changes, Change{estimate, false})
		}
	}
	return changes
}

// keys returns the engines that are marked or may be slow.
func (b *Book) keys() map[uint32]bool {
	keys := maps.Clone(b.marked)
	for key, e := range b.own {
		if e.Factor >= Slow {
			keys[key] = true
		}
	}
	for key := range b.peers {
		keys[key] = true
	}
	return keys
}

// estimate returns the lower median of the newest reports of this host and its peers.
func (b *Book) estimate(key uint32, now time.Duration) Estimate {
	newest := now - memory
	own, isKnown := b.own[key]
	if isKnown {
		newest = max(newest, own.At)
	}
	for _, report := range b.peers[key] {
		newest = max(newest, report.At)
	}
	oldest := max(newest-reportSpread, now-memory+1)
	estimate := Estimate{Engine: key, Factor: 1, Age: now - newest}
	var factors []float64
	if isKnown && own.At >= oldest {
		factors = append(factors, own.decayed(now))
		estimate.Own = true
	}
	for _, report := range b.peers[key] {
		if report.At >= oldest {
			factors = append(factors, report.decayed(now))
			estimate.Peers++
		}
	}
	if len(factors) > 0 {
		slices.Sort(factors)
		estimate.Factor = factors[(len(factors)-1)/2]
	}
	return estimate
}

// Estimates returns the engines that are slow, by key.
func (b *Book) Estimates(now time.Duration) map[uint32]Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var slow map[uint32]Estimate
	for key := range b.keys() {
		if estimate := b.estimate(key, now); estimate.Factor >= Slow {
			if slow == nil {
				slow = map[uint32]Estimate{}
			}
			slow[key] = estimate
		}
	}
	return slow
}

// Reports returns what other hosts should know: the engines that this host has observed to
// be slow, and for a while those of which it has said so and that have recovered. What
// peers said is not repeated, and not confirmed if enough of them have said it.
func (b *Book) Reports(now time.Duration) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []Report
	for _, e := range b.own {
		switch {
		case now-e.At >= memory || b.isKnown(e):
		case e.decayed(now) >= Slow:
			e.sentSlow = now
			reports = append(reports, e.Report)
		case now-e.sentSlow < memory && e.Factor < Slow:
			reports = append(reports, e.Report)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Factor, a.Factor), cmp.Compare(a.Engine, b.Engine))
	})
	return reports[:min(len(reports), maxReports)]
}

// isKnown reports whether enough peers have said the same of an engine lately as this host
// would.
func (b *Book) isKnown(e *engine) bool {
	agreeing := 0
	for _, report := range b.peers[e.Engine] {
		if report.At >= e.At-reportSpread && (report.Factor >= Slow) == (e.Factor >= Slow) {
			agreeing++
		}
	}
	return agreeing >= enoughPeers
}

// SetPeer records what a peer has observed. The reports replace what was known of the same
// engines; the others are forgotten by their age.
func (b *Book) SetPeer(peer string, reports []Report, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, report := range reports[:min(len(reports), maxReports)] {
		if math.IsNaN(report.Factor) || now-report.At >= memory {
			continue
		}
		report.Factor = min(max(report.Factor, 1), maxFactor)
		if b.peers[report.Engine] == nil {
			b.peers[report.Engine] = map[string]Report{}
		}
		b.peers[report.Engine][peer] = report
	}
	b.expire(now)
}

// expire drops what doesn't count any more.
func (b *Book) expire(now time.Duration) {
	if now-b.expiredAt < holdTime {
		return
	}
	b.expiredAt = now
	maps.DeleteFunc(b.own, func(_ uint32, e *engine) bool {
		return now-max(e.At, e.suspectedAt, e.sentSlow) >= memory
	})
	maps.DeleteFunc(b.peers, func(_ uint32, reports map[string]Report) bool {
		maps.DeleteFunc(reports, func(_ string, w Report) bool { return now-w.At >= memory })
		return len(reports) == 0
	})
}
