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

// fleet simulates the tables of several hosts. Exchanges are synchronous unless
// the test queues the probes itself.
type fleet struct {
	options      Options
	rng          *rand.Rand
	now          time.Time
	names        []ident.Host
	tables       map[ident.Host]*Table
	down         map[ident.Host]bool
	paused       map[ident.Host]bool
	lastTickAt   map[*Table]time.Time // last tick
	resumedAt    map[*Table]time.Time // end of the last pause
	side         map[ident.Host]int   // hosts of different sides can't reach each other
	loss         float64              // share of exchanges that fail
	bytes        int                  // encoded size of all messages
	sent         int                  // messages
	incarnations uint64
}

func newFleet(options Options, seed uint64) *fleet {
	return &fleet{
		options:    options,
		rng:        rand.New(rand.NewPCG(seed, 1)),
		now:        testStart,
		tables:     make(map[ident.Host]*Table),
		down:       make(map[ident.Host]bool),
		paused:     make(map[ident.Host]bool),
		lastTickAt: make(map[*Table]time.Time),
		resumedAt:  make(map[*Table]time.Time),
		side:       make(map[ident.Host]int),
	}
}

func hostName(i int) ident.Host {
	return ident.Host(fmt.Sprintf("host-%d", i))
}

// start starts a new incarnation of a host with the given seeds.
func (f *fleet) start(host ident.Host, seeds ...ident.Host) *Table {
	f.incarnations++
	self := Self{
		Host:          host,
		Incarnation:   ident.Incarnation(uint64(testStart.UnixNano()) + f.incarnations),
		PeerAddress:   "10.20.30.40:7946",
		FailureDomain: fmt.Sprintf("domain-%d", f.incarnations%6),
	}
	t := New(f.options, self, f.now, rand.New(rand.NewPCG(f.incarnations, 2)))
	list := make([]Seed, 0, len(seeds))
	for _, seed := range seeds {
		list = append(list, Seed{Host: seed, PeerAddress: "10.20.30.40:7946"})
	}
	t.HostList(f.now, list)
	f.lastTickAt[t], f.resumedAt[t] = f.now, f.now
	if _, ok := f.tables[host]; !ok {
		f.names = append(f.names, host)
	}
	f.tables[host] = t
	f.down[host] = false
	return t
}

// startAll starts n ready hosts whose tables contain each other.
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
			e.sendsLeft = 0
			e.locationSendsLeft = 0
			e.changedAt = time.Time{}
		}
		t.Changes()
	}
}

// period advances the clock by one period and ticks all running hosts.
func (f *fleet) period() {
	f.now = f.now.Add(f.options.Period)
	for _, name := range f.names {
		if f.running(name) {
			f.exchangeAll(name, f.tick(name))
			f.tables[name].Changes()
		}
	}
}

// tick ticks one table and records the time.
func (f *fleet) tick(name ident.Host) []Probe {
	f.recordPause(name)
	f.lastTickAt[f.tables[name]] = f.now
	return f.tables[name].Tick(f.now)
}

// recordPause records the end of a pause if the process handles an event after
// one.
func (f *fleet) recordPause(name ident.Host) {
	t := f.tables[name]
	if f.now.Sub(f.lastTickAt[t]) > f.options.PauseTime {
		f.lastTickAt[t], f.resumedAt[t] = f.now, f.now
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
	return exists && f.running(to) && f.side[from] == f.side[to] && f.rng.Float64() >= f.loss
}

func (f *fleet) running(host ident.Host) bool { return !f.down[host] && !f.paused[host] }

func (f *fleet) count(m proto.Message) {
	f.sent++
	f.bytes += proto.Size(m)
}

// disagreement returns the first difference between a host's own record and its
// record in the table of a live host of the same side, or "".
func (f *fleet) disagreement() string {
	for _, observer := range f.names {
		if f.down[observer] {
			continue
		}
		for _, name := range f.names {
			if name == observer || f.side[name] != f.side[observer] {
				continue
			}
			if text := f.difference(observer, name); text != "" {
				return text
			}
		}
	}
	return ""
}

func (f *fleet) difference(observer, name ident.Host) string {
	e, known := f.tables[observer].entries[name]
	self := f.tables[name].self
	switch {
	case f.down[name]:
		if known && e.state != Failed {
			return fmt.Sprintf("%s counts %s as %s but it is down", observer, name, e.state)
		}
	case !known:
		return fmt.Sprintf("%s has no entry of %s", observer, name)
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

// countSeeing returns the number of live hosts whose table has the host in one of
// the states.
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
