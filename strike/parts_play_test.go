package strike

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The tests in this file play a fleet whose engines crash under parts of prompts, and
// check what engines and callers see. Hosts hear of each other's evidence late.

const (
	playStep     = 5 * time.Millisecond
	playPrefill  = 100 * time.Millisecond // at most
	playDown     = 3 * time.Second        // of an engine after a crash
	playStable   = 3 * time.Second        // after which all hosts must know
	playAttempts = 3
)

type partPlay struct {
	rng       *rand.Rand
	now       time.Duration
	hosts     []*PartRegistry
	engines   []playEngine
	running   []*playRequest
	messages  []playMessage
	maxLate   time.Duration // of a message
	rate      float64       // requests a second
	draw      func(p *partPlay) Request
	bad       map[uint64]bool
	healed    bool // nothing crashes engines any more
	disturb   func(p *partPlay)
	nextID    uint64
	crashes   map[uint64][]time.Duration // by bad part
	sentLate  map[uint64]int             // requests sent after all hosts must know
	sound     map[uint64]*playCount      // sound requests by part, late ones
	refusedAt []time.Duration            // of sound requests
}

type playCount struct{ sent, refused int }

type playEngine struct {
	downUntil time.Duration
	starts    uint32 // part of its key
}

type playRequest struct {
	Request
	host, engine, attempts int
	begins                 time.Duration
	begun                  bool
}

type playMessage struct {
	at   time.Duration
	host int
	e    Evidence
}

func newPartPlay(seed uint64, hosts, engines int, rate float64) *partPlay {
	p := &partPlay{
		rng: rand.New(rand.NewPCG(seed, 7)), engines: make([]playEngine, engines), maxLate: 300 * time.Millisecond, rate: rate, now: time.Minute,
		bad: map[uint64]bool{}, crashes: map[uint64][]time.Duration{}, sentLate: map[uint64]int{}, sound: map[uint64]*playCount{},
		disturb: func(*partPlay) {},
	}
	for range hosts {
		p.hosts = append(p.hosts, NewPartRegistry(DefaultPartOptions(p.rng)))
	}
	return p
}

// own returns an identifier that no other request has.
func (p *partPlay) own() uint64 {
	p.nextID++
	return 1<<32 + p.nextID
}

func (p *partPlay) run(d time.Duration) {
	for end := p.now + d; p.now < end; p.now += playStep {
		p.disturb(p)
		p.deliver()
		if p.rng.Float64() < p.rate*playStep.Seconds() {
			p.send(&playRequest{Request: p.draw(p), host: p.rng.IntN(len(p.hosts))})
		}
		p.progress()
	}
}

func (p *partPlay) deliver() {
	due := p.messages
	p.messages = nil
	for _, m := range due {
		if m.at > p.now {
			p.messages = append(p.messages, m)
			continue
		}
		p.hosts[m.host].Merge(p.now, m.e)
	}
}

func (p *partPlay) share(from int, e Evidence) {
	for host := range p.hosts {
		if host != from && !e.Empty() {
			p.messages = append(p.messages, playMessage{p.now + time.Duration(p.rng.Int64N(int64(p.maxLate))), host, e})
		}
	}
}

// badPart returns the part of a request that crashes engines, if there is one.
func (p *partPlay) badPart(r *playRequest) (uint64, bool) {
	if p.healed {
		return 0, false
	}
	for _, id := range r.Parts {
		if p.bad[id] {
			return id, true
		}
	}
	return 0, false
}

func (p *partPlay) send(r *playRequest) {
	part, bad := p.badPart(r)
	refused := p.hosts[r.host].Judge(p.now, r.Request) != nil
	if !bad {
		for _, id := range r.Parts[:len(r.Parts)-1] {
			if p.sound[id] == nil {
				p.sound[id] = &playCount{}
			}
			p.sound[id].sent++
			if refused {
				p.sound[id].refused++
			}
		}
	}
	if refused {
		if !bad {
			p.refusedAt = append(p.refusedAt, p.now)
		}
		return
	}
	var up []int
	for n := range p.engines {
		if p.engines[n].downUntil <= p.now {
			up = append(up, n)
		}
	}
	if len(up) == 0 || r.attempts >= playAttempts {
		return
	}
	if list := p.crashes[part]; bad && len(list) >= 5 && p.now > list[4]+playStable {
		p.sentLate[part]++
	}
	r.engine, r.attempts, r.begun = up[p.rng.IntN(len(up))], r.attempts+1, false
	r.begins = p.now + playPrefill/10 + time.Duration(p.rng.Int64N(int64(playPrefill)))
	p.running = append(p.running, r)
}

