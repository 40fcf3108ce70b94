package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

const (
	testPeriod  = 500 * time.Millisecond
	testSuspect = 3 * time.Second
)

var testStart = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// fleet holds the tables of several hosts. Exchanges are synchronous unless the
// test takes the probes into its own pool.
type fleet struct {
	options Options
	rng     *rand.Rand
	now     time.Time
	names   []ident.Host
	tables  map[ident.Host]*Table
	down    map[ident.Host]bool
	paused  map[ident.Host]bool
	ranAt   map[*Table]time.Time // last tick
	wokeAt  map[*Table]time.Time // end of the last pause
	side    map[ident.Host]int   // hosts of different sides can't reach each other
	loss    float64              // share of exchanges that fail
	bytes   int                  // encoded size of all messages
	sent    int                  // messages
	lives   uint64
}

func newFleet(options Options, seed uint64) *fleet {
	return &fleet{
		options: options,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     testStart,
		tables:  make(map[ident.Host]*Table),
		down:    make(map[ident.Host]bool),
		paused:  make(map[ident.Host]bool),
		ranAt:   make(map[*Table]time.Time),
		wokeAt:  make(map[*Table]time.Time),
		side:    make(map[ident.Host]int),
	}
}

func hostName(i int) ident.Host {
	return ident.Host(fmt.Sprintf("host-%d", i))
}

// start begins a new life of a host that knows the given seeds.
func (f *fleet) start(host ident.Host, seeds ...ident.Host) *Table {
	f.lives++
	self := Self{
		Host:          host,
		Incarnation:   ident.Incarnation(uint64(testStart.UnixNano()) + f.lives),
		PeerAddress:   "10.20.30.40:7946",
		FailureDomain: fmt.Sprintf("domain-%d", f.lives%6),
	}
	t := New(f.options, self, f.now, rand.New(rand.NewPCG(f.lives, 2)))
	list := make([]Seed, 0, len(seeds))
	for _, seed := range seeds {
		list = append(list, Seed{Host: seed, PeerAddress: "10.20.30.40:7946"})
	}
	t.HostList(f.now, list)
	f.ranAt[t], f.wokeAt[t] = f.now, f.now
	if _, ok := f.tables[host]; !ok {
		f.names = append(f.names, host)
	}
	f.tables[host] = t
	f.down[host] = false
	return t
}

// startAll starts n hosts that are ready and know each other.
func (f *fleet) startAll(n int) {
	for i := range n {
		f.start(hostName(i)).SetState(f.now, Ready)
	}
	records := make([]*peerv1.HostRecord, 0, n)
	for _, name := range f.names {
		records = append(records, f.tables[name].ownRecord())
	}
	for _, name := range f.names {
		t := f.tables[name]
		t.applyAll(f.now, records)
		for _, e := range t.order {
			e.sends = 0
			e.facts = 0
			e.changeAt = time.Time{}
		}
		t.Changes()
	}
}

// period lets all live hosts tick once.
func (f *fleet) period() {
	f.now = f.now.Add(f.options.Period)
	for _, name := range f.names {
		if f.runs(name) {
			f.exchangeAll(name, f.tick(name))
			f.tables[name].Changes()
		}
	}
}

// tick ticks one table and notes when the process ran.
func (f *fleet) tick(name ident.Host) []Probe {
	f.touch(name)
	f.ranAt[f.tables[name]] = f.now
	return f.tables[name].Tick(f.now)
}

// touch notes that the process handles an event, maybe after a pause.
func (f *fleet) touch(name ident.Host) {
	t := f.tables[name]
	if f.now.Sub(f.ranAt[t]) > f.options.PauseTime {
		f.ranAt[t], f.wokeAt[t] = f.now, f.now
	}
}

func (f *fleet) exchangeAll(from ident.Host, probes []Probe) {
	for _, p := range probes {
		f.exchange(from, p)
	}
}

func (f *fleet) exchange(from ident.Host, p Probe) {
	f.count(p.Message)
	if !f.reaches(from, p.Host) {
		f.exchangeAll(from, f.tables[from].Failed(f.now, p.Host))
		return
	}
	response := f.tables[p.Host].Receive(f.now, p.Message)
	if target := ident.Host(p.Message.GetProbeTarget()); target != "" {
		if indirect, ok := f.tables[p.Host].Probe(f.now, target); ok {
			f.exchange(p.Host, indirect)
			response.ProbeAlive = f.reaches(p.Host, target)
		}
	}
	f.count(response)
	f.tables[from].Response(f.now, p.Host, response)
}

func (f *fleet) reaches(from, to ident.Host) bool {
	_, exists := f.tables[to]
	return exists && f.runs(to) && f.side[from] == f.side[to] && f.rng.Float64() >= f.loss
}

func (f *fleet) runs(host ident.Host) bool { return !f.down[host] && !f.paused[host] }

func (f *fleet) count(m proto.Message) {
	f.sent++
	f.bytes += proto.Size(m)
}

// disagreement returns the first difference between what a live host says of
// itself and what another live host of the same side believes, or "".
func (f *fleet) disagreement() string {
	for _, observer := range f.names {
		if f.down[observer] {
			continue
		}
		for _, name := range f.names {
			if name == observer || f.side[name] != f.side[observer] {
				continue
			}
			if text := f.differs(observer, name); text != "" {
				return text
			}
		}
	}
	return ""
}

func (f *fleet) differs(observer, name ident.Host) string {
	e, known := f.tables[observer].entries[name]
	self := f.tables[name].self
	switch {
	case f.down[name]:
		if known && e.state != Failed {
			return fmt.Sprintf("%s counts %s as %s but it is down", observer, name, e.state)
		}
	case !known:
		return fmt.Sprintf("%s does not know %s", observer, name)
	case e.state != self.state || e.incarnation != self.incarnation:
		return fmt.Sprintf("%s counts %s as %s of %d but it is %s of %d",
			observer, name, e.state, e.incarnation, self.state, self.incarnation)
	}
	return ""
}

// periodsUntil runs periods until the condition holds, at most limit.
func (f *fleet) periodsUntil(limit int, done func() bool) (int, bool) {
	for n := range limit {
		if done() {
			return n, true
		}
		f.period()
	}
	return limit, done()
}

func (f *fleet) agree() bool { return f.disagreement() == "" }

// countSeeing returns how many live hosts count the host as in one of the states.
func (f *fleet) countSeeing(host ident.Host, states ...State) int {
	count := 0
	for _, name := range f.names {
		if f.down[name] || name == host {
			continue
		}
		if m, ok := f.tables[name].Member(host); ok && slices.Contains(states, m.State) {
			count++
		}
	}
	return count
}
