package host

import (
	"context"
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/limit"
)

// queueTick is the longest time between two looks for room while requests wait.
const queueTick = 10 * time.Millisecond

// modelQueue holds the requests of one model that wait for room. Its fields
// belong to the mutex of the placement.
type modelQueue struct {
	fair    *limit.FairQueue
	waiting map[uint64]*waiter
	next    uint64
	running bool // a goroutine serves the queue
}

// waiter is one request in a queue.
type waiter struct {
	ctx     context.Context
	request *balancer.Request
	result  chan placeResult // holds one value
}

type placeResult struct {
	placed *placed
	err    error
}

// queued reports whether requests of the same model wait already, so that a
// new one has to wait behind them. Short requests pass longer ones.
func (p *placement) queued(request *balancer.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.queues[request.Model]
	if !ok {
		return false
	}
	first, waits := q.fair.Peek(func(balancer.Class) bool { return true })
	return waits && first.Class <= request.Class
}

// waitForPlace queues the request until there is room for it.
func (h *Host) waitForPlace(ctx context.Context, request *balancer.Request) (*placed, error) {
	w := &waiter{ctx: ctx, request: request, result: make(chan placeResult, 1)}
	id, err := h.enqueue(w)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-w.result:
		return result.placed, result.err
	case <-ctx.Done():
		h.placement.leaveQueue(id, w)
		return nil, code.New(code.NoCapacity, "the request ended while it waited for room")
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
		Deadline: w.request.Deadline, MinRun: p.estimate.run(w.request),
	}
	// The queue counts the run into the deadline, so the end of the queue time
	// is stated as a deadline after the run.
	if end := now.Add(queueTime + item.MinRun); end.Before(item.Deadline) {
		item.Deadline = end
	}
	evicted, err := q.fair.Push(now, item)
	for _, victim := range evicted {
		q.refuse(victim.ID, code.New(code.NoCapacity, "the queue is full and team %q holds most of it", victim.Team))
	}
	if err != nil {
		return 0, err
	}
	q.waiting[item.ID] = w
	if !q.running {
		q.running = true
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

// leaveQueue removes a waiter whose request has ended. A result that came
// meanwhile is given back.
func (p *placement) leaveQueue(id uint64, w *waiter) {
	p.mu.Lock()
	if q, ok := p.queues[w.request.Model]; ok {
		q.fair.Remove(id)
		delete(q.waiting, id)
	}
	p.mu.Unlock()
	select {
	case result := <-w.result:
		if result.placed != nil {
			result.placed.release()
		}
	default:
	}
}

// refuse ends the wait of a request without room. The caller holds the lock.
func (q *modelQueue) refuse(id uint64, err error) {
	w, ok := q.waiting[id]
	if !ok {
		return
	}
	delete(q.waiting, id)
	w.result <- placeResult{err: err}
}

// serveQueue places waiting requests in their order until none waits.
func (h *Host) serveQueue(q *modelQueue) {
	timer := time.NewTimer(queueTick)
	defer timer.Stop()
	for h.placement.keepServing(q) {
		h.servePass(q)
		timer.Reset(queueTick)
		select {
		case <-h.placement.wakeups:
		case <-timer.C:
		}
	}
}

// keepServing refuses requests whose time is over and reports whether any are
// left. If none are, the queue is no longer served.
func (p *placement) keepServing(q *modelQueue) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, item := range q.fair.Expire(time.Now()) {
		q.refuse(item.ID, code.New(code.NoCapacity, "no engine had room for %d tokens within the queue time", item.Tokens))
	}
	q.running = q.fair.Len() > 0
	return q.running
}

// servePass places requests until each class is out of requests or room.
func (h *Host) servePass(q *modelQueue) {
	full := balancer.ClassLong + 1 // shortest class without room
	for {
		id, w := h.placement.head(q, full)
		if w == nil {
			return
		}
		placed, err := h.tryPlace(w.ctx, w.request)
		switch {
		case placed == nil && err == nil:
			full = w.request.Class
		case h.placement.leaveHead(q, id):
			w.result <- placeResult{placed: placed, err: err}
		case placed != nil:
			placed.release()
		}
	}
}

// head returns the first waiter of a class that is shorter than full.
func (p *placement) head(q *modelQueue, full balancer.Class) (uint64, *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	item, ok := q.fair.Peek(func(class balancer.Class) bool { return class < full })
	if !ok {
		return 0, nil
	}
	return item.ID, q.waiting[item.ID]
}

// leaveHead takes a waiter that was placed out of the queue. It returns false
// if the waiter has left meanwhile.
func (p *placement) leaveHead(q *modelQueue, id uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := q.waiting[id]; !ok {
		return false
	}
	delete(q.waiting, id)
	return q.fair.Serve(time.Now(), id)
}
