package balancer

import "math/rand/v2"

// rotation is the round-robin order of the engines of a pool for requests of one
// class. The order is drawn at random in the first round and kept, so that the
// turns of an engine are evenly spaced and the hosts are not synchronized.
type rotation struct {
	class   Class
	engines []*engine // those before turn were picked in this round
	turn    int
	drawn   int // number of engines whose position in the order was drawn
}

func (r *rotation) add(e *engine) {
	e.index[r.class] = len(r.engines)
	r.engines = append(r.engines, e)
}

func (r *rotation) remove(e *engine) {
	last := len(r.engines) - 1
	r.swap(e.index[r.class], last)
	r.engines[last] = nil
	r.engines = r.engines[:last]
	r.turn = min(r.turn, max(last-1, 0))
	r.drawn = min(r.drawn, last)
}

// draw appends up to n usable engines, starting with the next in the rotation. It
// scans many engines only if the request avoids most of them.
func (r *rotation) draw(candidates []candidate, req *Request, n int, rng *rand.Rand) []candidate {
	size := len(r.engines)
	for i := range size {
		if len(candidates) == n {
			break
		}
		at := r.turn + i
		if at >= r.drawn && at < size {
			r.swap(at, at+rng.IntN(size-at))
			r.drawn = at + 1
		}
		if e := r.engines[at%size]; e.load.usable(req) {
			first := len(candidates) == 0
			candidates = append(candidates, candidate{load: &e.load, next: first})
		}
	}
	return candidates
}

// recordPick records that an engine was picked and moves it behind the current
// turn.
func (r *rotation) recordPick(e *engine) {
	if e.index[r.class] < r.turn {
		return
	}
	r.swap(r.turn, e.index[r.class])
	r.turn = (r.turn + 1) % len(r.engines)
}

func (r *rotation) swap(i, j int) {
	r.engines[i], r.engines[j] = r.engines[j], r.engines[i]
	r.engines[i].index[r.class] = i
	r.engines[j].index[r.class] = j
}
