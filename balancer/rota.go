package balancer

import "math/rand/v2"

// rota gives the engines of a pool their turns for requests of one class. The
// order is drawn at random in the first round and kept, so that the turns of an
// engine are evenly spaced and those of several hosts are not in step.
type rota struct {
	class   Class
	engines []*engine // those before turn had their turn in this round
	turn    int
	drawn   int // engines whose place in the order was drawn
}

func (r *rota) add(e *engine) {
	e.index[r.class] = len(r.engines)
	r.engines = append(r.engines, e)
}

func (r *rota) remove(e *engine) {
	last := len(r.engines) - 1
	r.swap(e.index[r.class], last)
	r.engines[last] = nil
	r.engines = r.engines[:last]
	r.turn = min(r.turn, max(last-1, 0))
	r.drawn = min(r.drawn, last)
}

// draw appends up to n engines that did not have their turn; the first is the
// one whose turn it is. It scans the rota only if the request avoids most of it.
func (r *rota) draw(candidates []candidate, req *Request, n int, rng *rand.Rand) []candidate {
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
			candidates = append(candidates, candidate{load: &e.load, turn: first})
		}
	}
	return candidates
}

// took records that an engine got a request. It moves behind the turn.
func (r *rota) took(e *engine) {
	if e.index[r.class] < r.turn {
		return
	}
	r.swap(r.turn, e.index[r.class])
	r.turn = (r.turn + 1) % len(r.engines)
}

func (r *rota) swap(i, j int) {
	r.engines[i], r.engines[j] = r.engines[j], r.engines[i]
	r.engines[i].index[r.class] = i
	r.engines[j].index[r.class] = j
}
