package limit

import (
	"container/heap"
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/rate"
)

// QueueOptions are the limits of a FairQueue.
type QueueOptions struct {
	MaxItems    int    // of all teams
	MaxTokens   uint64 // of all teams
	ShortStreak uint64 // tokens of short requests served in a row while longer ones wait
}

// DefaultQueueOptions returns the default limits.
func DefaultQueueOptions() QueueOptions {
	return QueueOptions{MaxItems: 4096, MaxTokens: 64 << 20, ShortStreak: 1 << 20}
}

// Item is one request that waits for capacity.
type Item struct {
	ID         uint64 // unique in the queue
	Team       string
	Weight     float64 // of the team; zero counts as one
	Class      balancer.Class
	Tokens     uint64
	Deadline   time.Time
	MinRunTime time.Duration // least time that the request needs after it leaves the queue
	NoEstimate bool          // it may wait until its deadline, whatever the estimated wait is

	start  float64 // virtual time
	finish float64 // virtual time
	index  int     // in its heap
}

// FairQueue orders waiting requests: short ones first, and within a class by
// start-time fair queueing among the teams. A team that sends more than its
// share waits behind the others, and its items are the first to be evicted when
// the queue is full.
type FairQueue struct {
	options QueueOptions
	classes [balancer.Classes + 1]classQueue // indexed by class
	items   map[uint64]*Item
	teams   map[string]*teamState
	tokens  uint64
	streak  uint64 // tokens of short requests served in a row while longer ones waited
	drain   rate.Drain
}

// classQueue holds the items of one class.
type classQueue struct {
	heap    itemHeap
	virtual float64 // virtual time: the latest start of a served item
	tokens  uint64
}

// teamState is the queue state of one team.
type teamState struct {
	items  int
	tokens uint64
	finish [balancer.Classes + 1]float64 // virtual finish of the newest item, by class
}

// NewFairQueue returns an empty queue.
func NewFairQueue(options QueueOptions) *FairQueue {
	return &FairQueue{options: options, items: make(map[uint64]*Item), teams: make(map[string]*teamState)}
}

// Push adds an item. It returns an error if the estimated wait exceeds the
// deadline, or if the queue is full and no other team has more tokens in it than
// this team would have. While another team has, the item of the largest team
// that would be served last is evicted. The caller refuses the evicted items,
// also those returned with an error. Refused and evicted items have not run.
func (q *FairQueue) Push(now time.Time, item Item) (evicted []Item, err error) {
	wait := q.Wait(now, item.Class)
	if !item.NoEstimate && now.Add(wait+item.MinRunTime).After(item.Deadline) {
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

// largestTeam returns the team with the most queued tokens.
func (q *FairQueue) largestTeam() string {
	largest := ""
	for team, t := range q.teams {
		if largest == "" || t.tokens > q.teams[largest].tokens {
			largest = team
		}
	}
	return largest
}

// evict removes and returns the item of the team that would be served last.
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

// Pop removes and returns the next item of a class that the caller can serve
// now.
func (q *FairQueue) Pop(now time.Time, canServe func(class balancer.Class) bool) (Item, bool) {
	class := q.nextClass(canServe)
	if class == 0 {
		return Item{}, false
	}
	item := *q.classes[class].heap[0]
	return item, q.Serve(now, item.ID)
}

// Peek returns the item that Pop would take.
func (q *FairQueue) Peek(canServe func(class balancer.Class) bool) (Item, bool) {
	class := q.nextClass(canServe)
	if class == 0 {
		return Item{}, false
	}
	return *q.classes[class].heap[0], true
}

// nextClass returns the class to serve: the shortest one that can be served,
// unless ShortStreak tokens of short requests were served while longer ones
// waited.
func (q *FairQueue) nextClass(canServe func(class balancer.Class) bool) balancer.Class {
	var first balancer.Class
	for class := balancer.ClassShort; class <= balancer.ClassLong; class++ {
		if len(q.classes[class].heap) == 0 || !canServe(class) {
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
	longerWait := q.tokens > q.classes[balancer.ClassShort].tokens
	if item.Class == balancer.ClassShort && longerWait {
		q.streak += item.Tokens
		return
	}
	q.streak = 0
}

// Remove deletes an item, for example because its caller disconnected.
func (q *FairQueue) Remove(id uint64) bool {
	item := q.items[id]
	if item == nil {
		return false
	}
	q.remove(item)
	return true
}

// Expire removes and returns the items that would miss their deadlines even if
// they were served now. They have not run.
func (q *FairQueue) Expire(now time.Time) []Item {
	q.advance(now)
	for name, team := range q.teams {
		if team.items == 0 {
			q.forgetIdle(name, team)
		}
	}
	var expired []Item
	for _, item := range q.items {
		if now.Add(item.MinRunTime).After(item.Deadline) {
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
		q.forgetIdle(item.Team, team)
	}
}

// forgetIdle deletes the state of a team without items, unless its virtual finish
// is ahead of the virtual time of a class in which items wait: the next item of
// the team must not start before that.
func (q *FairQueue) forgetIdle(name string, team *teamState) {
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

// Wait estimates how long a new item of a class waits: the queued tokens of its
// class and the shorter ones, divided by the recent drain rate of the queue. It
// is zero while that rate is unknown.
func (q *FairQueue) Wait(now time.Time, class balancer.Class) time.Duration {
	var ahead uint64
	for c := balancer.ClassShort; c <= class; c++ {
		ahead += q.classes[c].tokens
	}
	q.advance(now)
	return q.drain.Time(float64(ahead), maxWait)
}

// advance adds the time since the last call to the measured drain time if
// requests were queued.
func (q *FairQueue) advance(now time.Time) {
	q.drain.Advance(now, len(q.items) > 0)
}

// maxWait is the upper bound of the estimated wait.
const maxWait = time.Hour