func (p *partPlay) progress() {
	const proof = 200 * time.Millisecond // that the engine stays up
	for _, r := range slices.Clone(p.running) {
		if !slices.Contains(p.running, r) {
			continue // lost in a crash of this step
		}
		switch {
		case !r.begun && p.now >= r.begins:
			if part, bad := p.badPart(r); bad {
				p.crashes[part] = append(p.crashes[part], p.now)
				p.crash(r.engine)
				continue
			}
			r.begun = true
		case r.begun && p.now >= r.begins+proof:
			p.share(r.host, p.hosts[r.host].Started(r.begins, r.Request))
			p.running = slices.DeleteFunc(p.running, func(other *playRequest) bool { return other == r })
		}
	}
}

// crash ends an engine. Hosts notice it, and send what it had not begun to another one.
func (p *partPlay) crash(engine int) {
	e := &p.engines[engine]
	e.starts++
	e.downUntil = p.now + playDown
	var lost []*playRequest
	p.running = slices.DeleteFunc(p.running, func(r *playRequest) bool {
		if r.engine == engine && !r.begun {
			lost = append(lost, r)
		}
		return r.engine == engine
	})
	for _, r := range lost {
		loss := Loss{Engine: uint32(engine)<<16 + e.starts, At: p.now, Request: r.Request}
		p.share(r.host, p.hosts[r.host].Lost(p.now, loss))
		p.send(r)
	}
}

// check checks that requests with a bad part no longer reach engines, and that sound
// ones are served next to them.
func (p *partPlay) check(t *testing.T, name string) {
	t.Helper()
	for part := range p.bad {
		assert.Assert(t, len(p.crashes[part]) >= 2, "%s: part %x crashed %d engines", name, part, len(p.crashes[part]))
		assert.Assert(t, p.sentLate[part] <= 3, "%s: part %x was sent %d times more after %d crashes", name, part, p.sentLate[part], len(p.crashes[part]))
	}
	p.checkSound(t, name)
}

func (p *partPlay) checkSound(t *testing.T, name string) {
	t.Helper()
	for id, c := range p.sound {
		assert.Assert(t, c.sent < 20 || c.refused*20 <= c.sent, "%s: %d of %d sound requests with part %x were refused", name, c.refused, c.sent, id)
	}
}

// mixed draws prompts that share a first part, and often a second one. One in twenty
// holds a bad part next to these.
func mixed(p *partPlay) Request {
	parts := []uint64{1 + p.rng.Uint64N(4)}
	if p.rng.IntN(3) > 0 {
		parts = append(parts, 100+p.rng.Uint64N(8))
	}
	if len(p.bad) > 0 && p.rng.IntN(20) == 0 {
		parts = append(parts, 1000+p.rng.Uint64N(uint64(len(p.bad))))
	}
	return Request{Content: p.own(), Parts: append(parts, p.own())}
}

// beside draws prompts with bad parts that come only next to a first part of few sound
// requests, and always next to one more sound part.
func beside(p *partPlay) Request {
	parts := []uint64{1 + p.rng.Uint64N(3)}
	switch p.rng.IntN(20) {
	case 0:
		if len(p.bad) > 0 {
			parts = []uint64{50, 60, 1000 + p.rng.Uint64N(uint64(len(p.bad)))}
		}
	case 1:
		parts = []uint64{50}
	case 2:
		parts = []uint64{50, 60}
	}
	return Request{Content: p.own(), Parts: append(parts, p.own())}
}

func (p *partPlay) setBad(count int) {
	for n := range count {
		p.bad[1000+uint64(n)] = true
	}
}

