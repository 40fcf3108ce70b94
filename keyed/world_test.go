package keyed

import (
	"fmt"
	"strconv"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/testseed"
)

const (
	testHosts    = 3
	testLifetime = 30 * time.Second
	testDeadline = 5 * time.Second
	testFewKeys  = 3
	testMaxKeys  = 1000
	testMaxBytes = 3 * 300
)

// faults selects the faults that a history may contain.
type faults struct {
	kill, freeze, cut, lose, duplicate, clocks, hostile bool

	service bool // the service refuses calls and loses answers
	slow    bool // copies wait past their deadlines
	full    bool // the table has capacity for few keys only
}

// simulation simulates three hosts with their issuers, the undelivered messages
// between them and one plain service, whose record is the oracle.
type simulation struct {
	t      assert.TestingT
	choose testseed.Chooser
	faults faults

	now          time.Time
	hosts        []*testHost
	cut          [testHosts][testHosts]bool
	inTransit    []transitCall
	serviceCalls []*task // calls in transit to the service
	keys         []issuedKey
	copies       []*callCopy
	runs         map[string][]ident.Request // what the service ran, by key
	bodies       map[string]string          // what the service answered, by key
	answers      map[code.Code]int
	injected     int // faults injected so far
	sequence     uint64
	secrets      byte
}

type testHost struct {
	index       int
	incarnation ident.Incarnation
	issuer      *Issuer
	frozen      bool
	offset      time.Duration // of the clock
	tasks       []*task
	waiting     []*callCopy
}

type issuedKey struct {
	text, team string
}

type callCopy struct {
	call    Call
	genuine bool // the key is genuine and used by its own team
	answers []code.Code
}

// transitCall is a copy in transit to a host.
type transitCall struct {
	copy        *callCopy
	from, to    int // from is negative for callers
	incarnation ident.Incarnation
}

// task is a copy that has a ticket.
type task struct {
	copy    *callCopy
	ticket  Ticket
	sent    bool
	outcome *Outcome
}

func newSimulation(t assert.TestingT, choose testseed.Chooser, f faults) *simulation {
	w := &simulation{
		t: t, choose: choose, faults: f, now: time.UnixMilli(1_000_000),
		runs: map[string][]ident.Request{}, bodies: map[string]string{}, answers: map[code.Code]int{},
	}
	for index := range testHosts {
		w.hosts = append(w.hosts, &testHost{index: index})
		w.restart(w.hosts[index])
	}
	return w
}

func hostName(index int) ident.Host {
	return ident.Host("host-" + strconv.Itoa(index))
}

// restart replaces the process of a host. No state of the old process remains.
func (w *simulation) restart(h *testHost) {
	w.secrets++
	*h = testHost{index: h.index, incarnation: h.incarnation + 1, offset: h.offset}
	maxKeys := testMaxKeys
	if w.faults.full {
		maxKeys = testFewKeys
	}
	h.issuer = New(Options{
		Host: hostName(h.index), Incarnation: h.incarnation, Secret: Secret{w.secrets}, Lifetime: testLifetime,
		MaxKeys: maxKeys, MaxTeamKeys: maxKeys - 1, MaxOutcomeBytes: testMaxBytes, MaxAnswerBytes: testMaxBytes,
	})
}

func (w *simulation) clock(h *testHost) time.Time {
	return w.now.Add(h.offset)
}

// step performs one random operation or fault.
func (w *simulation) step() {
	steps := []func(){w.issue, w.call, w.call, w.deliver, w.deliver, w.deliver, w.advanceTask, w.advanceTask, w.advanceTask, w.serve, w.serve, w.advanceClock}
	add := func(enabled bool, fault func()) {
		if enabled {
			steps = append(steps, func() { w.injected++; fault() })
		}
	}
	add(w.faults.kill, w.kill)
	add(w.faults.freeze, w.freeze)
	add(w.faults.cut, w.toggleCut)
	add(w.faults.lose, w.loseMessage)
	add(w.faults.duplicate, w.duplicateMessage)
	add(w.faults.clocks, w.stepClock)
	add(w.faults.hostile, w.hostileCall)
	steps[w.choose.Pick("step", len(steps))]()
	w.checkBounds()
}

func (w *simulation) host(label string) *testHost {
	return w.hosts[w.choose.Pick(label, len(w.hosts))]
}

