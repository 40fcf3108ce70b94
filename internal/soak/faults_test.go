package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/citronscale/citronscale/internal/faultproxy"
	"github.com/citronscale/citronscale/platform/platformtest"
)

// act is one fault or planned work. It returns when it is over.
type act struct {
	name    string
	weight  int
	planned bool
	run     func(w *world, rng *rand.Rand)
}

var acts = []act{
	{"stop a host", 3, true, (*world).stopOne},
	{"stop hosts in turn", 1, true, (*world).stopInTurn},
	{"reload hosts", 1, true, (*world).reload},
	{"change keys", 3, true, (*world).changeKeys},
	{"add a route", 1, true, func(w *world, _ *rand.Rand) { w.addRoute() }},
	{"drain an upstream", 3, true, (*world).drain},
	{"let an upstream say that it leaves", 3, true, (*world).leave},
	{"evacuate a domain", 4, true, (*world).evacuate},
	{"let an upstream rest", 3, true, (*world).rest},
	{"slow an upstream", 3, false, (*world).slow},
	{"kill a host", 3, false, (*world).killOne},
	{"kill hosts at once", 1, false, (*world).killMany},
	{"pause a host", 3, false, (*world).pause},
	{"harm the way to the store", 4, false, (*world).harmStorePath},
	{"change keys behind a cut", 2, false, (*world).changeKeysBehindACut},
	{"store refuses", 2, false, (*world).storeRefuses},
	{"store forgets", 1, false, func(w *world, _ *rand.Rand) { defer w.disturb("")(); w.store.Compact() }},
	{"crash an upstream", 4, false, (*world).crash},
	{"harm the way to an upstream", 5, false, (*world).harmUpstreamPath},
	{"harm the way of callers", 3, false, (*world).harmCallers},
}

// streamActs are faults of streams.
var streamActs = []act{
	{"spoil the streams of an upstream", 12, false, (*world).spoilStreams},
	{"end an upstream in the middle of its streams", 12, false, (*world).dieInStreams},
}

// copyActs let the store come back from an older copy.
var copyActs = []act{
	{"store comes back from a copy", 8, false, (*world).storeComesBack},
}

// storeComesBack lets the store go away and come back from a copy some seconds old. Operator and
// upstreams write again what it lacks, each after a while; entries of upstreams that have gone
// lapse later.
func (w *world) storeComesBack(rng *rand.Rand) {
	if !w.copying.TryLock() {
		return // another copy is being completed
	}
	defer w.copying.Unlock()
	defer w.disturb("")()
	older := w.store.Copy()
	time.Sleep(between(rng, 300*time.Millisecond, 4*time.Second))
	w.store.SetStatus(http.StatusServiceUnavailable)
	time.Sleep(between(rng, 100*time.Millisecond, 1500*time.Millisecond))
	lost := w.store.Restore(older)
	late := rng.IntN(2) == 0
	if !late {
		w.store.SetStatus(0)
	}
	for _, key := range w.store.Differences("", lost) {
		time.Sleep(between(rng, 0, 300*time.Millisecond))
		w.store.WriteAgain(key, lost)
	}
	w.store.SetStatus(0)
}

// spoilStreams lets an upstream break its streams off, and resume others wrongly.
func (w *world) spoilStreams(rng *rand.Rand) {
	u := w.claimUpstream(rng)
	if u == nil {
		return
	}
	defer w.freeUpstream(u)
	defer w.disturb("")()
	u.replica.SetStreamFault(platformtest.StreamFault{
		BreakAfter: rng.IntN(events / 2), WithinEvent: rng.IntN(2) == 0, Unframed: rng.IntN(3) == 0,
		Resume: platformtest.ResumeFault(rng.IntN(int(platformtest.AnswersText) + 1)),
	})
	time.Sleep(between(rng, 300*time.Millisecond, 3*time.Second))
	u.replica.SetStreamFault(platformtest.StreamFault{})
}

// aftermath is what callers find at the address of an upstream whose process has ended.
type aftermath int

const (
	connectionsAreReset aftermath = iota
	connectionsHang
	anotherProcess     // at once
	anotherProcessLate // after a moment
	sameIDAgain        // a process that takes the identifier of the one before
	aftermaths
)

