package attempt

import (
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Action is a step that the host package carries out for a machine. Actions are
// carried out in the order in which they are returned.
type Action interface {
	isAction()
}

// Choose requests an upstream with free capacity. The host package answers with
// Chosen or NoUpstream.
type Choose struct {
	Number       uint64          // of the next attempt
	Avoid        []upstream.Name // upstreams of earlier attempts
	ResumeOffset uint64          // tokens already delivered to the caller
	Deadline     time.Time
	MayHaveRun   bool // an earlier attempt may have run
}

// Send asks the host package to send the request immediately. The host package
// answers with Sent, Headers, FrameReceived and AttemptFailed.
type Send struct {
	Attempt      ident.Attempt
	Upstream     upstream.Name
	ResumeOffset uint64 // tokens already delivered to the caller
	ResumeText   string // text of those tokens
	Fresh        bool   // use a new connection
}

// Deliver sends text to the caller.
type Deliver struct {
	Offset uint64 // tokens delivered before this text
	Tokens uint32
	Text   string
}

// Cancel ends an attempt at its upstream and closes its stream. The machine does
// not wait for the result.
type Cancel struct {
	Attempt  ident.Attempt
	Upstream upstream.Name
}

// SetTimer requests a call of TimerFired at the given time. It replaces the
// previous timer.
type SetTimer struct {
	At time.Time
}

// Finish ends the request. It is the last action of a machine.
type Finish struct {
	Code         code.Code
	Detail       string
	FinishReason string // with OK, as the upstream gave it
	Tokens       uint64 // delivered to the caller
}

func (Choose) isAction()   {}
func (Send) isAction()     {}
func (Deliver) isAction()  {}
func (Cancel) isAction()   {}
func (SetTimer) isAction() {}
func (Finish) isAction()   {}