func (w *simulation) issue() {
	h := w.host("issuer")
	if h.frozen {
		return
	}
	team := "team-" + strconv.Itoa(w.choose.Pick("team", 2))
	keys, err := h.issuer.Issue(w.clock(h), team, 1)
	assert.NilError(w.t, err)
	w.keys = append(w.keys, issuedKey{keys[0], team})
}

// call sends a copy with a recent key, new or used, through any host.
func (w *simulation) call() {
	if len(w.keys) == 0 {
		return
	}
	recent := w.keys[max(0, len(w.keys)-4):]
	key := recent[w.choose.Pick("key", len(recent))]
	w.send(key.text, key.team, true)
}

func (w *simulation) hostileCall() {
	if len(w.keys) == 0 {
		return
	}
	key := w.keys[w.choose.Pick("key", len(w.keys))]
	if w.choose.Pick("foreign", 2) == 0 {
		w.send(key.text, "team-9", false)
		return
	}
	text := []byte(key.text)
	text[w.choose.Pick("byte", len(text))] ^= byte(1 + w.choose.Pick("bits", 7))
	w.send(string(text), key.team, false)
}

func (w *simulation) send(key, team string, genuine bool) {
	w.sequence++
	entry := w.choose.Pick("entry", testHosts)
	otherBody := w.faults.hostile && w.choose.Pick("body", 8) == 0
	copied := &callCopy{genuine: genuine, call: Call{
		Request: ident.Request{Host: hostName(entry), Incarnation: 1, Sequence: w.sequence},
		Team:    team, Key: key,
		Digest:   DigestOf("booking", "POST", "/rooms", []byte(strconv.FormatBool(otherBody))),
		Deadline: w.now.Add(testDeadline),
	}}
	w.copies = append(w.copies, copied)
	w.inTransit = append(w.inTransit, transitCall{copy: copied, from: -1, to: entry})
}

func (w *simulation) deliver() {
	if len(w.inTransit) == 0 {
		return
	}
	at := w.choose.Pick("message", len(w.inTransit))
	message := w.inTransit[at]
	to := w.hosts[message.to]
	if to.frozen || (message.from >= 0 && w.cut[message.from][message.to]) {
		return // remains in transit
	}
	w.inTransit = append(w.inTransit[:at], w.inTransit[at+1:]...)
	switch {
	case message.from < 0:
		w.routeCopy(to, message.copy)
	case message.incarnation != to.incarnation:
		w.answer(message.copy, code.KeyIssuerLost)
	default:
		w.applyDecision(to, message.copy, to.issuer.Begin(w.clock(to), message.copy.call))
	}
}

// routeCopy simulates the entry host, which routes the copy by its key.
func (w *simulation) routeCopy(h *testHost, c *callCopy) {
	route, err := h.issuer.Route(c.call.Key)
	if err != nil {
		w.answer(c, code.Of(err))
		return
	}
	if route.Own {
		w.applyDecision(h, c, h.issuer.Begin(w.clock(h), c.call))
		return
	}
	for _, to := range w.hosts {
		if hostName(to.index) != route.Host {
			continue
		}
		if w.cut[h.index][to.index] {
			break
		}
		w.inTransit = append(w.inTransit, transitCall{copy: c, from: h.index, to: to.index, incarnation: route.Incarnation})
		return
	}
	w.answer(c, code.KeyIssuerLost)
}

func (w *simulation) applyDecision(h *testHost, c *callCopy, decision Decision) {
	switch decision.Kind {
	case Run:
		assert.Assert(w.t, c.genuine, "a forged or foreign key runs: %s", c.call.Key)
		h.tasks = append(h.tasks, &task{copy: c, ticket: decision.Ticket})
	case Attach:
		h.waiting = append(h.waiting, c)
	case Replay:
		assert.Equal(w.t, string(decision.Outcome.Body), w.bodies[c.call.Key])
		w.answer(c, decision.Outcome.Code)
	case Refuse:
		w.answer(c, code.Of(decision.Err))
	}
}