// dieInStreams ends the process of an upstream whose streams have neither a length nor
// chunks, mostly. Their connections end as at the end of a whole stream.
func (w *world) dieInStreams(rng *rand.Rand) {
	framed := rng.IntN(4) == 0
	warm := between(rng, 500*time.Millisecond, 2500*time.Millisecond)
	after := aftermath(rng.IntN(int(aftermaths)))
	down := between(rng, 100*time.Millisecond, 2*time.Second)
	u := w.claimUpstream(rng)
	if u == nil {
		return
	}
	defer w.freeUpstream(u)
	defer w.disturb("")()
	u.replica.SetStreamFault(platformtest.StreamFault{Unframed: !framed})
	time.Sleep(warm)
	id := w.die(u)
	switch after {
	case anotherProcess:
		w.startReplica(u)
		w.store.RemoveServer(id)
		return
	case sameIDAgain:
		w.startReplicaAs(u, id)
		return
	case anotherProcessLate:
		down = 200 * time.Millisecond
	case connectionsHang:
		time.Sleep(5 * time.Millisecond) // until the ends of the streams have passed the proxy
		u.proxy.Set(faultproxy.Fault{HoldToServer: true, HoldToClient: true})
		defer u.proxy.Set(faultproxy.Fault{})
	case connectionsAreReset:
	}
	time.Sleep(down)
	w.store.RemoveServer(id)
	w.startReplica(u)
}

// pick draws an act.
func (p *plan) pick(rng *rand.Rand, plannedOnly bool) act {
	list := slices.DeleteFunc(slices.Clone(p.acts), func(a act) bool { return plannedOnly && !a.planned })
	total := 0
	for _, a := range list {
		total += a.weight
	}
	n := rng.IntN(total)
	for _, a := range list {
		if n -= a.weight; n < 0 {
			return a
		}
	}
	panic("soak: the weights do not add up")
}

// between draws a time.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// play carries out acts one after the other until a time.
func (w *world) play(rng *rand.Rand, plannedOnly bool, until time.Time) {
	for time.Now().Before(until) {
		a := w.plan.pick(rng, plannedOnly)
		w.logf("%s", a.name)
		a.run(w, rng)
		time.Sleep(between(rng, 50*time.Millisecond, 1200*time.Millisecond))
	}
}

func (w *world) logf(format string, args ...any) {
	w.t.Logf("%7.3f s: %s", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) anyHost(rng *rand.Rand) *host {
	return w.hosts[rng.IntN(len(w.hosts))]
}

// stopPlanned sends SIGTERM, waits for the end and starts the host again.
func (h *host) stopPlanned() {
	if !h.claim() {
		return
	}
	defer h.free()
	stop := plannedStop{host: h, incarnation: h.now(), at: time.Now()}
	ended := h.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
		if exit := h.command.ProcessState.ExitCode(); exit != 0 {
			h.w.book.violate("planned stop", "%s exited with %d", h.name, exit)
		}
	case <-time.After(graceTime + time.Second):
		if h.w.calm(h.name, stop.at, time.Now()) {
			h.w.book.violate("planned stop", "%s did not stop within its grace", h.name)
		}
		<-h.signal(syscall.SIGKILL, true)
	}
	stop.ended = time.Now()
	h.w.book.noteStop(stop)
	h.start()
	h.awaitAnswer()
}

func (w *world) stopOne(rng *rand.Rand) {
	w.anyHost(rng).stopPlanned()
}

func (w *world) stopInTurn(rng *rand.Rand) {
	for _, n := range rng.Perm(len(w.hosts))[:1+rng.IntN(len(w.hosts))] {
		w.hosts[n].stopPlanned()
	}
}

func (w *world) reload(rng *rand.Rand) {
	for _, h := range w.hosts {
		if rng.IntN(2) == 0 && h.claim() {
			h.signal(syscall.SIGHUP, false)
			h.free()
		}
	}
}

func (w *world) changeKeys(rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		w.revoke(fmt.Sprintf("team-%d", rng.IntN(teams)+1))
		time.Sleep(between(rng, 10*time.Millisecond, 300*time.Millisecond))
	}
}

// killFor kills a host and starts it again after a while.
func (h *host) killFor(down time.Duration) {
	if !h.claim() {
		return
	}
	defer h.free()
	defer h.w.disturb(h.name)()
	h.kill()
	time.Sleep(down)
	h.start()
	h.awaitAnswer()
}

