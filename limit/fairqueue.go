package limit

import (
	"container/heap"
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/rate"
)

// QueueOptions are the bounds of a FairQueue.
type QueueOptions struct {
	MaxItems    int    // of all teams
	MaxTokens   uint64 // of all teams
	ShortStreak uint64 // tokens of short requests served in a row while others wait
}

// DefaultQueueOptions returns the bounds in use unless the configuration says
// otherwise.
func DefaultQueueOptions() QueueOptions {
	return QueueOptions{MaxItems: 4096, MaxTokens: 64 << 20, ShortStreak: 1 << 20}
}

// Item is one request that waits for capacity.
type Item struct {
	ID       uint64 // unique in the queue
	Team     string
	Weight   float64 // of the team; zero counts as one
	Class    balancer.Class
	Tokens   uint64
	Deadline time.Time
	MinRun   time.Duration // time that the request needs after it left the queue

	start  float64 // virtual time
	finish float64 // virtual time
	index  int     // in its heap
}

// FairQueue orders waiting requests: short ones first, and within a class by
// start-time fair queueing among the teams. A team that sends more than its
// share waits behind the others, and is the first to lose items when the queue
// is full.
type FairQueue struct {
	options QueueOptions
	classes [balancer.Classes + 1]classQueue // indexed by class
	items   map[uint64]*Item
	teams   map[string]*teamState
	tokens  uint64
	streak  uint64 // tokens of short requests served while others waited
	drain   rate.Drain
}

// classQueue holds the items of one class.
type classQueue struct {
	heap    itemHeap
	virtual float64 // start of the item served last
	tokens  uint64
}

// teamState is the part of one team in the queue.
type teamState struct {
	items  int
	tokens uint64
	finish [balancer.Classes + 1]float64 // virtual finish of the newest item, by class
}

// NewFairQueue returns an empty queue.
func NewFairQueue(options QueueOptions) *FairQueue {
	return &FairQueue{options: options, items: make(map[uint64]*Item), teams: make(map[string]*teamState)}
}

// Push adds an item. It refuses the item if its deadline can't be met by the
// estimate, or if the queue is full and the team holds the largest part of it;
// if another team does, that team's newest item is returned as evicted and is
// to be refused instead. Neither was run.
func (q *FairQueue) Push(now time.Time, item Item) (evicted []Item, err error) {
	wait := q.Wait(now, item.Class)
	if now.Add(wait + item.MinRun).After(item.Deadline) {
		return nil, code.New(code.DeadlineTooShort, "estimated wait of %v exceeds the deadline", wait.Round(time.Millisecond))
	}
	for q.full(item.Tokens) {
		victim := q.largestTeam()
		if victim == "" || victim == item.Team || q.teams[victim].tokens <= q.teamTokens(item.Team)+item.Tokens {
			return evicted, code.New(code.NoCapacity, "queue holds %d requests with %d tokens", len(q.items), q.tokens)
		}
		evicted = append(evicted, q.evict(victim))
	}
	q.insert(&item)
	return evicted, nil
}

func (q *FairQueue) full(tokens uint64) bool {
	return len(q.items) >= q.options.MaxItems || q.tokens+tokens > q.options.MaxTokens
}

func (q *FairQueue) teamTokens(team string) uint64 {
	if t := q.teams[team]; t != nil {
		return t.tokens
	}
	return 0
}

// largestTeam returns the team with the most tokens in the queue.
func (q *FairQueue) largestTeam() string {
	largest := ""
	for team, t := range q.teams {
		if largest == "" || t.tokens > q.teams[largest].tokens {
			largest = team
		}
	}
	return largest
}

// evict removes the item of a team that would be served last.
func (q *FairQueue) evict(team string) Item {
	var last *Item
	for _, item := range q.items {
		if item.Team == team && (last == nil || servedAfter(item, last)) {
			last = item
		}
	}
	q.teams[team].finish[last.Class] = last.start
	q.remove(last)
	return *last
}

func servedAfter(a, b *Item) bool {
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	return a.start > b.start
}

