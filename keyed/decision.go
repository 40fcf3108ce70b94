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

// Kind is the kind of a decision about a copy of a call.
type Kind int

// Kinds of decisions.
const (
	// Run: this copy may be sent. The caller of Begin calls Sending immediately
	// before the send and reports the end with Finish.
	Run Kind = iota + 1
	// Attach: another copy runs. Wait until it has finished and call BeginAgain.
	Attach
	// Replay: the call ran before; answer with the recorded outcome.
	Replay
	// Refuse: answer with the code of Err.
	Refuse
)

// Decision is the result of Begin.
type Decision struct {
	Kind    Kind
	Ticket  Ticket  // with Run
	Outcome Outcome // with Replay
	Err     error   // with Refuse; carries a result code
}

// Ticket is the right of one copy to be sent once.
type Ticket struct {
	sequence uint64 // of the key
	run      uint64 // unique within this incarnation
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

// size returns the approximate memory of the outcome in bytes.
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

// Begin decides about a copy of a call when it arrives. It never returns Run for
// a key while an earlier copy has a ticket or may have run. If the network
// delivers a copy twice, the second delivery is refused with KeyOutcomeUnknown.
func (i *Issuer) Begin(now time.Time, call Call) Decision {
	if !i.replays.admit(i.advance(now), call.Request, i.maxLifetime) {
		return refuse(code.New(code.KeyOutcomeUnknown, "%s was already decided", call.Request))
	}
	return i.BeginAgain(now, call)
}

// BeginAgain decides about a copy that waited for another one, which has finished.
func (i *Issuer) BeginAgain(now time.Time, call Call) Decision {
	i.removeExpired(i.advance(now))
	key, err := i.Verify(now, call.Team, call.Key)
	if err != nil {
		return refuse(err)
	}
	if !now.Before(call.Deadline) {
		return i.refuseOverdue(key, call)
	}
	used, ok := i.table[key.Sequence]
	if !ok {
		return i.beginNew(key, call)
	}
	if used.digest != call.Digest {
		return refuse(code.New(code.KeyRequestMismatch, "key was used with another request by %s", used.ticketCopy))
	}
	return i.beginUsed(used)
}

// refuseOverdue refuses a copy whose deadline has passed. The code may state that
// the call was not run only if no earlier copy can have run.
func (i *Issuer) refuseOverdue(key Key, call Call) Decision {
	if _, ok := i.table[key.Sequence]; ok {
		return refuse(code.New(code.DeadlineExceeded, "the deadline of %s passed; an earlier copy may have run", call.Request))
	}
	return refuse(code.New(code.DeadlineBeforeStart, "the deadline of %s passed before its call was sent", call.Request))
}

func (i *Issuer) beginNew(key Key, call Call) Decision {
	if len(i.table) >= i.options.MaxKeys {
		return refuse(code.New(code.KeyTableFull, "the table is full with %d used keys", len(i.table)))
	}
	if i.teamKeys[key.tag] >= i.options.MaxTeamKeys {
		return refuse(code.New(code.KeyTableFull, "the table is full with %d used keys of team %q", i.teamKeys[key.tag], call.Team))
	}
	used, err := i.addKey(key, call)
	if err != nil {
		return refuse(err)
	}
	return Decision{Kind: Run, Ticket: Ticket{sequence: key.Sequence, run: used.run, deadline: call.Deadline}}
}

func (i *Issuer) beginUsed(used *entry) Decision {
	switch used.machine.State() {
	case chart.KeyedAdmitted, chart.KeyedSent:
		if used.waitingCopies >= MaxAttached {
			return refuse(code.New(code.KeyRunning, "the call runs as %s and %d copies wait for it", used.ticketCopy, used.waitingCopies))
		}
		used.waitingCopies++
		return Decision{Kind: Attach}
	case chart.KeyedRecorded:
		return Decision{Kind: Replay, Outcome: used.outcome}
	case chart.KeyedGone:
		return refuse(code.New(code.KeyOutcomeGone, "the call ran as %s; its answer is no longer kept", used.ticketCopy))
	default:
		return refuse(code.New(code.KeyOutcomeUnknown, "the call was sent as %s and its outcome is unknown", used.ticketCopy))
	}
}

// Sending must be called immediately before the first byte is sent. It returns an
// error if the deadline has passed, the ticket is no longer valid or the copy was
// already sent; the copy must then not be sent. After nil the call may have run.
func (i *Issuer) Sending(now time.Time, ticket Ticket) error {
	used, ok := i.ticketEntry(ticket)
	if !ok || used.machine.State() != chart.KeyedAdmitted {
		return code.New(code.KeyOutcomeUnknown, "the ticket is not valid for a send")
	}
	if !now.Before(ticket.deadline) {
		return code.New(code.DeadlineBeforeStart, "the deadline passed %s before the send", now.Sub(ticket.deadline))
	}
	_, err := used.machine.Fire(chart.KeyedSend)
	return err
}

// Finish reports the end of a copy that has a ticket. An outcome whose code
// states that the call was not run releases the key, so that a later copy may
// run. A host calls it for every ticket, including copies that were never sent.
func (i *Issuer) Finish(now time.Time, ticket Ticket, outcome Outcome) error {
	i.removeExpired(i.advance(now))
	used, ok := i.ticketEntry(ticket)
	if !ok {
		return nil // the key has expired and can't be used again
	}
	used.waitingCopies = 0
	switch {
	case outcome.Code != code.OK && outcome.Code.Outcome() == code.NotRun:
		return i.releaseKey(used)
	case used.machine.State() == chart.KeyedAdmitted:
		return code.New(code.InternalFault, "%s ended with %s and was never sent", used.ticketCopy, outcome.Code.Name())
	case outcome.Code != code.OK && outcome.Code.Outcome() == code.MayHaveRun:
		_, err := used.machine.Fire(chart.KeyedLose)
		return err
	default:
		return i.record(used, outcome)
	}
}

func (i *Issuer) ticketEntry(ticket Ticket) (*entry, bool) {
	used, ok := i.table[ticket.sequence]
	if !ok || used.run != ticket.run {
		return nil, false
	}
	return used, true
}

func refuse(err error) Decision {
	return Decision{Kind: Refuse, Err: err}
}