func TestPartsThatCrashEnginesAreRefusedAndOthersServed(t *testing.T) {
	type load struct {
		name           string
		hosts, engines int
		rate           float64
		bad            int
		seeds          uint64
		draw           func(p *partPlay) Request
		disturb        func(p *partPlay)
	}
	kills := func(p *partPlay) {
		if p.rng.IntN(400) == 0 { // every two seconds
			p.crash(p.rng.IntN(len(p.engines)))
		}
	}
	massKill := func(p *partPlay) {
		if p.now%(8*time.Second) == 0 {
			for n := range p.engines {
				if p.rng.IntN(3) == 0 {
					p.crash(n)
				}
			}
		}
	}
	restarts := func(p *partPlay) { // a host that has started gets the evidence of one other
		if p.now%(2*time.Second) == 0 {
			n := p.rng.IntN(len(p.hosts))
			p.hosts[n] = NewPartRegistry(DefaultPartOptions(p.rng))
			p.hosts[n].Merge(p.now, p.hosts[(n+1)%len(p.hosts)].All(64))
		}
	}
	calm := func(*partPlay) {}
	for _, l := range []load{
		{"one part, small fleet", 18, 21, 45, 1, 20, mixed, calm},
		{"one part, seldom", 18, 21, 8, 1, 20, mixed, calm},
		{"three parts", 18, 21, 45, 3, 20, mixed, calm},
		{"beside a sound part", 18, 21, 45, 1, 20, beside, calm},
		{"two beside the same sound parts", 18, 21, 45, 2, 20, beside, calm},
		{"one part, engines killed", 18, 21, 45, 1, 20, mixed, kills},
		{"two parts, many engines killed", 18, 40, 45, 2, 20, mixed, massKill},
		{"hosts restarted", 18, 21, 45, 1, 20, mixed, restarts},
		{"large fleet", 120, 120, 160, 2, 4, mixed, calm},
	} {
		t.Run(l.name, func(t *testing.T) {
			for seed := range l.seeds {
				p := newPartPlay(seed, l.hosts, l.engines, l.rate)
				p.draw, p.disturb = l.draw, l.disturb
				p.run(2 * time.Second)
				p.setBad(l.bad)
				p.run(30 * time.Second)
				p.check(t, fmt.Sprint("seed ", seed))
			}
		})
	}
}

// Engines that crash for another reason than their requests must not get any request
// refused, also where no engine is left for a while. Where nothing ran before, parts that
// were in such crashes by chance can't be told from bad ones at once, but must be served
// again soon.
func TestCrashesWithoutCauseInRequestsRefuseNothing(t *testing.T) {
	for name, disturb := range map[string]func(p *partPlay){
		"kills": func(p *partPlay) {
			if p.rng.IntN(200) == 0 {
				p.crash(p.rng.IntN(len(p.engines)))
			}
		},
		"all at once": func(p *partPlay) {
			if p.now%(10*time.Second) == 0 {
				for n := range p.engines {
					p.crash(n)
				}
			}
		},
		"one after the other, all down for a time": func(p *partPlay) {
			if p.now%(60*time.Millisecond) == 0 && p.now%(10*time.Second) < 2*time.Second {
				p.crash(int(p.now/(60*time.Millisecond)) % len(p.engines))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				p := newPartPlay(seed, 18, 21, 45)
				p.draw = mixed
				cold := seed%2 == 1
				if !cold {
					p.run(4 * time.Second)
				}
				p.disturb = disturb
				p.run(40 * time.Second)
				if cold {
					for id, c := range p.sound {
						assert.Assert(t, c.refused*2 < c.sent, "seed %d: %d of %d sound requests with part %x were refused", seed, c.refused, c.sent, id)
					}
					continue
				}
				assert.Equal(t, len(p.refusedAt), 0, "seed %d: sound requests were refused, first at %v", seed, p.refusedAt[:min(len(p.refusedAt), 3)])
			}
		})
	}
}

// Refusals must end when engines are mended, and a part that is still bad must cost few
// engines until then.
func TestQuarantineEndsAfterEnginesAreMended(t *testing.T) {
	for seed := range uint64(20) {
		p := newPartPlay(seed, 18, 21, 45)
		p.draw = mixed
		p.setBad(1)
		p.run(10 * time.Minute)
		assert.Assert(t, len(p.crashes[1000]) <= 20, "seed %d: %d engines in ten minutes", seed, len(p.crashes[1000]))
		p.healed = true
		p.now += 2 * DefaultPartOptions(p.rng).Memory
		p.run(5 * time.Second)
		for n, h := range p.hosts {
			assert.Equal(t, len(h.Quarantines(p.now)), 0, "seed %d, host %d", seed, n)
		}
	}
}
