package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronscale/citronscale/platform/platformtest"
)

const (
	callersPerHost = 4
	readyEvery     = 250 * time.Millisecond
	giveUpShare    = 0.03
	oldKeyShare    = 0.05
	oversizeShare  = 0.04 // of streams: their prompts need the memory of several engines
	switchShare    = 0.1  // of requests that open a connection to another host
	mostThink      = 80 * time.Millisecond
	slowShare      = 0.2 // of the callers of streams
)

// request is one request of a caller and what became of it.
type request struct {
	platformtest.CallerRequest
	host        *host
	incarnation int // of the host, when it was sent
	team        string
	repeatable  bool
	stream      bool
	line        int // least bytes of a data line of the stream
	sentAt      time.Time
	leftAt      time.Time // when the caller gave up; zero if it did not
	endedAt     time.Time // zero while it is open
	answer      platformtest.CallerAnswer
}

// crowd is all callers and the balancer before them.
type crowd struct {
	w          *world
	stop       chan struct{}
	group      sync.WaitGroup
	inRotation atomic.Pointer[[]*host] // hosts that get new connections
	nextID     atomic.Uint64
}

func (w *world) startCrowd() *crowd {
	c := &crowd{w: w, stop: make(chan struct{})}
	all := slices.Clone(w.hosts)
	c.inRotation.Store(&all)
	c.group.Go(c.balance)
	for n := range callersPerHost * len(w.hosts) {
		c.group.Go(func() { c.call(w.rngOf(uint64(1000 + n))) })
	}
	return c
}

func (c *crowd) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// end stops the callers once their requests have ended.
func (c *crowd) end() {
	close(c.stop)
	c.group.Wait()
}

// balance keeps the list of hosts that get new connections.
func (c *crowd) balance() {
	client := &http.Client{Timeout: readyEvery}
	for !c.stopped() {
		var ready []*host
		for _, h := range c.w.hosts {
			if h.ready(client) {
				ready = append(ready, h)
			}
		}
		if len(ready) == 0 {
			ready = slices.Clone(c.w.hosts)
		}
		c.inRotation.Store(&ready)
		time.Sleep(readyEvery)
	}
}

// call sends one request after the other over kept connections.
func (c *crowd) call(rng *rand.Rand) {
	var client *http.Client
	var at *host
	for !c.stopped() {
		if client == nil || rng.Float64() < switchShare {
			hosts := *c.inRotation.Load()
			at = hosts[rng.IntN(len(hosts))]
			client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
		}
		r := c.draw(rng, at)
		c.send(r, client, rng)
		for again := c.resume(r, rng); again != nil && !c.stopped(); again = c.resume(again, rng) {
			c.send(again, client, rng)
		}
		if r.answer.Err != nil || r.answer.Status >= http.StatusInternalServerError {
			client.CloseIdleConnections()
			client = nil
		}
		time.Sleep(time.Duration(rng.Int64N(int64(mostThink))))
	}
	if client != nil {
		client.CloseIdleConnections()
	}
}

// draw makes up a request.
func (c *crowd) draw(rng *rand.Rand, at *host) *request {
	w := c.w
	w.mu.Lock()
	defer w.mu.Unlock()
	team := fmt.Sprintf("team-%d", rng.IntN(teams)+1)
	key := w.config.keys[team]
	if rng.Float64() < oldKeyShare {
		for old := range w.config.revoked { // any one
			key, team = old, w.config.teamOf[old]
			break
		}
	}
	id := fmt.Sprintf("%d-%d", w.seed, c.nextID.Add(1))
	r := &request{host: at, team: team, CallerRequest: platformtest.CallerRequest{
		ID: id, Method: http.MethodPost, Address: at.front.Address(), Host: callHost, Key: key, Body: "body of " + id,
		Deadline: 1500 * time.Millisecond,
	}}
	if w.plan.streamsOnly {
		c.drawStream(r, rng)
		return r
	}
	name := ""
	switch pick := rng.Float64(); {
	case pick < 0.25:
		name, r.repeatable, r.Method = "read", true, http.MethodGet
		r.Body = ""
	case pick < 0.50:
		name = "write"
	case pick < 0.55 && len(w.config.added) > 0:
		name, r.repeatable = fmt.Sprintf("added-%d", rng.IntN(len(w.config.added))+1), true
	case pick < 0.85:
		name, r.repeatable, r.stream = "stream", true, true
	default:
		name, r.stream = "stream-once", true
	}
	r.Path = fmt.Sprintf("/%s/%s?of=%d", name, id, rng.IntN(100))
	if r.stream {
		r.Deadline = 10 * time.Second
		r.Prompt = 1_000 + rng.IntN(8_000)
		if rng.Float64() < oversizeShare {
			r.Prompt = modelMemory + rng.IntN(modelMemory/2)
		}
	}
	return r
}

// bufferBytes is the size of the buffers that hosts read streams with.
const bufferBytes = 4096

// drawStream turns the request into a stream. Its lines may fill buffers, and its caller
// may be slow.
func (c *crowd) drawStream(r *request, rng *rand.Rand) {
	name := "stream-once"
	if rng.Float64() < 0.8 {
		name, r.repeatable = "stream", true
	}
	r.stream, r.Deadline, r.Prompt = true, 10*time.Second, 500+rng.IntN(2_000)
	r.line = []int{0, 0, bufferBytes - 1, bufferBytes, bufferBytes + 1, 2 * bufferBytes}[rng.IntN(6)]
	r.Path = fmt.Sprintf("/%s/%s?line=%d", name, r.ID, r.line)
	if rng.Float64() < slowShare {
		r.ReadEvery = time.Duration(rng.Int64N(int64(2 * eventEvery)))
	}
}

// resume returns the request with which a caller goes on with a stream that broke off, or
// that it left, at any host, or nil if the stream can't be resumed. The first host may still
// hold a stream that its caller left.
func (c *crowd) resume(broken *request, rng *rand.Rand) *request {
	if !broken.repeatable || !broken.stream || broken.answer.Err == nil || broken.answer.Status != http.StatusOK {
		return nil
	}
	last := broken.LastEvent + strings.Count(broken.answer.Body, "\n\n")
	if last == 0 || last >= events {
		return nil
	}
	hosts := *c.inRotation.Load()
	r := &request{host: hosts[rng.IntN(len(hosts))], team: broken.team, repeatable: true, stream: true, line: broken.line, CallerRequest: broken.CallerRequest}
	r.ID = fmt.Sprintf("%d-%d", c.w.seed, c.nextID.Add(1))
	r.Address, r.Body, r.LastEvent = r.host.front.Address(), "body of "+r.ID, last
	r.Path = fmt.Sprintf("/stream/%s?line=%d", r.ID, r.line)
	return r
}

func (c *crowd) send(r *request, client *http.Client, rng *rand.Rand) {
	wait := r.Deadline + time.Second
	leaves := rng.Float64() < giveUpShare
	if leaves {
		wait = time.Duration(20+rng.IntN(400)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r.sentAt, r.incarnation = time.Now(), r.host.now()
	c.w.book.open(r)
	answer := platformtest.Call(ctx, client, r.CallerRequest)
	left := time.Time{}
	if ctx.Err() != nil {
		left = time.Now()
	}
	c.w.book.close(r, answer, left)
}