func (q *FairQueue) insert(item *Item) {
	class := &q.classes[item.Class]
	team := q.teams[item.Team]
	if team == nil {
		team = &teamState{}
		q.teams[item.Team] = team
	}
	weight := item.Weight
	if weight <= 0 {
		weight = 1
	}
	item.start = max(class.virtual, team.finish[item.Class])
	item.finish = item.start + float64(item.Tokens)/weight
	team.finish[item.Class] = item.finish
	team.items++
	team.tokens += item.Tokens
	class.tokens += item.Tokens
	q.tokens += item.Tokens
	q.items[item.ID] = item
	heap.Push(&class.heap, item)
}

// Pop takes the next item whose class the caller can serve now.
func (q *FairQueue) Pop(now time.Time, serves func(class balancer.Class) bool) (Item, bool) {
	class := q.next(serves)
	if class == 0 {
		return Item{}, false
	}
	item := *q.classes[class].heap[0]
	return item, q.Serve(now, item.ID)
}

// Peek returns the item that Pop would take.
func (q *FairQueue) Peek(serves func(class balancer.Class) bool) (Item, bool) {
	class := q.next(serves)
	if class == 0 {
		return Item{}, false
	}
	return *q.classes[class].heap[0], true
}

// next returns the class to serve: the shortest, unless short requests were
// served for long enough while others waited.
func (q *FairQueue) next(serves func(class balancer.Class) bool) balancer.Class {
	var first balancer.Class
	for class := balancer.ClassShort; class <= balancer.ClassLong; class++ {
		if len(q.classes[class].heap) == 0 || !serves(class) {
			continue
		}
		if first == balancer.ClassShort && q.streak >= q.options.ShortStreak {
			return class
		}
		if first == 0 {
			first = class
		}
	}
	return first
}

func (q *FairQueue) countStreak(item *Item) {
	othersWait := q.tokens > q.classes[balancer.ClassShort].tokens
	if item.Class == balancer.ClassShort && othersWait {
		q.streak += item.Tokens
		return
	}
	q.streak = 0
}

// Remove takes an item out, for example because its caller is gone.
func (q *FairQueue) Remove(id uint64) bool {
	item := q.items[id]
	if item == nil {
		return false
	}
	q.remove(item)
	return true
}

// Expire removes the items whose deadline can't be met any more, even if they
// were served now. They were not run.
func (q *FairQueue) Expire(now time.Time) []Item {
	q.advance(now)
	for name, team := range q.teams {
		if team.items == 0 {
			q.forget(name, team)
		}
	}
	var expired []Item
	for _, item := range q.items {
		if now.Add(item.MinRun).After(item.Deadline) {
			q.remove(item)
			expired = append(expired, *item)
		}
	}
	return expired
}

func (q *FairQueue) remove(item *Item) {
	class := &q.classes[item.Class]
	heap.Remove(&class.heap, item.index)
	class.tokens -= item.Tokens
	q.tokens -= item.Tokens
	delete(q.items, item.ID)
	team := q.teams[item.Team]
	team.items--
	team.tokens -= item.Tokens
	if team.items == 0 {
		q.forget(item.Team, team)
	}
}

// forget drops a team without items unless its virtual finish still counts.
func (q *FairQueue) forget(name string, team *teamState) {
	for class := range q.classes {
		if team.finish[class] > q.classes[class].virtual && len(q.classes[class].heap) > 0 {
			return
		}
	}
	delete(q.teams, name)
}

// Len returns the number of items in the queue.
func (q *FairQueue) Len() int {
	return len(q.items)
}

// Wait estimates how long a new item of a class waits: the tokens of its class
// and the shorter ones divided by the rate at which the queue drained lately. It
// is zero while that rate is not known.
func (q *FairQueue) Wait(now time.Time, class balancer.Class) time.Duration {
	var ahead uint64
	for c := balancer.ClassShort; c <= class; c++ {
		ahead += q.classes[c].tokens
	}
	q.advance(now)
	return q.drain.Time(float64(ahead), maxWait)
}

// advance keeps the time for which requests have been waiting.
func (q *FairQueue) advance(now time.Time) {
	q.drain.Advance(now, len(q.items) > 0)
}

// maxWait bounds the estimate of the waiting time.
const maxWait = time.Hour
