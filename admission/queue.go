package admission

import (
	"cmp"
	"slices"
	"time"
)

// Request is a stream that has no room.
type Request struct {
	ID      uint64 // unique in the queue
	Service string
	Team    uint16 // digest
	Rank    int    // by Ranks
	Tokens  int    // that it keeps in the memory of its main engine
	Work    int    // tokens of prompt and answer
	Bytes   int64  // of its body
	Arrived time.Duration
	GoalBy  time.Duration // latest start that meets the goal
	StartBy time.Duration // latest start at which an answer is still possible
	Draw    float64       // random, from 0 to 1, the same for its whole wait
	Yields  bool          // by Queue.Yields; its urgency doesn't rise
}

// Limits bound a Queue.
type Limits struct {
	Items int
	Bytes int64
}

const (
	// rankStep is the wait that raises the urgency of a request by one rank.
	rankStep = 500 * time.Millisecond
	// lateShare is the share of its possible wait after which a request counts as one
	// that can still meet its goal, so that it isn't passed by new ones for ever.
	lateShare = 0.5
	// forecastSlack is how far the forecast of a request that waits already must exceed
	// the time that it has left before it is refused. Forecasts vary between two looks,
	// and a request that has waited and is refused is worse off than one refused at once.
	forecastSlack = 2
)

// MayWait reports whether a request is expected to get room while an answer is still
// possible.
func MayWait(r *Request, wait, now time.Duration, waitsAlready bool) bool {
	left := r.StartBy - now
	if waitsAlready {
		return left > 0 && wait <= forecastSlack*left
	}
	return left > 0 && wait <= left
}

// Queue holds the requests of one host that wait for room. A pass offers room to them in
// order: those that can still meet their goal, then by urgency, then by age. A request
// that needs at least as much memory as one of its service that found no room in the same
// pass is skipped, because each try costs a simulation of all engines.
type Queue struct {
	limits Limits
	items  []*item
	bytes  int64
	failed map[string]int // by service: least tokens that found no room in this pass
	kinds  map[kind]*outcomes
}

type item struct {
	Request
	offered bool // it was the next one to try in this pass
	tried   bool // it found no room in this pass
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{limits: limits, failed: map[string]int{}, kinds: map[kind]*outcomes{}}
}

// Precedes reports whether a is served before b.
func Precedes(a, b *Request, now time.Duration) bool {
	return cmp.Or(
		cmp.Compare(class(a, now), class(b, now)), cmp.Compare(raised(a, now), raised(b, now)),
		cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.ID, b.ID),
	) < 0
}

// class returns 0 for requests that can still meet their goal and for those that have
// waited long, and 1 for others.
func class(r *Request, now time.Duration) int {
	aged := r.Arrived + time.Duration(lateShare*float64(r.StartBy-r.Arrived))
	if now <= r.GoalBy || now >= aged && !r.Yields {
		return 0
	}
	return 1
}

// raised returns the rank of a request, less one for each rankStep of waiting.
func raised(r *Request, now time.Duration) float64 {
	if r.Yields {
		return float64(r.Rank)
	}
	return float64(r.Rank) - float64(now-r.Arrived)/float64(rankStep)
}

// Push adds a request. If the queue is full, the last request in order is evicted, or the
// new one is not added if it is the last itself.
func (q *Queue) Push(r Request, now time.Duration) (evicted []Request, ok bool) {
	for len(q.items) >= q.limits.Items || q.bytes+r.Bytes > q.limits.Bytes {
		last := q.last(now)
		if last == nil || !Precedes(&r, &last.Request, now) || r.Bytes > q.limits.Bytes {
			return evicted, false
		}
		q.Remove(last.ID)
		evicted = append(evicted, last.Request)
	}
	q.items = append(q.items, &item{Request: r})
	q.bytes += r.Bytes
	return evicted, true
}

func (q *Queue) last(now time.Duration) *item {
	var last *item
	for _, i := range q.items {
		if last == nil || Precedes(&last.Request, &i.Request, now) {
			last = i
		}
	}
	return last
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue) Remove(id uint64) bool {
	for at, i := range q.items {
		if i.ID == id {
			q.items = slices.Delete(q.items, at, at+1)
			q.bytes -= i.Bytes
			return true
		}
	}
	return false
}

// BeginPass begins a pass: all requests may be tried again, except one whose try in the last
// pass isn't over. The others don't wait for it.
func (q *Queue) BeginPass(now time.Duration) {
	clear(q.failed)
	for _, i := range q.items {
		i.Yields = q.Yields(&i.Request, now)
		unfinished := i.offered && !i.tried
		i.offered, i.tried = unfinished, unfinished
	}
}

// Next returns the next request to try in this pass, once the try of the one before is over.
func (q *Queue) Next(now time.Duration) (id uint64, ok bool) {
	var next *item
	for _, i := range q.items {
		if i.offered && !i.tried {
			return 0, false
		}
		if !i.offered && q.open(i) && (next == nil || Precedes(&i.Request, &next.Request, now)) {
			next = i
		}
	}
	if next == nil {
		return 0, false
	}
	next.offered = true
	return next.ID, true
}

// open reports whether a request is still to be tried in this pass.
func (q *Queue) open(i *item) bool {
	tokens, failed := q.failed[i.Service]
	return !i.tried && (!failed || i.Tokens < tokens)
}

// Failed records that a request found no room.
func (q *Queue) Failed(r *Request) {
	if tokens, failed := q.failed[r.Service]; !failed || r.Tokens < tokens {
		q.failed[r.Service] = r.Tokens
	}
	q.Tried(r.ID)
}

// Tried records that the try of a request is over without a conclusion for others.
func (q *Queue) Tried(id uint64) {
	for _, i := range q.items {
		if i.ID == id {
			i.offered, i.tried = true, true
		}
	}
}

// Preceded reports whether a request that isn't in the queue must wait for its turn: one of
// its service that is served before it is still to be tried in this pass.
func (q *Queue) Preceded(r *Request, now time.Duration) bool {
	return slices.ContainsFunc(q.items, func(i *item) bool {
		return i.Service == r.Service && q.open(i) && Precedes(&i.Request, r, now)
	})
}

// Ahead returns the number of requests of the same service that are served before r, and
// the mean of the tokens that they keep in memory.
func (q *Queue) Ahead(r *Request, now time.Duration) (n, tokens int) {
	for _, i := range q.items {
		if i.ID != r.ID && i.Service == r.Service && Precedes(&i.Request, r, now) {
			n++
			tokens += i.Tokens
		}
	}
	return n, tokens / max(n, 1)
}

// OthersWait reports whether requests of other teams wait for a service.
func (q *Queue) OthersWait(service string, team uint16) bool {
	return slices.ContainsFunc(q.items, func(i *item) bool { return i.Service == service && i.Team != team })
}

// Work returns the tokens of work that wait for a service, by team.
func (q *Queue) Work(service string) map[uint16]float64 {
	work := map[uint16]float64{}
	for _, i := range q.items {
		if i.Service == service && i.Team != 0 {
			work[i.Team] += float64(i.Work)
		}
	}
	return work
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.items) }

// Bytes returns the size of the bodies of the requests that wait.
func (q *Queue) Bytes() int64 { return q.bytes }

// Waiting returns the requests that wait, in order.
func (q *Queue) Waiting(now time.Duration) []Request {
	list := make([]Request, 0, len(q.items))
	for _, i := range q.items {
		list = append(list, i.Request)
	}
	slices.SortFunc(list, func(a, b Request) int {
		if Precedes(&a, &b, now) {
			return -1
		}
		return 1
	})
	return list
}
