package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/balancer"
	_ "github.com/citronscale/citronscale/internal/testseed"
)

// Messages are lost, repeated, late and out of order; sends take time; hosts
// restart; the owner pauses and changes.
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

func TestSettlingOwnerExceedsCapacityByItsShareAtMost(t *testing.T) {
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

// freeBound is the time after the last fault in which all tokens are free: the
// leases end, and then a report is taken and read.
const reportPeriod = 500 * time.Millisecond

func freeBound(options OwnerOptions) time.Duration {
	return options.TTL + 2*options.MaxSkew + options.Margin + 2*reportPeriod
}

func TestAllTokensAreFreeOnceFaultsStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 0)
		w.advance(5 * time.Second)
		t.Repeat(w.actions(worldCapacity))
		w.blind = true
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
		h, line := w.hosts[0], Line{"engine-0", balancer.ClassShort}
		w.restart(h)
		req := h.book.Request(w.now, line, worldCapacity)
		h.book.Response(line, req.Sequence, w.owner.Handle(w.now, req))
		assert.Equal(t, h.book.Free(w.now, line), uint64(worldCapacity))
	})
}
