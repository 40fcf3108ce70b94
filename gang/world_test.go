package gang

import (
	"fmt"
	"slices"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/reclaim"
	"github.com/citronscale/citronscale/upstream"
)

const (
	worldEngines  = 4
	worldGangs    = 3
	worldCapacity = 10
	worldLifetime = 20 * time.Second // of an attempt
	reportPeriod  = 500 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

// world is a model of the machines of a few hosts, the memory of a few engines and
// the messages in transit.
type world struct {
	now     time.Time
	engines [worldEngines]map[string]worldHolding // by attempt
	gangs   []*worldGang
	calls   []worldCall
	answers []worldAnswer
	reclaim reclaim.Options
	isDead  map[ident.Host]bool
}

type worldHolding struct {
	attempt ident.Attempt
	tokens  uint32
}

type worldGang struct {
	machine *Machine
	attempt ident.Attempt
	timer   time.Time
	result  []code.Code
	ended   bool
	dead    bool // the host failed
}

// worldCall is a call in transit to an engine.
type worldCall struct {
	gang   *worldGang
	kind   ActionKind
	engine int
	tokens uint32
}

// worldAnswer is an event in transit to a machine.
type worldAnswer struct {
	gang  *worldGang
	event Event
}

func engineName(i int) upstream.Name {
	return upstream.Name(fmt.Sprintf("engine-%d", i))
}

func newWorld() *world {
	w := &world{now: epoch, reclaim: reclaim.DefaultOptions(), isDead: make(map[ident.Host]bool)}
	for i := range w.engines {
		w.engines[i] = make(map[string]worldHolding)
	}
	return w
}

// start begins an attempt on some engines in any prompt order. Each part needs
// more than half of an engine, so that no two attempts fit on one.
func (w *world) start(t *rapid.T) *worldGang {
	order := rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order")
	members := order[:rapid.IntRange(2, worldEngines).Draw(t, "members")]
	placement := &Placement{}
	for i, engine := range members {
		placement.Parts = append(placement.Parts, Part{Member: engineName(engine), Index: uint32(i), Tokens: 6, Reserve: 6})
	}
	number := len(w.gangs)
	host := ident.Host(fmt.Sprintf("host-%d", number))
	attempt := ident.Attempt{
		Request:  ident.Request{Host: host, Incarnation: 1, Sequence: 1},
		Number:   1,
		Deadline: w.now.Add(worldLifetime),
	}
	g := &worldGang{machine: New(DefaultOptions(), attempt, placement), attempt: attempt}
	w.gangs = append(w.gangs, g)
	w.handle(g, Event{Kind: Started})
	return g
}

// handle passes an event to a machine and carries out its actions.
func (w *world) handle(g *worldGang, event Event) {
	if g.dead {
		return
	}
	for _, action := range g.machine.Handle(w.now, event) {
		switch action.Kind {
		case SetTimer:
			g.timer = action.At
		case Finish:
			g.result = append(g.result, action.Code)
		case End:
			g.ended = true
		default:
			engine := slices.IndexFunc([]int{0, 1, 2, 3}, func(i int) bool { return engineName(i) == action.Part.Member })
			w.calls = append(w.calls, worldCall{g, action.Kind, engine, action.Part.Reserve})
		}
	}
}

// call carries out a call at its engine and sends the answer.
func (w *world) call(c worldCall) {
	w.answers = append(w.answers, worldAnswer{c.gang, w.serve(c)})
}

// serve models an engine, which keeps memory until a release arrives.
func (w *world) serve(c worldCall) Event {
	engine := w.engines[c.engine]
	key := c.gang.attempt.String()
	_, holds := engine[key]
	event := Event{Member: engineName(c.engine)}
	switch c.kind {
	case Reserve:
		event.Kind = Reserved
		if !holds && w.used(c.engine)+c.tokens > worldCapacity {
			event.Kind, event.Refused = ReserveFailed, upstream.RefusedMemory
		} else {
			engine[key] = worldHolding{c.gang.attempt, c.tokens}
		}
	case Prefill:
		event.Kind = Prefilled
		if !holds {
			event.Kind, event.Refused = PrefillFailed, upstream.RefusedMemory
		}
	case Generate:
		event.Kind = Generated
		if !holds {
			event.Kind, event.Code = GenerateFailed, code.UpstreamLost
		}
	case Release:
		event.Kind = Released
		delete(engine, key)
	}
	return event
}

func (w *world) used(engine int) uint32 {
	var sum uint32
	for _, h := range w.engines[engine] {
		sum += h.tokens
	}
	return sum
}

// lose drops a call; its caller gets a failure without an answer.
func (w *world) lose(c worldCall) {
	failed := map[ActionKind]EventKind{
		Reserve: ReserveFailed, Prefill: PrefillFailed, Generate: GenerateFailed, Release: ReleaseFailed,
	}
	event := Event{Kind: failed[c.kind], Member: engineName(c.engine), Code: code.UpstreamLost}
	w.answers = append(w.answers, worldAnswer{c.gang, event})
}

// deliver takes one message out of the pool and delivers it.
func (w *world) deliver(i int) {
	if i < len(w.calls) {
		c := w.calls[i]
		w.calls = slices.Delete(w.calls, i, i+1)
		w.call(c)
		return
	}
	i -= len(w.calls)
	a := w.answers[i]
	w.answers = slices.Delete(w.answers, i, i+1)
	w.handle(a.gang, a.event)
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, g := range w.gangs {
		if !g.dead && !g.ended && !g.timer.IsZero() && !w.now.Before(g.timer) {
			g.timer = time.Time{}
			w.handle(g, Event{Kind: TimerFired})
		}
	}
}

// sweep reclaims memory as the owner of an engine does after one report.
func (w *world) sweep(engine int) {
	var hosts []reclaim.Host
	for i, g := range w.gangs {
		hosts = append(hosts, reclaim.Host{Name: g.attempt.Request.Host, Incarnation: 1, Failed: w.isDead[g.attempt.Request.Host]})
		hosts = append(hosts, reclaim.Host{Name: ident.Host(fmt.Sprintf("bystander-%d", i))})
	}
	var attempts []ident.Attempt
	for _, h := range w.engines[engine] {
		attempts = append(attempts, h.attempt)
	}
	for _, c := range reclaim.Judge(w.now, w.reclaim, reclaim.NewView(hosts), attempts) {
		delete(w.engines[engine], c.Attempt.String())
	}
}

// settle runs the model without faults: messages arrive, timers fire, and owners
// read reports.
func (w *world) settle(t *rapid.T, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		for len(w.calls)+len(w.answers) > 0 {
			w.deliver(rapid.IntRange(0, len(w.calls)+len(w.answers)-1).Draw(t, "message"))
		}
		w.advance(reportPeriod)
		for i := range w.engines {
			w.sweep(i)
		}
	}
}

func (w *world) check(t *rapid.T) {
	for i := range w.engines {
		assert.Assert(t, w.used(i) <= worldCapacity)
	}
	for _, g := range w.gangs {
		assert.Assert(t, len(g.result) <= 1, "finished twice: %v", g.result)
	}
}

func (w *world) held() int {
	held := 0
	for i := range w.engines {
		held += len(w.engines[i])
	}
	return held
}
