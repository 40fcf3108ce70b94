package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/ident"
	_ "github.com/citronscale/citronscale/internal/testseed"
	"github.com/citronscale/citronscale/upstream"
)

// The faults are lost, repeated, delayed and reordered messages, work in transit,
// restarts of hosts, and pauses and changes of the owner.
func TestUseNeverExceedsCapacity(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 0)
		w.advance(5 * time.Second)
		t.Repeat(w.actions(worldCapacity))
		total += w.taken
	})
	t.Logf("%d pieces of work were admitted", total)
	assert.Assert(t, total > 0)
}

func TestSettlingOwnerExceedsCapacityByAtMostSettleShare(t *testing.T) {
	const share = 0.25
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, share)
		actions := w.actions(worldCapacity * (1 + share))
		changes := 0
		change := actions["change owner"]
		actions["change owner"] = func(t *rapid.T) {
			if changes == 0 {
				change(t)
			}
			changes++
		}
		delete(actions, "freeze owner")
		w.advance(5 * time.Second)
		t.Repeat(actions)
	})
}

const reportPeriod = 500 * time.Millisecond

// freeBound returns the time after the last fault within which all tokens are
// free: the leases expire, and then a report is taken and read.
func freeBound(options OwnerOptions) time.Duration {
	return options.TTL + 2*options.MaxSkew + options.Margin + 2*reportPeriod
}

func TestAllTokensAreFreeOnceFaultsStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 0)
		w.advance(5 * time.Second)
		t.Repeat(w.actions(worldCapacity))
		w.withoutReports = true
		w.owner.Tick(w.now)
		w.requests = nil
		w.work = nil
		stopped := w.now
		for w.now.Sub(stopped) < freeBound(w.options) {
			w.advance(reportPeriod)
			w.owner.Report(w.now, w.snapshot())
		}
		assert.Equal(t, w.owner.charged, uint64(0))
		assert.Equal(t, w.owner.free(balancer.ClassShort), uint64(worldCapacity))
		w.owner.Report(w.now, w.snapshot())
		h, key := w.hosts[0], Key{"engine-0", balancer.ClassShort}
		w.restart(h)
		req := h.table.Request(w.now, key, worldCapacity)
		h.table.HandleResponse(key, req.Sequence, w.owner.Handle(w.now, req))
		assert.Equal(t, h.table.Free(w.now, key), uint64(worldCapacity))
	})
}

// Work admitted just before a lease ends can reach the engine Margin later. Until
// then the owner must not grant its tokens again, even if an engine whose clock
// is ahead reports that nothing is in use.
func TestTokensAreNotGrantedAgainWhileWorkIsInTransit(t *testing.T) {
	options := DefaultOwnerOptions()
	now := worldStart
	owner := NewOwner(options, "engine-0", now)
	report := func() {
		owner.Report(now, &EngineReport{AsOf: now.Add(options.MaxSkew), CapacityTokens: worldCapacity})
	}
	for !now.After(worldStart.Add(5 * time.Second)) {
		now = now.Add(reportPeriod)
		report()
	}
	table := NewTable(DefaultTableOptions(), Holder{Host: "host-0", Incarnation: 1})
	key := Key{"engine-0", balancer.ClassShort}
	req := table.Request(now, key, worldCapacity)
	table.HandleResponse(key, req.Sequence, owner.Handle(now, req))
	var sent time.Time
	for table.Free(now, key) > 0 {
		sent = now
		now = now.Add(time.Millisecond)
		report()
	}
	for ; now.Before(sent.Add(options.Margin)); now = now.Add(time.Millisecond) {
		report()
		assert.Equal(t, owner.free(balancer.ClassShort), uint64(0), "%v after the work was sent", now.Sub(sent))
	}
}

func TestReportOfCountsEveryPieceOfWork(t *testing.T) {
	work := func(incarnation ident.Incarnation, tokens uint32, priority int) upstream.Work {
		attempt := ident.Attempt{Request: ident.Request{Host: "host-1", Incarnation: incarnation}}
		return upstream.Work{Attempt: attempt, Tokens: tokens, Priority: priority}
	}
	report := ReportOf(&upstream.Report{
		Running: []upstream.Work{work(1, 10, 0)},
		Waiting: []upstream.Work{work(1, 20, 2)},
		Held:    []upstream.Work{work(2, 30, 0)},
	})
	holder := Holder{"host-1", 1}
	assert.DeepEqual(t, report.Uses, []Use{
		{holder, balancer.ClassShort, 10},
		{holder, balancer.ClassLong, 20},
		{Holder{"host-1", 2}, Unleased, 30},
	})
}

// Memory of a prompt that runs on several engines is held without a lease. It must
// stay charged while its host keeps sending lease requests of all classes.
func TestUnleasedMemoryStaysChargedUnderFrequentRequests(t *testing.T) {
	options := DefaultOwnerOptions()
	now := worldStart
	owner := NewOwner(options, "engine-0", now)
	holder := Holder{"host-0", 1}
	table := NewTable(DefaultTableOptions(), holder)
	attempt := ident.Attempt{Request: ident.Request{Host: holder.Host, Incarnation: holder.Incarnation}}
	for step := range 200 {
		now = now.Add(50 * time.Millisecond)
		owner.Report(now, ReportOf(&upstream.Report{
			AsOf:           now,
			CapacityTokens: worldCapacity,
			Held:           []upstream.Work{{Attempt: attempt, Tokens: worldCapacity - 2}},
		}))
		for _, class := range []balancer.Class{balancer.ClassShort, balancer.ClassMedium, balancer.ClassLong} {
			key := Key{"engine-0", class}
			req := table.Request(now, key, 1)
			table.HandleResponse(key, req.Sequence, owner.Handle(now, req))
			leased := table.Free(now, Key{"engine-0", balancer.ClassShort}) +
				table.Free(now, Key{"engine-0", balancer.ClassMedium}) +
				table.Free(now, Key{"engine-0", balancer.ClassLong})
			assert.Assert(t, leased <= 2, "%d tokens are leased of 2 at step %d", leased, step)
		}
	}
}

