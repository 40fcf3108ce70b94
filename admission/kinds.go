package admission

import (
	"math"
	"time"
)

const (
	// kindMemory is the time constant with which outcomes are forgotten: one change of the
	// traffic mix.
	kindMemory = 10 * time.Second
	// minKindRefusals is the number of recent refusals from which a kind counts as refused.
	minKindRefusals = 1.5
)

// kind is the streams of one service and rank.
type kind struct {
	service string
	rank    int
}

// outcomes are the recent outcomes of a kind at one host.
type outcomes struct {
	served, refused float64
	at              time.Duration
}

func (o *outcomes) forget(now time.Duration) {
	factor := math.Exp(-float64(now-o.at) / float64(kindMemory))
	o.served *= factor
	o.refused *= factor
	o.at = now
}

func (o *outcomes) refusedShare() float64 {
	return o.refused / max(o.served+o.refused, 1)
}

// Record records that a stream ran, or that it was refused for lack of room.
func (q *Queue) Record(r *Request, ran bool, now time.Duration) {
	key := kind{r.Service, r.Rank}
	o, ok := q.kinds[key]
	if !ok {
		if ran && len(q.kinds) == 0 {
			return // nothing was refused lately, so there is nothing to compare
		}
		o = &outcomes{at: now}
		q.kinds[key] = o
	}
	o.forget(now)
	if ran {
		o.served++
	} else {
		o.refused++
	}
	q.dropForgotten(now)
}

// dropForgotten empties the record once no kind has a refusal that counts.
func (q *Queue) dropForgotten(now time.Duration) {
	for _, o := range q.kinds {
		o.forget(now)
		if o.refused >= minKindRefusals/2 {
			return
		}
	}
	clear(q.kinds)
}

// Yields reports whether a request leaves room to more urgent ones of its service. A more
// urgent kind of which a share was refused lately makes the same share of the less urgent
// requests yield, by their draw. Without it, a less urgent kind is served more often under
// overload, as its callers wait longer for a place. The draw lets some of each kind through,
// also of one that is too rare at a host for a count of its own.
func (q *Queue) Yields(r *Request, now time.Duration) bool {
	for key, o := range q.kinds {
		if key.service != r.Service || key.rank >= r.Rank {
			continue
		}
		o.forget(now)
		if o.refused >= minKindRefusals && r.Draw < o.refusedShare() {
			return true
		}
	}
	return false
}
