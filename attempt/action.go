package attempt

import (
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Action is something the host package does for a machine. Actions are carried
// out in the order in which they are returned.
type Action interface {
	isAction()
}

// Choose asks for an upstream with room. The host answers with Chosen or
// NoUpstream.
type Choose struct {
	Number       uint64          // of the attempt that will be made
	Avoid        []upstream.Name // failed this request before
	ResumeOffset uint64          // tokens that the caller has already
	Deadline     time.Time
}

// Send asks to send the request at once. The host answers with Sent, Headers,
// FrameReceived and Broken.
type Send struct {
	Attempt      ident.Attempt
	Upstream     upstream.Name
	ResumeOffset uint64 // tokens that the caller has already
	ResumeText   string // text of those tokens
	Fresh        bool   // over a new connection
}

// Deliver passes text on to the caller.
type Deliver struct {
	Offset uint64 // tokens delivered before
	Tokens uint32
	Text   string
}

// Cancel ends an attempt at its upstream and closes its stream. The outcome of
// the cancel is not awaited.
type Cancel struct {
	Attempt  ident.Attempt
	Upstream upstream.Name
}

// SetTimer asks for TimerFired at a time. It replaces an earlier timer.
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
