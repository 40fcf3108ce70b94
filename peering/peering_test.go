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
	"github.com/citronscale/citronscale/mirror"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/standing"
	"github.com/citronscale/citronscale/strike"
	"github.com/citronscale/citronscale/throttle"
)

func TestStreamEncodingRoundTrip(t *testing.T) {
	const now = 10 * time.Second
	sent := place.Stream{
		ID: 7, Engines: []uint64{1, 2, 3}, Prompt: 500000, Answer: 1200, Holders: 1, Share: 200000, PlacedAt: 9 * time.Second,
		Decoding: true, FirstEventAt: now, Goal: 3 * time.Second, GapGoal: time.Second, Team: 65535,
	}
	assert.DeepEqual(t, unpackStream(packStream(sent, now), now), sent)
	sent.Decoding, sent.FirstEventAt = false, 0
	got := unpackStream(packStream(sent, now), 20*time.Second)
	assert.Equal(t, got.PlacedAt, 19*time.Second, "ages are sent, not clock times")
	assert.Equal(t, got.Decoding, false)
}

func address(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, 0, n})
}

func TestSilentMembersExpire(t *testing.T) {
	m := newMembers(address(1), 0, 1, []netip.Addr{address(2)})
	m.heard(address(3), 0)
	m.heard(address(1), 0)
	assert.Check(t, cmp.Len(m.live(time.Second), 1), "a host is not its own peer")
	assert.Check(t, cmp.Len(m.live(memberTimeout+time.Second), 0))
	assert.Check(t, cmp.Len(m.withSeeds(nil, memberTimeout+time.Second), 1), "seeds do not expire")
}

func TestNamedHostsArePassedOnOnlyAfterTheirFirstDatagram(t *testing.T) {
	m := newMembers(address(1), 0, 1, nil)
	m.addNamed(address(4), 0)
	assert.Check(t, cmp.Len(m.live(0), 1))
	assert.Check(t, cmp.Len(m.sampleHeard(0, rand.New(rand.NewPCG(1, 1))), 0))
	assert.Check(t, cmp.Len(m.live(3*time.Second), 0), "a named host that sends nothing expires early")
}

func TestOlderDatagramsAreIgnored(t *testing.T) {
	n := newNode(Options{Host: "host-1", Local: netip.AddrPortFrom(address(1), 1)}, Parts{Ledger: place.NewLedger(), Upstreams: fleet.NewSet(), Log: &event.Logger{}}, 1)
	from := address(2)
	accept := func(incarnation, sequence uint64, now time.Duration) bool {
		_, accepted := n.accept(&loadv1.Announcement{Host: "host-2", Incarnation: incarnation << 20, Sequence: sequence}, from, now)
		return accepted
	}
	assert.Assert(t, accept(5, 2, 0))
	assert.Assert(t, !accept(5, 1, 0), "delivered out of order")
	assert.Assert(t, !accept(4, 9, 0), "sent by the previous process")
	assert.Assert(t, accept(6, 1, 0), "restarted")
	assert.Assert(t, accept(3, 1, 5*time.Second), "restarted after the clock was set back")
}

// Guards against hosts that start together, as after a power failure, and place
// their callers on the same engines until the next heartbeat because they do not
// know each other's streams.
func TestNewHostsAreGreetedAtOnce(t *testing.T) {
	n := newNode(Options{Host: "host-1", Local: netip.AddrPortFrom(address(1), 1)}, Parts{Ledger: place.NewLedger(), Upstreams: fleet.NewSet(), Log: &event.Logger{}}, 1)
	accept := func(host byte, incarnation, sequence uint64, leaving bool, named ...byte) []netip.Addr {
		m := &loadv1.Announcement{Host: string(rune('a' + host)), Incarnation: incarnation << 20, Sequence: sequence, Leaving: leaving}
		for _, namedHost := range named {
			m.Hosts = append(m.Hosts, packHost(address(namedHost)))
		}
		newHosts, _ := n.accept(m, address(host), time.Second)
		return newHosts
	}
	assert.Check(t, cmp.Len(accept(2, 1, 1, false, 3, 1), 2), "the sender and the host that it names")
	assert.Check(t, cmp.Len(accept(2, 1, 2, false, 3), 0), "both are known")
	assert.Check(t, cmp.Len(accept(2, 2, 1, false, 3), 1), "restarted without state")
	assert.Check(t, cmp.Len(accept(2, 2, 1, false), 0), "an old datagram")
	assert.Check(t, cmp.Len(accept(4, 1, 1, true), 0), "a leaving host is not greeted")
}