// advanceTask lets a host continue with one copy that has a ticket.
func (w *simulation) advanceTask() {
	h := w.host("worker")
	if h.frozen || len(h.tasks) == 0 {
		return
	}
	at := w.choose.Pick("task", len(h.tasks))
	current := h.tasks[at]
	switch {
	case !current.sent:
		w.sending(h, at)
	case current.outcome != nil:
		w.finish(h, at, *current.outcome)
	}
}

func (w *simulation) sending(h *testHost, at int) {
	current := h.tasks[at]
	if err := h.issuer.Sending(w.clock(h), current.ticket); err != nil {
		w.finish(h, at, Outcome{Code: code.Of(err)})
		return
	}
	assert.Assert(w.t, w.clock(h).Before(current.copy.call.Deadline), "sent after the deadline")
	current.sent = true
	w.serviceCalls = append(w.serviceCalls, current)
}

func (w *simulation) finish(h *testHost, at int, outcome Outcome) {
	current := h.tasks[at]
	h.tasks = append(h.tasks[:at], h.tasks[at+1:]...)
	assert.NilError(w.t, h.issuer.Finish(w.clock(h), current.ticket, outcome))
	w.answer(current.copy, outcome.Code)
	waiting := h.waiting
	h.waiting = nil
	for _, c := range waiting {
		w.applyDecision(h, c, h.issuer.BeginAgain(w.clock(h), c.call))
	}
}

// serve lets the service run, refuse or lose one call that was sent, even if its
// sender has ended.
func (w *simulation) serve() {
	if len(w.serviceCalls) == 0 {
		return
	}
	at := w.choose.Pick("service", len(w.serviceCalls))
	current := w.serviceCalls[at]
	w.serviceCalls = append(w.serviceCalls[:at], w.serviceCalls[at+1:]...)
	key := current.copy.call.Key
	end := 2
	if w.faults.service {
		end = w.choose.Pick("end", 10)
	}
	switch end {
	case 0:
		current.outcome = &Outcome{Code: code.UpstreamUnavailable}
		return
	case 1:
		current.outcome = &Outcome{Code: code.UpstreamLost}
		if w.choose.Pick("ran", 2) == 0 {
			return
		}
	default:
		w.bodies[key] = fmt.Sprintf("done for %s", current.copy.call.Request)
		current.outcome = &Outcome{Code: code.OK, Status: 200, Body: []byte(w.bodies[key])}
	}
	w.runs[key] = append(w.runs[key], current.copy.call.Request)
	assert.Assert(w.t, len(w.runs[key]) <= 1, "the service ran key %s as %v", key, w.runs[key])
}

func (w *simulation) advanceClock() {
	longest := 100
	if w.faults.slow {
		longest = 3000
	}
	w.now = w.now.Add(time.Duration(1+w.choose.Pick("tick", longest)) * time.Millisecond)
}

func (w *simulation) answer(c *callCopy, result code.Code) {
	c.answers = append(c.answers, result)
	w.answers[result]++
	if result == code.OK || result.Outcome() == code.Ran {
		assert.Equal(w.t, len(w.runs[c.call.Key]), 1, "%s reports that the call ran", result.Name())
	}
}

func (w *simulation) checkBounds() {
	for _, h := range w.hosts {
		assert.Assert(w.t, h.issuer.Used() <= h.issuer.options.MaxKeys)
		assert.Assert(w.t, h.issuer.AnswerBytes() <= testMaxBytes)
	}
}

// finishAndCheck ends all faults, completes all calls and checks the results that
// the callers received against the record of the service.
func (w *simulation) finishAndCheck() {
	for _, h := range w.hosts {
		h.frozen = false
	}
	w.cut = [testHosts][testHosts]bool{}
	for len(w.inTransit) > 0 {
		w.deliver()
	}
	for w.busy() {
		w.advanceTask()
		w.serve()
	}
	for _, c := range w.copies {
		w.checkAnswers(c)
	}
}

func (w *simulation) busy() bool {
	for _, h := range w.hosts {
		if len(h.tasks) > 0 {
			return true
		}
	}
	return len(w.serviceCalls) > 0
}

func (w *simulation) checkAnswers(c *callCopy) {
	for _, result := range c.answers {
		if result == code.OK || result.Outcome() != code.NotRun {
			continue
		}
		for _, run := range w.runs[c.call.Key] {
			assert.Assert(w.t, run != c.call.Request, "%s received %s but ran", c.call.Request, result.Name())
		}
	}
}
