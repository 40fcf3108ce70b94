package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

const maxPool = 12

// envelope is a probe or a response in transit.
type envelope struct {
	from, to ident.Host
	sender   *Table // process that sent the probe
	request  *peerv1.HeartbeatRequest
	response *peerv1.HeartbeatResponse
}

// history drives a few tables through faults. The oracle is the set of the live
// processes' own records.
type history struct {
	*fleet
	t    *rapid.T
	pool []envelope
	seen map[*Table]map[ident.Host]entry
}

func newHistory(t *rapid.T) *history {
	h := &history{
		fleet: newFleet(testOptions(), rapid.Uint64().Draw(t, "seed")),
		t:     t,
		seen:  make(map[*Table]map[ident.Host]entry),
	}
	h.startAll(rapid.IntRange(2, 5).Draw(t, "hosts"))
	return h
}

func (h *history) drawHost() ident.Host { return rapid.SampledFrom(h.names).Draw(h.t, "host") }

func (h *history) post(from ident.Host, probes []Probe) {
	for _, p := range probes {
		h.put(envelope{from: from, to: p.Host, sender: h.tables[from], request: p.Message})
	}
}

func (h *history) put(e envelope) {
	h.pool = append(h.pool, e)
	if len(h.pool) > maxPool {
		h.pool = h.pool[1:]
	}
}

// tickAll advances the clock by one period and ticks all running hosts.
func (h *history) tickAll() {
	h.now = h.now.Add(testPeriod)
	for _, name := range h.names {
		if h.running(name) {
			h.post(name, h.fleet.tick(name))
		}
	}
}

// run simulates up to 25 periods in which messages are delivered at once or lost.
func (h *history) run() {
	h.loss = rapid.SampledFrom([]float64{0, 0, 0.3}).Draw(h.t, "loss")
	for range rapid.IntRange(1, 25).Draw(h.t, "periods") {
		h.period()
		h.check()
	}
	h.loss = 0
}

func (h *history) take() (envelope, bool) {
	if len(h.pool) == 0 {
		return envelope{}, false
	}
	i := rapid.IntRange(0, len(h.pool)-1).Draw(h.t, "message")
	e := h.pool[i]
	if rapid.IntRange(0, 5).Draw(h.t, "keep") > 0 {
		h.pool = slices.Delete(h.pool, i, i+1)
	}
	return e, true
}

// deliver delivers one message or reports its failure to the sender. A message
// that stays in the pool is delivered again later.
func (h *history) deliver() {
	e, ok := h.take()
	for _, name := range []ident.Host{e.from, e.to} {
		if ok && h.running(name) {
			h.recordPause(name)
		}
	}
	switch {
	case !ok:
	case e.response != nil:
		if h.running(e.from) && h.tables[e.from] == e.sender {
			e.sender.Response(h.now, e.to, e.response)
		}
	case h.running(e.to) && h.side[e.from] == h.side[e.to]:
		e.response = h.tables[e.to].Receive(h.now, e.request)
		h.put(e)
	case h.running(e.from) && h.tables[e.from] == e.sender:
		h.post(e.from, e.sender.Failed(h.now, e.to))
	}
}

func (h *history) restart(host ident.Host) {
	delete(h.seen, h.tables[host])
	h.start(host, h.names...).SetState(h.now, Ready)
	h.paused[host] = false
}

// check compares each table with its previous records and with its digest.
func (h *history) check() {
	for _, name := range h.names {
		table := h.tables[name]
		digest := uint64(0)
		before := h.seen[table]
		after := make(map[ident.Host]entry)
		for host, e := range table.entries {
			digest ^= e.hash()
			after[host] = *e
			h.checkEntry(table, before[host], *e)
		}
		assert.Equal(h.t, digest, table.rosterDigest, "digest of %s", name)
		h.seen[table] = after
	}
}

func (h *history) checkEntry(table *Table, before, after entry) {
	order := compareRecords(&before, after.record(false))
	assert.Assert(h.t, order <= 0, "record of %s decreased", after.host)
	if after.state == Failed && before.state != Failed && before.state != Leaving && after.host != table.self.host {
		assert.Equal(h.t, before.state, Suspect, "%s failed without suspicion", after.host)
		assert.Assert(h.t, h.now.Sub(h.resumedAt[table]) >= testSuspect, "%s failed on evidence from before a pause", after.host)
	}
}

// heal ends all faults: partitions and pauses end, and every host is in the host
// list.
func (h *history) heal() {
	clear(h.side)
	clear(h.paused)
	h.pool = nil
	seeds := make([]Seed, 0, len(h.names))
	for _, name := range h.names {
		seeds = append(seeds, Seed{Host: name, PeerAddress: "10.20.30.40:7946"})
	}
	for _, name := range h.names {
		h.tables[name].HostList(h.now, seeds)
	}
}

// TestTablesConverge applies random sequences of lost, repeated and delayed
// messages, pauses, restarts, partitions and planned stops.
func TestTablesConverge(t *testing.T) {
	const convergePeriods = 60
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		t.Repeat(map[string]func(*rapid.T){
			"":          func(*rapid.T) { h.check() },
			"tick":      func(*rapid.T) { h.tickAll() },
			"run":       func(*rapid.T) { h.run() },
			"deliver":   func(*rapid.T) { h.deliver() },
			"deliver2":  func(*rapid.T) { h.deliver() },
			"pause":     func(*rapid.T) { h.paused[h.drawHost()] = true },
			"resume":    func(*rapid.T) { h.paused[h.drawHost()] = false },
			"restart":   func(*rapid.T) { h.restart(h.drawHost()) },
			"stop":      func(*rapid.T) { h.down[h.drawHost()] = true },
			"partition": func(*rapid.T) { h.side[h.drawHost()] = rapid.IntRange(0, 1).Draw(h.t, "side") },
			"leave": func(*rapid.T) {
				if host := h.drawHost(); h.running(host) {
					h.tables[host].SetState(h.now, Leaving)
				}
			},
			"wait": func(*rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(h.t, "ms")) * time.Millisecond)
			},
		})
		h.heal()
		_, ok := h.periodsUntil(convergePeriods, h.agree)
		assert.Assert(t, ok, "%s", h.disagreement())
		h.checkOwners()
	})
}

// checkOwners checks that all live hosts agree on the hosts that own engines.
func (h *history) checkOwners() {
	first := ""
	for _, name := range h.names {
		if h.down[name] {
			continue
		}
		owners := fmt.Sprint(h.tables[name].ReadyHosts())
		if first == "" {
			first = owners
		}
		assert.Equal(h.t, owners, first)
	}
}