func TestHostWithoutPeersContactsItsSeedsOften(t *testing.T) {
	n := newNode(Options{Local: netip.AddrPortFrom(address(1), 1), Seeds: []netip.Addr{address(2)}}, Parts{}, 1)
	n.now = boottime.Now
	assert.Equal(t, n.nextHeartbeat(time.Second), discoveryInterval)
	assert.Equal(t, n.nextHeartbeat(discoveryTime), heartbeatInterval, "it may be the only host")
	n.members.heard(address(2), boottime.Now())
	assert.Equal(t, n.nextHeartbeat(time.Second), heartbeatInterval)
}

// startNodes starts three nodes; the first is the seed. recoveries counts the calls
// of Parts.SourceRecovered for each node.
func startNodes(t *testing.T) (nodes []*Node, ledgers []*place.Ledger, recoveries *[3]atomic.Int64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	recoveries = new([3]atomic.Int64)
	done := make(chan struct{}, 3)
	port := uint16(0)
	for i := range byte(3) {
		ledger := place.NewLedger()
		node, err := Listen(Options{
			Host: string(rune('a' + i)), Local: netip.AddrPortFrom(address(10+i), port), Seeds: []netip.Addr{address(10)},
		}, Parts{
			Ledger: ledger, Limits: throttle.NewBook(), Standing: standing.NewBook(standing.Options{}), Upstreams: fleet.NewSet(), Key: func(string) uint64 { return 1 }, Log: &event.Logger{}, Rng: rand.New(rand.NewPCG(1, uint64(i))),
			SourceRecovered: func() { recoveries[i].Add(1) }, Vouched: func(Vouch) {}, Mirror: mirror.NewState(),
			Evidence: &evidenceStore{registry: strike.NewPartRegistry(strike.DefaultPartOptions(rand.New(rand.NewPCG(1, 1))))},
			Age:      func() time.Duration { return 0 }, ConfigVersion: func() uint64 { return 0 }, SourceOutageAge: func() time.Duration { return time.Hour },
		})
		assert.NilError(t, err)
		port = node.options.Local.Port()
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
	return nodes, ledgers, recoveries
}

func TestSourceRecoveryIsAnnouncedToAllHosts(t *testing.T) {
	nodes, _, recoveries := startNodes(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if nodes[2].Hosts() < 3 {
			return poll.Continue("%d hosts are known", nodes[2].Hosts())
		}
		nodes[2].AnnounceSourceRecovered()
		if recoveries[0].Load() > 0 && recoveries[1].Load() > 0 {
			return poll.Success()
		}
		return poll.Continue("announced %d and %d times", recoveries[0].Load(), recoveries[1].Load())
	}, poll.WithTimeout(20*time.Second))
	assert.Equal(t, recoveries[2].Load(), int64(0), "a host does not notify itself")
}

func TestHostsDiscoverEachOtherAndExchangeStreams(t *testing.T) {
	nodes, ledgers, _ := startNodes(t)
	ledgers[2].Begin(place.Stream{ID: 1, Engines: []uint64{9}, Prompt: 100})
	nodes[2].StreamPlaced()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		streams0 := ledgers[0].All(0)
		streams1 := ledgers[1].All(0)
		if len(streams0) == 1 && len(streams1) == 1 && nodes[1].Hosts() == 3 {
			return poll.Success()
		}
		return poll.Continue("hosts know %d and %d streams, %d hosts", len(streams0), len(streams1), nodes[1].Hosts())
	}, poll.WithTimeout(20*time.Second))
}

// A seed of which there is recent news needs no heartbeat beside those of its group; one
// that has fallen silent may be running again.
func TestOnlySilentSeedsAreAddedToAHeartbeat(t *testing.T) {
	m := newMembers(address(1), 0, 1, []netip.Addr{address(2), address(1)})
	assert.Check(t, cmp.Len(m.withSeeds(nil, 0), 1), "a seed that was never heard")
	m.heard(address(2), 0)
	assert.Check(t, cmp.Len(m.withSeeds(nil, heartbeatInterval), 0))
	assert.Check(t, cmp.Len(m.withSeeds(nil, 2*heartbeatInterval+time.Millisecond), 1), "it has fallen silent")
}

// Incarnations are shortened to about a millisecond. Two starts of a host within that
// time can't be told apart; further apart, the order must hold.
func TestShortenedIncarnationsKeepTheirOrder(t *testing.T) {
	first := uint64(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC).UnixNano())
	for _, later := range []time.Duration{2 * time.Millisecond, time.Second, 24 * time.Hour} {
		assert.Check(t, shortIncarnation(first) < shortIncarnation(first+uint64(later)), "%v later", later)
	}
}