// Long requests can't get the share of the short class while short requests need
// it, but can when they don't, except for ShortFloor.
func TestShortShareIsReservedOnlyWhileNeeded(t *testing.T) {
	options := DefaultOwnerOptions()
	now := worldStart
	owner := NewOwner(options, "engine-0", now)
	const capacity = 1_000_000
	advance := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(reportPeriod)
			owner.Report(now, &EngineReport{AsOf: now, CapacityTokens: capacity})
		}
	}
	advance(5 * time.Second)
	request := func(host ident.Host, class balancer.Class, need uint32) uint32 {
		return owner.Handle(now, &peerv1.LeaseRequest{
			Host: string(host), Incarnation: 1, Class: class.Wire(),
			NeedTokens: need, WantTokens: need, Sequence: uint64(now.UnixMicro()),
		}).GetGrantedTokens()
	}
	assert.Equal(t, request("a", balancer.ClassShort, 200_000), uint32(200_000))
	advance(3 * time.Second)
	assert.Equal(t, request("b", balancer.ClassLong, 900_000), uint32(0), "short requests needed their share recently")
	assert.Equal(t, request("b", balancer.ClassLong, 800_000), uint32(800_000))
	assert.Equal(t, request("c", balancer.ClassShort, 150_000), uint32(150_000))
	advance(time.Minute)
	assert.Equal(t, request("b", balancer.ClassLong, 960_000), uint32(0), "ShortFloor is never granted to long requests")
	assert.Equal(t, request("b", balancer.ClassLong, 940_000), uint32(940_000))
}

func TestSmallRequestsDoNotStarveALargeOne(t *testing.T) {
	options := DefaultOwnerOptions()
	now := worldStart
	owner := NewOwner(options, "engine-0", now)
	const capacity = 100
	holders := []ident.Host{"a", "b", "c", "d"}
	ask := func(host ident.Host, class balancer.Class, need uint32) uint32 {
		return owner.Handle(now, &peerv1.LeaseRequest{
			Host: string(host), Incarnation: 1, Class: class.Wire(),
			NeedTokens: need, WantTokens: need, Sequence: uint64(now.UnixMicro()),
		}).GetGrantedTokens()
	}
	met := false
	for step := range 400 {
		now = now.Add(50 * time.Millisecond)
		owner.Report(now, &EngineReport{AsOf: now, CapacityTokens: capacity})
		ask(holders[step%len(holders)], balancer.ClassMedium, 30)
		if step > 100 && ask("large", balancer.ClassLong, 80) > 0 {
			met = true
			break
		}
	}
	assert.Assert(t, met)
}

// The predecessor of a new owner granted the tokens of one holder to another. The
// new owner reads a report from before that grant, then gets a delayed request of
// the first holder to renew.
func TestSettlingOwnerDoesNotRenewOnAnOldReport(t *testing.T) {
	options := DefaultOwnerOptions()
	options.SettleShare = 0
	key := Key{"engine-0", balancer.ClassShort}
	first := Holder{"host-a", 1}
	a, b := NewTable(DefaultTableOptions(), first), NewTable(DefaultTableOptions(), Holder{"host-b", 1})
	at := func(ms int) time.Time { return worldStart.Add(time.Minute + time.Duration(ms)*time.Millisecond) }
	report := func(owner *Owner, ms, asOf int, uses ...Use) {
		owner.Report(at(ms), &EngineReport{AsOf: at(asOf), CapacityTokens: worldCapacity, Uses: uses})
	}
	former := NewOwner(options, key.Engine, worldStart)
	former.tickedAt = at(0)
	report(former, 0, -1)
	grant := func(table *Table, ms int) {
		req := table.Request(at(ms), key, worldCapacity)
		table.HandleResponse(key, req.Sequence, former.Handle(at(ms), req))
	}
	grant(a, 0)
	permit, ok := a.Take(at(100), key, worldCapacity)
	assert.Assert(t, ok)
	inUse := Use{first, balancer.ClassShort, worldCapacity} // reported as of 200 ms
	a.Return(permit)
	delayed := a.Request(at(1400), key, 0)
	assert.Equal(t, delayed.HeldTokens, uint32(worldCapacity))
	for ms := 200; ms <= 2300; ms += 100 {
		report(former, ms, ms)
	}
	grant(b, 2310)
	_, ok = b.Take(at(2310), key, worldCapacity)
	assert.Assert(t, ok, "the lease of the first holder has ended")

	owner := NewOwner(options, key.Engine, at(2320))
	report(owner, 2330, 200, inUse)
	a.HandleResponse(key, delayed.Sequence, owner.Handle(at(2400), delayed))
	_, ok = a.Take(at(2500), key, 1)
	assert.Assert(t, !ok, "tokens that the second holder uses were granted again")
}
