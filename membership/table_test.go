package membership

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
	_ "github.com/citronscale/citronscale/internal/testseed"
)

func testOptions() Options { return DefaultOptions(testPeriod, testSuspect) }

// TestLeavingReachesAllHosts checks that the state leaving spreads despite lost
// exchanges and without the leaving mark of the host list.
func TestLeavingReachesAllHosts(t *testing.T) {
	const leavingPeriods = 6 // three seconds
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(testOptions(), rapid.Uint64().Draw(t, "seed"))
		f.startAll(rapid.IntRange(2, 18).Draw(t, "hosts"))
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
		for range rapid.IntRange(0, 10).Draw(t, "before") {
			f.period()
		}
		leaving := rapid.SampledFrom(f.names).Draw(t, "leaving")
		f.tables[leaving].SetState(f.now, Leaving)
		for range leavingPeriods {
			f.period()
		}
		assert.Equal(t, f.countSeeing(leaving, Leaving, Failed), len(f.names)-1)
		for _, name := range f.names {
			for _, owner := range f.tables[name].ReadyHosts() {
				assert.Assert(t, owner != leaving, "%s still counts %s as an owner", name, leaving)
			}
		}
	})
}

func TestHostRefutesSuspicion(t *testing.T) {
	f := newFleet(testOptions(), 1)
	f.startAll(2)
	a, b := f.tables[hostName(0)], f.tables[hostName(1)]
	a.change(f.now, a.entries[hostName(1)], Suspect)
	f.period()
	assert.Equal(t, a.entries[hostName(1)].state, Ready)
	assert.Assert(t, b.self.version > 1)
}

// A partitioned peer may report a live host as failed. The report only makes the
// host suspect, and the host keeps its engines for the suspect time.
func TestReportedFailureOnlyMakesHostSuspect(t *testing.T) {
	f := newFleet(testOptions(), 1)
	f.startAll(3)
	a := f.tables[hostName(0)]
	a.applyAll(f.now, []*peerv1.HostRecord{{
		Host: string(hostName(1)), Incarnation: uint64(f.tables[hostName(1)].self.incarnation), Version: 2, State: Failed,
	}})
	assert.Equal(t, a.entries[hostName(1)].state, Suspect)
	assert.Equal(t, len(a.ReadyHosts()), 3)
}

func TestLaterIncarnationOfTheSameHostIsAConflict(t *testing.T) {
	f := newFleet(testOptions(), 1)
	table := f.start(hostName(0))
	later := table.self.incarnation + 5
	table.applyAll(f.now, []*peerv1.HostRecord{{Host: string(hostName(0)), Incarnation: uint64(later), State: Ready}})
	conflict, ok := table.Conflict()
	assert.Assert(t, ok)
	assert.Equal(t, conflict, later)
}

// TestPauseSuspendsOwnership checks that a host is not settled after a pause until
// peers have answered, and marks none of them failed on evidence from before it.
func TestPauseSuspendsOwnership(t *testing.T) {
	f := newFleet(testOptions(), 1)
	f.startAll(5)
	table := f.tables[hostName(0)]
	for range 4 {
		f.period()
	}
	assert.Assert(t, table.Settled(f.now))
	probes := table.Tick(f.now)
	f.now = f.now.Add(time.Minute)
	for _, p := range probes {
		table.Failed(f.now, p.Host)
	}
	assert.Assert(t, !table.Settled(f.now))
	f.now = f.now.Add(testPeriod)
	table.Tick(f.now)
	assert.Equal(t, len(table.ReadyHosts()), 5)
	_, ok := f.periodsUntil(6, func() bool { return table.Settled(f.now) })
	assert.Assert(t, ok)
}

func TestMessagesAreBounded(t *testing.T) {
	f := newFleet(testOptions(), 1)
	f.startAll(200)
	table := f.tables[hostName(0)]
	for _, e := range table.order {
		e.sendsLeft, e.locationSendsLeft = 5, 5
	}
	probe, ok := table.Probe(f.now, hostName(1))
	assert.Assert(t, ok)
	const ownRecordBytes = 150
	assert.Assert(t, proto.Size(probe.Message) <= table.options.MaxRecordBytes+ownRecordBytes)
	probe.Message.RosterDigest++
	response := f.tables[hostName(1)].Receive(f.now, probe.Message)
	assert.Assert(t, proto.Size(response) <= table.options.MaxRecordBytes+ownRecordBytes)
}

func TestHostListMarksLeaving(t *testing.T) {
	f := newFleet(testOptions(), 1)
	f.startAll(3)
	table := f.tables[hostName(0)]
	table.HostList(f.now, []Seed{{Host: hostName(1), PeerAddress: "10.0.0.1:1", Leaving: true}})
	m, _ := table.Member(hostName(1))
	assert.Equal(t, m.State, Leaving)
	assert.DeepEqual(t, table.ReadyHosts(), []ident.Host{hostName(0), hostName(2)})
}

// TestRosterDifferencesAreRepaired checks the repair by roster digests: a host
// lacks half of the roster, and no peer sends the records as changes any more.
func TestRosterDifferencesAreRepaired(t *testing.T) {
	const hosts, repairPeriods = 60, 12
	f := newFleet(testOptions(), 1)
	f.startAll(hosts)
	table := f.tables[hostName(0)]
	for _, e := range slices.Clone(table.order[:hosts/2]) {
		table.remove(e)
	}
	_, ok := f.periodsUntil(repairPeriods, f.agree)
	assert.Assert(t, ok, "%s", f.disagreement())
}
