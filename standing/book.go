package standing

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/fleet"
)

const (
	// drainShare is the part of the drain time after which a leaving upstream gets nothing at
	// all. The rest is for requests that were placed before and are still on their way.
	drainShare = 0.75
	// probeWait is when to ask again while the first request after a pause is not answered.
	// Plain calls take about that long.
	probeWait = 50 * time.Millisecond
	// probeTime is how long the first request after a pause holds others back. An upstream
	// that wants a further pause refuses at once, but its answer to a large prompt may take
	// many seconds to begin.
	probeTime = 500 * time.Millisecond
	// announceTime is how long peers are told of an upstream that leaves. A host that hears
	// nothing in that time learns it from its own first answer.
	announceTime = 5 * time.Second
	// maxDepartures bounds an announcement: 64 departures take about 900 bytes.
	maxDepartures = 64
	// maxDepartureAge is far above the age of news that hosts pass on.
	maxDepartureAge = time.Minute
	// memoryTime is how long a record is kept that nobody asks for. An entry may be missing
	// for seconds while the store is read again, and its process may still be the same.
	memoryTime     = time.Hour
	expireInterval = time.Minute
	// maxRecords is three times the upstreams of the largest fleet.
	maxRecords = 16384
)

var standingChart = chart.MustLoad(chart.Standing)

// Process identifies a process of an upstream. Both fields are as in messages between hosts.
type Process struct {
	Key     uint32 // hash of the identifier
	Started uint32 // low 32 bits of the start in Unix milliseconds; 0: not known
}

// ProcessOf returns the process of an upstream.
func ProcessOf(u fleet.Upstream) Process {
	p := Process{Key: keyOf(u.ID), Started: uint32(u.Started)}
	if u.Started != 0 && p.Started == 0 {
		p.Started = 1
	}
	return p
}

func keyOf(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// same reports whether two start times may be of the same process.
func same(a, b uint32) bool {
	return a == b || a == 0 || b == 0
}

// record is what is known of one process. Times are readings of the clock of this host.
type record struct {
	started   uint32
	machine   *chart.Machine
	leavingAt time.Duration // of the first answer that says so
	announced bool          // this host heard it first, and tells its peers
	restUntil time.Duration
	probe     *probe // the latest request that was sent after the pause and is not answered, or nil
	probedAt  time.Duration
	usedAt    time.Duration
}

// probe is one request to an upstream that returns from a pause.
type probe struct{ _ byte } // not empty, so that each has an address of its own

func (r *record) leaving() bool {
	return r.machine.State() == chart.StandingLeaving
}

// returning reports whether the pause is over and no request was answered since.
func (r *record) returning(now time.Duration) bool {
	return r.machine.State() == chart.StandingResting && now >= r.restUntil
}

// heldBack reports whether the upstream gets nothing now because it returns from a pause and
// got a request a moment ago that is not answered.
func (r *record) heldBack(now time.Duration) bool {
	return r.returning(now) && r.probe != nil && now-r.probedAt < probeTime
}

// Options are the settings of a Book.
type Options struct {
	// Drain is the time after which an upstream that leaves must get nothing new.
	Drain time.Duration
}

// Book holds the records of one host. It is safe for concurrent use.
type Book struct {
	options Options

	mu        sync.Mutex
	records   map[uint32][]*record // by key of the identifier
	count     int
	expiredAt time.Duration
}

// NewBook returns an empty book.
func NewBook(options Options) *Book {
	return &Book{options: options, records: map[uint32][]*record{}}
}

// Answer is what one answer says of its upstream.
type Answer struct {
	Leaving bool
	Rest    time.Duration // the pause that it asks for; 0 for none
	SentAt  time.Duration // when the request was sent
}

// Change tells which standings an answer changed.
type Change struct {
	Leaves bool // it was not known to be leaving
	Rests  bool // it served, or an earlier pause was over
	Serves bool // it served again for the first time after a pause
}

// Answered records an answer of an upstream.
func (b *Book) Answered(u fleet.Upstream, a Answer, now time.Duration) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := ProcessOf(u)
	r := b.find(p)
	if r == nil && !a.Leaving && a.Rest <= 0 {
		return Change{}
	}
	if r == nil {
		r = b.add(p, now)
	}
	r.usedAt = now
	var change Change
	if a.Rest > 0 {
		change.Rests = !r.leaving() && now >= r.restUntil
		r.restUntil = max(r.restUntil, now+a.Rest)
		fire(r, chart.StandingRest)
	} else if r.returning(now) && a.SentAt >= r.restUntil {
		change.Serves, r.probe = true, nil
		fire(r, chart.StandingAnswer)
	}
	if a.Leaving && !r.leaving() {
		change.Leaves = true
		r.leavingAt, r.announced = now, true
		fire(r, chart.StandingLeave)
	}
	return change
}

