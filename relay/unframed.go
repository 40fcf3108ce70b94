package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/route"
)

// errProcessGone is returned for an answer without a framed end whose process has gone.
var errProcessGone = errors.New("connection ended without a framed end of the answer, and its process doesn't answer any more")

// errEndUnconfirmed is returned for a stream without a framed end from an upstream that says
// nothing of itself. Another attempt after the last event tells whether there is more.
var errEndUnconfirmed = errors.New("connection ended without a framed end of the stream, and the upstream doesn't identify itself")

const (
	// identifyTimeout is several round trips to another failure domain. A process that is
	// suspended or dead doesn't answer at all.
	identifyTimeout = 500 * time.Millisecond
	// confirmStreamAfter is the time after which a process that has ended no longer answers.
	// Only the end of a stream waits for it, its events don't.
	confirmStreamAfter = 150 * time.Millisecond
)

// framing tells how the end of an answer is marked, for logs and metrics.
type framing string

const (
	framedByLength     framing = "length"
	framedByChunks     framing = "chunks"
	framedByConnection framing = "connection" // it ends with its connection
)

func (a *attempt) framing() framing {
	switch {
	case a.unframed():
		return framedByConnection
	case a.response.ContentLength < 0:
		return framedByChunks
	default:
		return framedByLength
	}
}

// unframed reports whether the answer ends with its connection.
func (a *attempt) unframed() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0 && a.response.Body != http.NoBody
}

// unframedEnd checks an answer that has ended with its connection. A process that ends
// closes its connections just as one that has sent everything does, so the answer is whole
// only if the process that began it is still there. With a confirmation time it is asked
// once more after that time: a process that is ending may answer for a moment. An upstream
// that says nothing of itself is believed if an earlier attempt ended at the same event.
func (a *attempt) unframedEnd(confirm time.Duration, confirmsEnd bool) error {
	if !a.unframed() {
		return nil
	}
	a.timer.Stop() // the upstream has nothing more to send
	head, startErr := a.identityAtHead()
	startKnown := head.Started != 0 || a.upstream.Started != 0
	identity, err := a.identify(startKnown)
	if err == nil && confirm > 0 && ctxtime.Sleep(a.ctx, min(confirm, a.x.timeLeft()-minAttemptTime)) {
		identity, err = a.identify(startKnown)
	}
	first, other := a.starts(head, identity)
	switch {
	case err != nil:
		err = fmt.Errorf("%w: %w", errProcessGone, err)
	case first != other:
		err = fmt.Errorf("%w: another one started at %d instead of %d", errProcessGone, other, first)
	case !identity.Known && !confirmsEnd && a.x.route.Kind == route.Stream && a.x.route.Repeatable():
		a.x.endUnconfirmed = true
		err = errEndUnconfirmed
	}
	a.logUnframedEnd(identity, startErr, err)
	if err != nil {
		return a.connectionError(err)
	}
	return nil
}

// identification is the answer to the question at the head of a stream.
type identification struct {
	Identity
	err error
}

// watchIdentity asks the process of an unframed stream who it is while the stream goes on.
func (a *attempt) watchIdentity() {
	if a.x.route.Kind != route.Stream || !a.unframed() {
		return
	}
	asked := make(chan identification, 1)
	a.asked = asked
	go func() {
		identity, err := a.identify(true) // the start is all that is wanted
		asked <- identification{identity, err}
	}()
}

// identityAtHead returns what the process of an unframed stream said of itself when the head of
// the answer had come, and why it said nothing.
func (a *attempt) identityAtHead() (Identity, error) {
	if a.asked == nil {
		return Identity{}, nil
	}
	answered := <-a.asked
	return answered.Identity, answered.err
}

// starts returns two different starts of the process that were told between the send of the
// request and the end of the answer, or the same one twice if there is only one. Each comes from
// the entry at the send, from the process at the head and at the end of the answer, or from the
// entry now: behind a cut, even the head may come after the process has started again.
func (a *attempt) starts(head, end Identity) (first, other int64) {
	first = a.upstream.Started
	told := []int64{head.Started, end.Started}
	if now := a.s.upstreams.Upstream(a.upstream.ID); now != nil {
		told = append(told, now.Started)
	}
	for _, started := range told {
		switch {
		case started == 0 || started == first:
		case first == 0:
			first = started
		default:
			return first, started
		}
	}
	return first, first
}

func (a *attempt) identify(startKnown bool) (Identity, error) {
	ctx, cancel := context.WithTimeout(a.ctx, identifyTimeout)
	defer cancel()
	identity, err := a.s.identifier.Identify(ctx, a.upstream, a.healthPath, startKnown)
	if identity.Cold > 0 {
		a.s.upstreams.ReportCold(a.upstream.ID, boottime.Now()+identity.Cold)
	}
	return identity, err
}

// logUnframedEnd logs what was taken for the end of an answer.
func (a *attempt) logUnframedEnd(identity Identity, startErr, err error) {
	if !a.x.s.lines.allow(err == nil, time.Now(), a.x.s.log) {
		return
	}
	a.x.s.log.Emit(event.UnframedEnd).Str("request", a.x.call.ID).Str("upstream", a.upstream.ID).
		Int("events", a.x.events).Bool("identified", identity.Known).Int64("started", identity.Started).AnErr("start_unknown", startErr).Err(err).Msg("")
}