// awaitAnswer waits until a new process listens.
func (h *host) awaitAnswer() {
	client := &http.Client{Timeout: pollTime}
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(pollTime) {
		response, err := client.Get("http://" + h.at(portReadiness) + "/ready")
		if err == nil {
			_ = response.Body.Close()
			return
		}
	}
}

func (w *world) killOne(rng *rand.Rand) {
	w.anyHost(rng).killFor(between(rng, 50*time.Millisecond, 1500*time.Millisecond))
}

func (w *world) killMany(rng *rand.Rand) {
	down := between(rng, 50*time.Millisecond, 1500*time.Millisecond)
	ended := make(chan struct{}, len(w.hosts))
	hit := rng.Perm(len(w.hosts))[:1+rng.IntN(len(w.hosts))]
	for _, n := range hit {
		go func() {
			w.hosts[n].killFor(down)
			ended <- struct{}{}
		}()
	}
	for range hit {
		<-ended
	}
}

func (w *world) pause(rng *rand.Rand) {
	h := w.anyHost(rng)
	span := between(rng, 200*time.Millisecond, 7*time.Second)
	if !h.claim() {
		return
	}
	defer h.free()
	defer w.disturb(h.name)()
	defer h.notePause()()
	h.signal(syscall.SIGSTOP, false)
	time.Sleep(span)
	h.signal(syscall.SIGCONT, false)
}

// drawFault draws what a proxy does.
func drawFault(rng *rand.Rand) faultproxy.Fault {
	switch rng.IntN(5) {
	case 0:
		return faultproxy.Fault{Reset: true}
	case 1:
		return faultproxy.Fault{HoldToServer: true, HoldToClient: true}
	case 2:
		return faultproxy.Fault{HoldToServer: true}
	case 3:
		return faultproxy.Fault{HoldToClient: true}
	default:
		return faultproxy.Fault{Delay: between(rng, 5*time.Millisecond, 300*time.Millisecond)}
	}
}

// harm lets a fault last for a while. Connections that it held are reset at its
// end or go on, as a path that is cut for long or for a moment.
func harm(rng *rand.Rand, p *faultproxy.Proxy, span time.Duration) {
	p.Set(drawFault(rng))
	time.Sleep(span)
	if rng.IntN(2) == 0 {
		p.ResetOpen()
	}
	p.Set(faultproxy.Fault{})
}

func (w *world) harmStorePath(rng *rand.Rand) {
	h := w.anyHost(rng)
	defer w.disturb(h.name)()
	harm(rng, h.path, between(rng, 300*time.Millisecond, 9*time.Second))
}

// changeKeysBehindACut takes keys away while some hosts don't hear of it.
func (w *world) changeKeysBehindACut(rng *rand.Rand) {
	cut := rng.Perm(len(w.hosts))[:1+rng.IntN(len(w.hosts))]
	for _, n := range cut {
		h := w.hosts[n]
		defer w.disturb(h.name)()
		h.path.Set(faultproxy.Fault{HoldToServer: true, HoldToClient: true})
	}
	w.changeKeys(rng)
	time.Sleep(between(rng, revokeTime, 2*revokeTime))
	for _, n := range cut {
		w.hosts[n].path.ResetOpen()
		w.hosts[n].path.Set(faultproxy.Fault{})
	}
}

func (w *world) harmCallers(rng *rand.Rand) {
	h := w.anyHost(rng)
	defer w.disturb(h.name)()
	if rng.IntN(2) == 0 {
		h.front.ResetOpen()
		return
	}
	harm(rng, h.front, between(rng, 100*time.Millisecond, 3*time.Second))
}

func (w *world) storeRefuses(rng *rand.Rand) {
	defer w.disturb("")()
	w.store.SetStatus([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[rng.IntN(2)])
	time.Sleep(between(rng, 300*time.Millisecond, 8*time.Second))
	w.store.SetStatus(0)
}

// claimUpstream draws a place whose replica is well and marks it as taken.
func (w *world) claimUpstream(rng *rand.Rand) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[rng.IntN(len(w.upstreams))]
	if u.taken {
		return nil
	}
	u.taken = true
	return u
}

func (w *world) freeUpstream(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u.taken = false
}

// crash ends a replica at once. Its entry lapses later, and another replica
// takes over its address.
func (w *world) crash(rng *rand.Rand) {
	lapse := between(rng, 0, 3*time.Second)
	down := between(rng, 100*time.Millisecond, 2*time.Second)
	u := w.claimUpstream(rng)
	if u == nil {
		return
	}
	defer w.freeUpstream(u)
	defer w.disturb("")()
	u.proxy.ResetOpen()
	id := w.endReplica(u)
	time.Sleep(lapse)
	w.store.RemoveServer(id)
	time.Sleep(down)
	w.startReplica(u)
}