// fire applies an event. No event is impossible in the chart.
func fire(r *record, event chart.Event) {
	if _, err := r.machine.Fire(event); err != nil {
		panic(err)
	}
}

// find returns the record of a process, or nil. A record with the same start time is
// preferred to one whose process may be another one. A record without a start time gets that
// of the process, so that a later process is told apart. The caller holds the lock.
func (b *Book) find(p Process) *record {
	var found *record
	for _, r := range b.records[p.Key] {
		if r.started == p.Started {
			return r
		}
		if same(r.started, p.Started) {
			found = r
		}
	}
	if found != nil && found.started == 0 {
		found.started = p.Started
	}
	return found
}

func (b *Book) add(p Process, now time.Duration) *record {
	b.expire(now)
	if b.count >= maxRecords {
		b.evict()
	}
	r := &record{started: p.Started, machine: standingChart.New(), usedAt: now, restUntil: math.MinInt64}
	b.records[p.Key] = append(b.records[p.Key], r)
	b.count++
	return r
}

// expire drops the records that nobody has asked for in a long time.
func (b *Book) expire(now time.Duration) {
	if now-b.expiredAt < expireInterval {
		return
	}
	b.expiredAt = now
	b.drop(func(r *record) bool { return now-r.usedAt > memoryTime && now >= r.restUntil })
}

// evict drops one record: the one that was not asked for the longest, of a process that is not
// leaving if there is one.
func (b *Book) evict() {
	var oldest *record
	for _, list := range b.records {
		for _, r := range list {
			if oldest == nil || oldest.leaving() && !r.leaving() || oldest.leaving() == r.leaving() && r.usedAt < oldest.usedAt {
				oldest = r
			}
		}
	}
	b.drop(func(r *record) bool { return r == oldest })
}

func (b *Book) drop(expired func(*record) bool) {
	for key, list := range b.records {
		kept := slices.DeleteFunc(list, expired)
		b.count -= len(list) - len(kept)
		b.records[key] = kept
		if len(kept) == 0 {
			delete(b.records, key)
		}
	}
}

// Selection is the answer of Select.
type Selection struct {
	Usable []fleet.View // may get a request now
	// Resting tells that none is usable and at least one will be, after Wait at the earliest.
	Resting bool
	Wait    time.Duration
	Leaving int // upstreams that are leaving
}

// Select returns which of the upstreams of a service may get a request now. It may reorder
// and overwrite the list.
func (b *Book) Select(views []fleet.View, now time.Duration) Selection {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.count == 0 {
		return Selection{Usable: views}
	}
	var s Selection
	var lastResort []fleet.View
	wait := time.Duration(math.MaxInt64)
	reachable := false
	kept := 0
	for i := range views {
		v := &views[i] // a copy of each would take most of the time in large fleets
		r := b.find(ProcessOf(v.Upstream))
		switch {
		case r != nil && r.leaving():
			s.Leaving++
			if b.admits(r, now) {
				lastResort = append(lastResort, *v)
			}
		case r != nil && now < r.restUntil:
			wait = min(wait, r.restUntil-now)
		case r != nil && r.heldBack(now):
			wait = min(wait, probeWait)
		default:
			reachable = reachable || !v.Avoided
			if kept < i {
				views[kept] = *v
			}
			kept++
		}
		if r != nil {
			r.usedAt = now
		}
	}
	s.Usable = views[:kept]
	if !reachable && len(lastResort) > 0 {
		s.Usable = append(s.Usable, lastResort...)
		slices.SortFunc(s.Usable, func(x, y fleet.View) int { return strings.Compare(x.ID, y.ID) })
	}
	if len(s.Usable) == 0 && wait < math.MaxInt64 {
		s.Resting, s.Wait = true, wait
	}
	return s
}

