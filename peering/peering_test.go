package peering

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	loadv1 "github.com/citronscale/citronscale/api/load/v1"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/place"
)

func TestStreamTravelsWhole(t *testing.T) {
	const now = 10 * time.Second
	sent := place.Work{
		ID: 7, Engines: []uint64{1, 2, 3}, Prompt: 500000, Answer: 1200, Holders: 1, Share: 200000, PlacedAt: 9 * time.Second,
		Writing: true, WritingAt: now, Goal: 3 * time.Second, GapGoal: time.Second,
	}
	assert.DeepEqual(t, unpackStream(packStream(sent, now), now), sent)
	sent.Writing, sent.WritingAt = false, 0
	got := unpackStream(packStream(sent, now), 20*time.Second)
	assert.Equal(t, got.PlacedAt, 19*time.Second, "ages travel, not times of a clock")
	assert.Equal(t, got.Writing, false)
}

func address(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, 0, n})
}

func TestMembersForgetSilentHosts(t *testing.T) {
	m := newMembers(address(1), []netip.Addr{address(2)})
	m.hear(address(3), 0)
	m.hear(address(1), 0)
	assert.Check(t, cmp.Len(m.live(time.Second), 1), "a host is not its own peer")
	assert.Check(t, cmp.Len(m.live(memberMemory+time.Second), 0))
	assert.Check(t, cmp.Len(m.withSeeds(nil), 1), "seeds are told for ever")
}

func TestNamedHostsAreNotPassedOnUnheard(t *testing.T) {
	m := newMembers(address(1), nil)
	m.learn(address(4), 0)
	assert.Check(t, cmp.Len(m.live(0), 1))
	assert.Check(t, cmp.Len(m.named(0, rand.New(rand.NewPCG(1, 1))), 0))
	assert.Check(t, cmp.Len(m.live(3*time.Second), 0), "a named host that stays silent is forgotten soon")
}

func TestNewestDatagramWins(t *testing.T) {
	n := &Node{options: Options{Host: "host-1"}, parts: Parts{Ledger: place.NewLedger(), Upstreams: fleet.NewSet(), Log: &event.Logger{}}, members: newMembers(address(1), nil), newest: map[string]position{}}
	from := address(2)
	hear := func(incarnation, sequence uint64, now time.Duration) bool {
		_, accepted := n.accept(&loadv1.Announcement{Host: "host-2", Incarnation: incarnation, Sequence: sequence}, from, now)
		return accepted
	}
	assert.Assert(t, hear(5, 2, 0))
	assert.Assert(t, !hear(5, 1, 0), "overtaken")
	assert.Assert(t, !hear(4, 9, 0), "of the process before")
	assert.Assert(t, hear(6, 1, 0), "restarted")
	assert.Assert(t, hear(3, 1, 5*time.Second), "restarted after the time of day jumped back")
}

// Hosts that start together, as after a loss of power, must know of each other's
// streams long before the next heartbeat: until then all of them place their
// callers on the same engines.
func TestNewHostsAreGreetedAtOnce(t *testing.T) {
	n := &Node{options: Options{Host: "host-1"}, parts: Parts{Ledger: place.NewLedger(), Upstreams: fleet.NewSet(), Log: &event.Logger{}}, members: newMembers(address(1), nil), newest: map[string]position{}}
	hear := func(host byte, incarnation, sequence uint64, leaving bool, named ...byte) []netip.Addr {
		m := &loadv1.Announcement{Host: string(rune('a' + host)), Incarnation: incarnation, Sequence: sequence, Leaving: leaving}
		for _, other := range named {
			m.Hosts = append(m.Hosts, packHost(address(other)))
		}
		newcomers, _ := n.accept(m, address(host), time.Second)
		return newcomers
	}
	assert.Check(t, cmp.Len(hear(2, 1, 1, false, 3, 1), 2), "the sender and the host that it names")
	assert.Check(t, cmp.Len(hear(2, 1, 2, false, 3), 0), "both are known")
	assert.Check(t, cmp.Len(hear(2, 2, 1, false, 3), 1), "restarted: it knows nothing")
	assert.Check(t, cmp.Len(hear(2, 2, 1, false), 0), "an old datagram")
	assert.Check(t, cmp.Len(hear(4, 1, 1, true), 0), "a host that leaves needs nothing")
}

func TestLonelyHostCallsItsSeedsOften(t *testing.T) {
	n := &Node{members: newMembers(address(1), []netip.Addr{address(2)})}
	assert.Equal(t, n.nextBeat(time.Second), searchEvery)
	assert.Equal(t, n.nextBeat(searchFor), heartbeatEvery, "it may be the only one")
	n.members.hear(address(2), boottime.Now())
	assert.Equal(t, n.nextBeat(time.Second), heartbeatEvery)
}

// startNodes starts three nodes; the first is the seed. returned counts for each
// how often a peer told that the source is back.
func startNodes(t *testing.T) (nodes []*Node, ledgers []*place.Ledger, returned *[3]atomic.Int64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	returned = new([3]atomic.Int64)
	done := make(chan struct{}, 3)
	port := uint16(0)
	for i := range byte(3) {
		ledger := place.NewLedger()
		node, err := Listen(Options{
			Host: string(rune('a' + i)), Local: netip.AddrPortFrom(address(10+i), port), Seeds: []netip.Addr{address(10)},
		}, Parts{
			Ledger: ledger, Upstreams: fleet.NewSet(), Key: func(string) uint64 { return 1 }, Log: &event.Logger{}, Rng: rand.New(rand.NewPCG(1, uint64(i))),
			SourceReturned: func() { returned[i].Add(1) },
		})
		assert.NilError(t, err)
		port = node.conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort().Port()
		node.options.Local = netip.AddrPortFrom(address(10+i), port)
		nodes, ledgers = append(nodes, node), append(ledgers, ledger)
	}
	for _, node := range nodes {
		go func() { node.Run(ctx); done <- struct{}{} }()
	}
	t.Cleanup(func() {
		cancel()
		for range nodes {
			<-done
		}
	})
	return nodes, ledgers, returned
}

func TestReturnOfTheSourceIsToldToAll(t *testing.T) {
	nodes, _, returned := startNodes(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if nodes[2].Hosts() < 3 {
			return poll.Continue("%d hosts are known", nodes[2].Hosts())
		}
		nodes[2].SourceReturned()
		if returned[0].Load() > 0 && returned[1].Load() > 0 {
			return poll.Success()
		}
		return poll.Continue("told %d and %d times", returned[0].Load(), returned[1].Load())
	}, poll.WithTimeout(20*time.Second))
	assert.Equal(t, returned[2].Load(), int64(0), "a host knows by itself")
}

func TestHostsFindEachOtherAndTellStreams(t *testing.T) {
	nodes, ledgers, _ := startNodes(t)
	ledgers[2].Begin(place.Work{ID: 1, Engines: []uint64{9}, Prompt: 100})
	nodes[2].Placed()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		heard := ledgers[0].All(0)
		others := ledgers[1].All(0)
		if len(heard) == 1 && len(others) == 1 && nodes[1].Hosts() == 3 {
			return poll.Success()
		}
		return poll.Continue("hosts know %d and %d streams, %d hosts", len(heard), len(others), nodes[1].Hosts())
	}, poll.WithTimeout(20*time.Second))
}