// drain lets a replica leave as planned and replaces it.
func (w *world) drain(rng *rand.Rand) {
	silent := rng.IntN(3) == 0 // its entry is removed, it says nothing
	extra := between(rng, time.Second, 4*time.Second)
	u := w.claimUpstream(rng)
	if u == nil {
		return
	}
	defer w.freeUpstream(u)
	if silent {
		w.store.RemoveServer(u.replica.ID)
	} else {
		w.announce(u, "draining")
	}
	w.mu.Lock()
	u.left[u.replica.ID] = time.Now()
	w.mu.Unlock()
	time.Sleep(drainTime + lateBy + extra)
	for end := time.Now().Add(10 * time.Second); w.atWork(u) && time.Now().Before(end); {
		time.Sleep(pollTime)
	}
	w.store.RemoveServer(w.endReplica(u))
	time.Sleep(drainTime)
	w.startReplica(u)
}

// leave lets a replica say in its answers that it leaves, while its entry says ready, and
// replaces it.
func (w *world) leave(rng *rand.Rand) {
	extra := between(rng, time.Second, 3*time.Second)
	u := w.claimUpstream(rng)
	if u == nil {
		return
	}
	defer w.freeUpstream(u)
	u.replica.Leave()
	time.Sleep(drainTime + extra)
	id := u.replica.ID
	w.store.RemoveServer(id) // for the hosts that have no answer of it
	w.mu.Lock()
	u.left[id] = time.Now()
	w.mu.Unlock()
	time.Sleep(drainTime + lateBy)
	for end := time.Now().Add(10 * time.Second); w.atWork(u) && time.Now().Before(end); {
		time.Sleep(pollTime)
	}
	w.endReplica(u)
	w.startReplica(u)
}

// rest lets a replica refuse all requests for a while and ask for a pause.
func (w *world) rest(rng *rand.Rand) {
	const many = 10_000 // more requests than come
	span := between(rng, 300*time.Millisecond, 5*time.Second)
	u := w.claimUpstream(rng)
	if u == nil {
		return
	}
	defer w.freeUpstream(u)
	u.replica.Fail(platformtest.Rests, many)
	time.Sleep(span)
	u.replica.Mend()
	time.Sleep(longestRest)
}

// evacuate takes a failure domain out of service for a while.
func (w *world) evacuate(rng *rand.Rand) {
	domain := domainName(rng.IntN(domains))
	span := between(rng, 2*time.Second, evacuateTime+4*time.Second)
	w.mu.Lock()
	if slices.ContainsFunc(w.evacuated, func(e evacuation) bool { return e.domain == domain && e.to.IsZero() }) {
		w.mu.Unlock()
		return
	}
	at := len(w.evacuated)
	w.store.Put(evacuationKey+domain, struct{}{})
	w.evacuated = append(w.evacuated, evacuation{domain: domain, from: time.Now()})
	w.mu.Unlock()
	time.Sleep(span)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated[at].to = time.Now()
	w.store.Delete(evacuationKey + domain)
}

// slow makes a replica several times slower for a while.
func (w *world) slow(rng *rand.Rand) {
	factor := 4 + 4*rng.Float64()
	span := between(rng, time.Second, 5*time.Second)
	u := w.claimUpstream(rng)
	if u == nil {
		return
	}
	defer w.freeUpstream(u)
	defer w.disturb("")() // streams take longer than the grace of a stop
	u.replica.Slow(factor)
	time.Sleep(span)
	u.replica.Slow(1)
}

// atWork reports whether a replica has requests that have not ended.
func (w *world) atWork(u *upstream) bool {
	return slices.ContainsFunc(u.replica.Runs(), func(r platformtest.Run) bool { return r.Ended.IsZero() })
}

func (w *world) harmUpstreamPath(rng *rand.Rand) {
	span := between(rng, 100*time.Millisecond, 4*time.Second)
	u := w.claimUpstream(rng)
	if u == nil {
		return
	}
	defer w.freeUpstream(u)
	defer w.disturb("")()
	if rng.IntN(4) == 0 {
		u.proxy.ResetOpen()
		return
	}
	harm(rng, u.proxy, span)
}
