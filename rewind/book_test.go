package rewind

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/testseed"
)

// Guards against requests to a process that has gone, and against none to one that is there.
func TestUpstreamOfACopy(t *testing.T) {
	const now = time.Hour
	ready := func(started int64) fleet.Upstream { return fleet.Upstream{ID: "i-1", Started: started} }
	draining := func(started int64) *fleet.Upstream {
		return &fleet.Upstream{ID: "i-1", Started: started, Draining: true}
	}
	for name, c := range map[string]struct {
		listed fleet.Upstream
		known  *fleet.Upstream
		gone   *fleet.Upstream
		age    time.Duration // of the removal
		want   Verdict
	}{
		"never seen":                                {ready(5), nil, nil, 0, Use},
		"known as listed":                           {ready(5), &fleet.Upstream{ID: "i-1", Started: 5}, nil, 0, Use},
		"leaving":                                   {ready(5), draining(5), nil, 0, Keep},
		"leaving, starts unknown":                   {ready(0), draining(0), nil, 0, Keep},
		"leaving, listed as such":                   {*draining(5), draining(5), nil, 0, Use},
		"an earlier process":                        {ready(4), &fleet.Upstream{ID: "i-1", Started: 5}, nil, 0, Keep},
		"a later process of one that left":          {ready(6), draining(5), nil, 0, Use},
		"removed":                                   {ready(5), nil, draining(5), time.Second, Doubt},
		"removed, start unknown":                    {ready(0), nil, draining(5), time.Second, Doubt},
		"removed, a later process":                  {ready(6), nil, draining(5), time.Second, Use},
		"removed long ago":                          {ready(5), nil, draining(5), 2 * memory, Use},
		"removed, and back by the time of the copy": {ready(5), &fleet.Upstream{ID: "i-1", Started: 5}, draining(5), time.Second, Use},
	} {
		t.Run(name, func(t *testing.T) {
			b := &Book{}
			if c.gone != nil {
				b.Gone(*c.gone, now-c.age)
			}
			assert.Equal(t, b.Upstream(c.listed, c.known, now), c.want)
		})
	}
}

// Guards against a copy that confirms a configuration while a newer one may not have been
// written again, and against refusals after it has been.
func TestCopyConfirmsOnceItWasWrittenAgain(t *testing.T) {
	b := &Book{}
	assert.Assert(t, b.MayConfirm(0) && !b.Settling(0) && !b.Expiring(0), "the first era needs no rewriting")
	b.Begin(time.Second)
	assert.Assert(t, !b.MayConfirm(2*time.Second) && b.Settling(2*time.Second))
	assert.Assert(t, b.MayConfirm(time.Second+rewriteTime))
	b.ConfigWritten()
	assert.Assert(t, b.MayConfirm(2*time.Second) && b.Settling(2*time.Second))
	b.Begin(3 * time.Second)
	assert.Assert(t, !b.MayConfirm(4*time.Second), "the second copy is older again")
}

// Guards against a book that grows for ever.
func TestRemovalsAreForgotten(t *testing.T) {
	b := &Book{}
	for i := range 10_000 {
		now := time.Duration(i) * time.Second
		b.Gone(fleet.Upstream{ID: fmt.Sprint("i-", i)}, now)
		b.Lifted(fmt.Sprint("domain-", i), now)
	}
	assert.Assert(t, len(b.gone) <= 61 && len(b.lifted) <= 61, "%d and %d are kept", len(b.gone), len(b.lifted))
	assert.Assert(t, b.Evacuation("domain-1", 10_000*time.Second) && !b.Evacuation("domain-9999", 10_000*time.Second))
}

// process is one start of an upstream in a model of the source.
type process struct {
	started  int64
	draining bool
	listed   bool
}

// Upstreams start, leave and end while the source is replaced by copies at random: a process
// that this host has seen leave or end is never used again, and one that lives is used once its
// entry was written again.
func TestNoProcessIsUsedAfterItHasLeft(t *testing.T) {
	for history := range uint64(2000) {
		seed := uint64(testseed.Seeded(history).Pick("seed", 1<<30))
		rng := rand.New(rand.NewPCG(seed, 1))
		b := &Book{}
		source := process{started: 1, listed: true}
		copied := source
		known := &fleet.Upstream{ID: "i-1", Started: 1}
		left := int64(0) // the last process that was seen to leave
		now := time.Duration(0)
		for range 60 {
			now += time.Duration(rng.IntN(2000)) * time.Millisecond
			switch rng.IntN(6) {
			case 0:
				copied = source
			case 1:
				source.draining = true
			case 2:
				source.listed = false
			case 3: // another process
				source = process{started: max(source.started, left) + 1, listed: true}
			default: // the host reads a change
			}
			if rng.IntN(8) == 0 { // a drill; the upstream writes its entry again later
				live := source
				source = copied
				b.Begin(now)
				if source.listed {
					listed := fleet.Upstream{ID: "i-1", Started: source.started, Draining: source.draining}
					if b.Upstream(listed, known, now) == Use {
						known = &listed
					}
				}
				assert.Assert(t, known == nil || known.Draining || known.Started > left, "seed %d, %v: process %d is used, %d has left", seed, now, known, left)
				source = live
			}
			switch {
			case source.listed:
				known = &fleet.Upstream{ID: "i-1", Started: source.started, Draining: source.draining}
				if source.draining {
					left = max(left, source.started)
				}
			case known != nil:
				left = max(left, known.Started)
				b.Gone(*known, now)
				known = nil
			}
		}
	}
}