// admits reports whether a request may be sent to a process at all.
func (b *Book) admits(r *record, now time.Duration) bool {
	if r.leaving() && now-r.leavingAt >= time.Duration(drainShare*float64(b.options.Drain)) {
		return false
	}
	return now >= r.restUntil
}

// Admits reports whether a request that was placed a moment ago may still be sent.
func (b *Book) Admits(u fleet.Upstream, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.find(ProcessOf(u))
	return r == nil || b.admits(r, now)
}

// Returning returns the identifiers of the upstreams that get few requests after a pause;
// nil if there is none.
func (b *Book) Returning(views []fleet.View, now time.Duration) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.anyReturns(now) {
		return nil
	}
	ids := map[string]bool{}
	for i := range views {
		if r := b.find(ProcessOf(views[i].Upstream)); r != nil && r.returning(now) {
			ids[views[i].ID] = true
		}
	}
	return ids
}

// anyReturns reports whether a process returns. There are far fewer records than upstreams.
func (b *Book) anyReturns(now time.Duration) bool {
	for _, list := range b.records {
		for _, r := range list {
			if r.returning(now) {
				return true
			}
		}
	}
	return false
}

// Take decides about a request that is about to be sent. It fails if the upstream may not
// get it, or if another request was sent a moment ago to an upstream that returns from a pause. The
// caller calls release when the attempt has ended.
func (b *Book) Take(u fleet.Upstream, now time.Duration) (release func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.find(ProcessOf(u))
	if r == nil {
		return func() {}, true
	}
	if !b.admits(r, now) || r.heldBack(now) {
		return nil, false
	}
	if !r.returning(now) {
		return func() {}, true
	}
	own := &probe{}
	r.probe, r.probedAt = own, now
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if r.probe == own {
			r.probe = nil
		}
	}, true
}

// Departure is a process that leaves, for messages between hosts.
type Departure struct {
	Process Process
	At      time.Duration // of the first answer that said so
}

// Departures returns what this host tells its peers: the processes of which it heard first,
// for a few seconds, the newest first. What peers told is not repeated.
func (b *Book) Departures(now time.Duration) []Departure {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.count == 0 {
		return nil
	}
	var list []Departure
	for key, records := range b.records {
		for _, r := range records {
			if r.announced && now-r.leavingAt < announceTime {
				list = append(list, Departure{Process{key, r.started}, r.leavingAt})
			}
		}
	}
	slices.SortFunc(list, func(x, y Departure) int { return cmp.Compare(y.At, x.At) })
	return list[:min(len(list), maxDepartures)]
}

// SetPeer records what a peer told. It returns the processes that were not known to leave.
func (b *Book) SetPeer(departures []Departure, now time.Duration) []Process {
	if len(departures) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Process
	for _, d := range departures {
		if now-d.At > maxDepartureAge {
			continue
		}
		r := b.find(d.Process)
		if r == nil {
			if b.count >= maxRecords {
				continue
			}
			r = b.add(d.Process, now)
		}
		if r.leaving() {
			r.leavingAt = min(r.leavingAt, d.At)
			continue
		}
		r.leavingAt, r.usedAt = d.At, now
		fire(r, chart.StandingLeave)
		list = append(list, d.Process)
	}
	return list
}

// Entry is the form of a record in dumps. Times are from the time of the dump on.
type Entry struct {
	Started   uint32        // low 32 bits of the start of the process, Unix milliseconds; 0: not known
	State     chart.State   // of the chart "standing"
	Leaving   time.Duration // since the first answer that said so
	FromPeer  bool          // a peer told first that it leaves
	Rest      time.Duration // until the pause ends; 0 if there is none
	Returning bool          // it gets one request at a time, or one per probeTime
}

// Entries returns the records of the processes with an identifier.
func (b *Book) Entries(id string, now time.Duration) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Entry
	for _, r := range b.records[keyOf(id)] {
		e := Entry{Started: r.started, State: r.machine.State(), Returning: r.returning(now)}
		if r.leaving() {
			e.Leaving, e.FromPeer = now-r.leavingAt, !r.announced
		}
		if now < r.restUntil {
			e.Rest = r.restUntil - now
		}
		list = append(list, e)
	}
	return list
}
