package keyed

import (
	"net/http"
	"time"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
)

// Call is one copy of a non-idempotent call at the issuer of its key.
type Call struct {
	Request  ident.Request // identifier of this copy
	Team     string
	Key      string
	Digest   Digest    // of service, method, path and body
	Deadline time.Time // of this copy
}

// Kind says what happens with a copy of a call.
type Kind int

// Kinds of decisions.
const (
	// Run: this copy holds the right to be sent. The caller of Begin asks
	// Sending right before the send and reports the end with Finish.
	Run Kind = iota + 1
	// Attach: another copy runs. Wait until it finished and call BeginAgain.
	Attach
	// Replay: the call ran before; answer with the recorded outcome.
	Replay
	// Refuse: answer with the code of Err.
	Refuse
)

// Decision is the answer of Begin.
type Decision struct {
	Kind    Kind
	Ticket  Ticket  // with Run
	Outcome Outcome // with Replay
	Err     error   // with Refuse; carries a result code
}

// Ticket is the right of one copy to be sent once.
type Ticket struct {
	sequence uint64 // of the key
	run      uint64 // of this incarnation; never given out twice
	deadline time.Time
}

// Outcome is the end of a call.
type Outcome struct {
	Code   code.Code // OK if the service answered, with any status
	Detail string
	Status int // HTTP status of the answer
	Header http.Header
	Body   []byte
	RanAs  ident.Request // copy under which the call ran
}

// size returns the bytes that keeping the outcome costs.
func (o *Outcome) size() int {
	size := outcomeOverheadBytes + len(o.Detail) + len(o.Body)
	for name, values := range o.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

const outcomeOverheadBytes = 256

// Begin decides about a copy of a call when it arrives. It never says Run for
// a key while an earlier copy holds a ticket or may have run. A copy that the
// network delivers twice is decided once; the second time its outcome is
// unknown.
func (i *Issuer) Begin(now time.Time, call Call) Decision {
	if !i.replays.admit(i.advance(now), call.Request, i.longest) {
		return refuse(code.New(code.KeyOutcomeUnknown, "%s was decided before", call.Request))
	}
	return i.BeginAgain(now, call)
}

// BeginAgain decides about a copy that was attached to one that finished.
func (i *Issuer) BeginAgain(now time.Time, call Call) Decision {
	i.forgetExpired(i.advance(now))
	key, err := i.Verify(now, call.Team, call.Key)
	if err != nil {
		return refuse(err)
	}
	if !now.Before(call.Deadline) {
		return i.refuseLate(key, call)
	}
	used, ok := i.table[key.Sequence]
	if !ok {
		return i.beginNew(key, call)
	}
	if used.digest != call.Digest {
		return refuse(code.New(code.KeyRequestMismatch, "key was used with another request by %s", used.runner))
	}
	return i.beginUsed(used)
}

// refuseLate answers a copy that arrived after its deadline. It may say that
// the call was not run only if no earlier copy can have run.
func (i *Issuer) refuseLate(key Key, call Call) Decision {
	if _, ok := i.table[key.Sequence]; ok {
		return refuse(code.New(code.DeadlineExceeded, "the deadline of %s passed; an earlier copy may have run", call.Request))
	}
	return refuse(code.New(code.DeadlineBeforeStart, "the deadline of %s passed before its call was sent", call.Request))
}

func (i *Issuer) beginNew(key Key, call Call) Decision {
	if len(i.table) >= i.options.MaxKeys {
		return refuse(code.New(code.KeyTableFull, "%d used keys are remembered", len(i.table)))
	}
	if i.teamKeys[key.tag] >= i.options.MaxTeamKeys {
		return refuse(code.New(code.KeyTableFull, "%d used keys of team %q are remembered", i.teamKeys[key.tag], call.Team))
	}
	used, err := i.remember(key, call)
	if err != nil {
		return refuse(err)
	}
	return Decision{Kind: Run, Ticket: Ticket{sequence: key.Sequence, run: used.run, deadline: call.Deadline}}
}

func (i *Issuer) beginUsed(used *entry) Decision {
	switch used.machine.State() {
	case chart.KeyedAdmitted, chart.KeyedSent:
		if used.attached >= MaxAttached {
			return refuse(code.New(code.KeyRunning, "the call runs as %s and %d copies wait for it", used.runner, used.attached))
		}
		used.attached++
		return Decision{Kind: Attach}
	case chart.KeyedRecorded:
		return Decision{Kind: Replay, Outcome: used.outcome}
	case chart.KeyedGone:
		return refuse(code.New(code.KeyOutcomeGone, "the call ran as %s; its answer is no longer kept", used.runner))
	default:
		return refuse(code.New(code.KeyOutcomeUnknown, "the call was sent as %s and its outcome is unknown", used.runner))
	}
}

// Sending asks for leave to send right before the first byte leaves. A copy
// whose deadline passed, that lost its ticket or that was sent before gets an
// error and must not be sent. After nil the call counts as possibly run.
func (i *Issuer) Sending(now time.Time, ticket Ticket) error {
	used, ok := i.holder(ticket)
	if !ok || used.machine.State() != chart.KeyedAdmitted {
		return code.New(code.KeyOutcomeUnknown, "the right to send was lost")
	}
	if !now.Before(ticket.deadline) {
		return code.New(code.DeadlineBeforeStart, "the deadline passed %s before the send", now.Sub(ticket.deadline))
	}
	_, err := used.machine.Fire(chart.KeyedSend)
	return err
}

// Finish reports the end of a copy that got a ticket. An outcome whose code
// says not run frees the key: a later copy may run. A host calls it for every
// ticket, also for copies that were never sent.
func (i *Issuer) Finish(now time.Time, ticket Ticket, outcome Outcome) error {
	i.forgetExpired(i.advance(now))
	used, ok := i.holder(ticket)
	if !ok {
		return nil // the key expired meanwhile and can't be used again
	}
	used.attached = 0
	switch {
	case outcome.Code != code.OK && outcome.Code.Outcome() == code.NotRun:
		return i.free(used)
	case used.machine.State() == chart.KeyedAdmitted:
		return code.New(code.InternalFault, "%s ended with %s and was never sent", used.runner, outcome.Code.Name())
	case outcome.Code != code.OK && outcome.Code.Outcome() == code.MayHaveRun:
		_, err := used.machine.Fire(chart.KeyedLose)
		return err
	default:
		return i.record(used, outcome)
	}
}

func (i *Issuer) holder(ticket Ticket) (*entry, bool) {
	used, ok := i.table[ticket.sequence]
	if !ok || used.run != ticket.run {
		return nil, false
	}
	return used, true
}

func refuse(err error) Decision {
	return Decision{Kind: Refuse, Err: err}
}
