package gang

import (
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/upstream"
)

// EventKind is the kind of an event of an attempt.
type EventKind int

// Events.
const (
	Started        EventKind = iota + 1
	Reserved                 // a member holds its reservation
	ReserveFailed            // Refused is the reason; empty if there was no answer
	Prefilled                // a member holds its part
	PrefillFailed            // Refused as above
	Generated                // the answer is complete
	GenerateFailed           // Code is the reason
	MemberLost               // a member was restarted or does not answer
	Released                 // a member holds nothing of the attempt
	ReleaseFailed            // there was no answer
	TimerFired               // the time of the newest SetTimer is reached
	Cancelled                // the caller closed the connection or the host cancels the attempt
)

// Event is one input of a Machine.
type Event struct {
	Kind    EventKind
	Member  upstream.Name
	Refused upstream.Refusal
	Code    code.Code
}

// ActionKind is the kind of an action that the host carries out.
type ActionKind int

// Actions.
const (
	Reserve  ActionKind = iota + 1 // call Engine.Reserve with Part.Reserve tokens
	Prefill                        // call Engine.Prefill with the part
	Generate                       // call Engine.Generate at the lead with the last part
	Release                        // call Engine.Release
	SetTimer                       // send TimerFired at At; replaces the previous timer
	Finish                         // the result is known: Code
	End                            // the Machine needs no more events
)

// Action is one output of a Machine.
type Action struct {
	Kind ActionKind
	Part Part
	At   time.Time
	Code code.Code
}
