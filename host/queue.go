package host

import (
	"context"
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/limit"
)

// queuePollPeriod is the longest time between two placement passes over a
// queue.
const queuePollPeriod = 10 * time.Millisecond

// modelQueue holds the requests of one model that wait for capacity. The mutex
// of the placement guards its fields.
type modelQueue struct {
	fair    *limit.FairQueue
	waiting map[uint64]*waiter
	next    uint64
	served  bool // a goroutine serves the queue
}

// waiter is one request in a queue.
type waiter struct {
	ctx     context.Context
	request *balancer.Request
	result  chan placeResult // buffers one value
}

type placeResult struct {
	assignment *assignment
	err        error
}

// mustQueue reports whether a new request has to wait behind queued requests of
// the same model. Requests of a shorter class overtake those of a longer one.
func (p *placement) mustQueue(request *balancer.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.queues[request.Model]
	if !ok {
		return false
	}
	first, queued := q.fair.Peek(func(balancer.Class) bool { return true })
	return queued && first.Class <= request.Class
}

// waitForCapacity queues the request until there is capacity for it.
func (h *Host) waitForCapacity(ctx context.Context, request *balancer.Request) (*assignment, error) {
	w := &waiter{ctx: ctx, request: request, result: make(chan placeResult, 1)}
	id, err := h.enqueue(w)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-w.result:
		return result.assignment, result.err
	case <-ctx.Done():
		h.placement.leaveQueue(id, w)
		return nil, code.New(code.NoCapacity, "the request ended while it waited for capacity")
	}
}

// enqueue adds a waiter to the queue of its model and starts to serve it.
func (h *Host) enqueue(w *waiter) (id uint64, err error) {
	p := h.placement
	now := time.Now()
	queueTime, weight := h.queuePolicy(w.request.Team)
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queue(w.request.Model)
	q.next++
	item := limit.Item{
		ID: q.next, Team: w.request.Team, Weight: weight, Class: w.request.Class, Tokens: w.request.Memory(),
		Deadline: w.request.Deadline, NoEstimate: w.request.MayHaveRun,
	}
	if !item.NoEstimate {
		item.MinRunTime = p.estimate.expectedDuration(w.request)
		// The deadline of a queue item includes the estimated run, so the run is
		// added to the end of the queue time.
		if end := now.Add(queueTime + item.MinRunTime); end.Before(item.Deadline) {
			item.Deadline = end
		}
	}
	evicted, err := q.fair.Push(now, item)
	for _, victim := range evicted {
		q.refuse(victim.ID, code.New(code.NoCapacity, "the queue is full and team %q holds most of it", victim.Team))
	}
	if err != nil {
		return 0, err
	}
	q.waiting[item.ID] = w
	if !q.served {
		q.served = true
		go h.serveQueue(q)
	}
	return item.ID, nil
}

// queuePolicy returns how long a request of the team may wait and the weight of
// the team.
func (h *Host) queuePolicy(team string) (queueTime time.Duration, weight float64) {
	cfg, ok := h.agreement.config()
	if !ok {
		return 0, 1
	}
	return cfg.Fleet().QueueTime, cfg.Team(team).Weight
}

func (p *placement) queue(model string) *modelQueue {
	q, ok := p.queues[model]
	if !ok {
		q = &modelQueue{fair: limit.NewFairQueue(limit.DefaultQueueOptions()), waiting: make(map[uint64]*waiter)}
		p.queues[model] = q
	}
	return q
}

// leaveQueue removes a waiter whose request has ended. Capacity that it was
// granted in the meantime is released.
func (p *placement) leaveQueue(id uint64, w *waiter) {
	p.mu.Lock()
	if q, ok := p.queues[w.request.Model]; ok {
		q.fair.Remove(id)
		delete(q.waiting, id)
	}
	p.mu.Unlock()
	select {
	case result := <-w.result:
		if result.assignment != nil {
			result.assignment.release()
		}
	default:
	}
}

// refuse ends the wait of a request with an error. The caller holds the lock.
func (q *modelQueue) refuse(id uint64, err error) {
	w, ok := q.waiting[id]
	if !ok {
		return
	}
	delete(q.waiting, id)
	w.result <- placeResult{err: err}
}

// serveQueue places waiting requests in queue order until the queue is empty.
func (h *Host) serveQueue(q *modelQueue) {
	timer := time.NewTimer(queuePollPeriod)
	defer timer.Stop()
	for h.placement.expireWaiters(q) {
		h.placeWaiters(q)
		timer.Reset(queuePollPeriod)
		select {
		case <-h.placement.capacityFreed:
		case <-timer.C:
		}
	}
}

// expireWaiters refuses expired requests and reports whether any others wait.
// If none do, the caller must stop serving the queue.
func (p *placement) expireWaiters(q *modelQueue) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, item := range q.fair.Expire(time.Now()) {
		q.refuse(item.ID, code.New(code.NoCapacity, "no engine had capacity for %d tokens within the queue time", item.Tokens))
	}
	q.served = q.fair.Len() > 0
	return q.served
}

// placeWaiters places requests until each class has no more requests or
// capacity.
func (h *Host) placeWaiters(q *modelQueue) {
	fullClass := balancer.ClassLong + 1 // shortest class without capacity
	for {
		id, w := h.placement.firstWaiter(q, fullClass)
		if w == nil {
			return
		}
		assignment, err := h.tryPlace(w.ctx, w.request)
		switch {
		case assignment == nil && err == nil:
			fullClass = w.request.Class
		case h.placement.removePlaced(q, id):
			w.result <- placeResult{assignment: assignment, err: err}
		case assignment != nil:
			assignment.release()
		}
	}
}

// firstWaiter returns the first waiter of a class that is shorter than
// fullClass.
func (p *placement) firstWaiter(q *modelQueue, fullClass balancer.Class) (uint64, *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	item, ok := q.fair.Peek(func(class balancer.Class) bool { return class < fullClass })
	if !ok {
		return 0, nil
	}
	return item.ID, q.waiting[item.ID]
}

// removePlaced removes a placed waiter from the queue. It returns false if the
// waiter has left the queue in the meantime.
func (p *placement) removePlaced(q *modelQueue, id uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := q.waiting[id]; !ok {
		return false
	}
	delete(q.waiting, id)
	return q.fair.Serve(time.Now(), id)
}
