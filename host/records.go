package host

import (
	"sync"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/record"
	"github.com/citronscale/citronscale/upstream"
)

const (
	recordAge     = time.Hour // a request is remembered this long after its last entry
	recordOrigins = 2048      // other incarnations for which forgetting is tracked exactly
)

// records is the memory of what ran on this host.
type records struct {
	mu       sync.Mutex
	book     *record.Book
	self     ident.Request // without a sequence
	sequence uint64        // of the newest identifier given out
}

func newRecords(host ident.Host, incarnation ident.Incarnation, capacity int) *records {
	return &records{self: ident.Request{Host: host, Incarnation: incarnation}, book: record.New(record.Options{
		Host: host, Incarnation: incarnation, MaxRequests: capacity, MaxAge: recordAge, MaxOrigins: recordOrigins,
	})}
}

// issue gives out an identifier and notes that a request of the team has it.
// Requests of unknown callers leave no entry, so that they can't push others
// out.
func (r *records) issue(team string) ident.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	request := r.self
	request.Sequence = r.sequence
	if team != "" {
		r.book.Add(record.Entry{Request: request, Time: time.Now(), Kind: record.Admitted, Team: team})
	}
	return request
}

// finish notes the end of a request that has an entry.
func (r *records) finish(o *gateway.Outcome) {
	if o.Team == "" {
		return
	}
	r.add(record.Entry{
		Request: o.Request, Kind: record.Finished, Attempt: uint64(o.Attempts), Team: o.Team,
		Upstream: upstream.Name(o.Upstream), Code: o.Code, Detail: o.Detail,
	})
}

func (r *records) add(entry record.Entry) {
	entry.Time = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.Add(entry)
}

func (r *records) lookup(request ident.Request) record.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Lookup(request)
}

// size returns the number of requests remembered and the time of the oldest.
func (r *records) size() (requests int, oldest time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Len(), r.book.Oldest()
}

// note adds an entry about the current attempt of the completion.
func (r *completionRun) note(kind record.Kind, c code.Code, detail string) {
	r.host.records.add(record.Entry{
		Request: r.c.Request, Kind: kind, Attempt: uint64(r.machine.Attempts()),
		Team: r.c.Team, Upstream: r.lastName(), Code: c, Detail: detail,
	})
}

// noteQueued adds that the completion waits. Other goroutines than that of the
// request may call it.
func (r *completionRun) noteQueued(reason string) {
	r.host.records.add(record.Entry{Request: r.c.Request, Kind: record.Queued, Team: r.c.Team, Detail: reason})
}

// noteBroken records and logs how an attempt ended that gave no whole answer.
func (r *completionRun) noteBroken(failure *upstream.Error) {
	kind := record.Broken
	if failure.NotRun() && !r.started {
		kind = record.Refused
	}
	r.note(kind, code.OK, failure.Error())
	r.host.log.Emit(event.AttemptFailed).Str("request", r.c.Request.String()).Int("attempt", r.machine.Attempts()).
		Str("upstream", r.lastUpstream()).Str("refused", string(failure.Refused)).Err(failure).Msg("")
}
