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
	recordAge     = time.Hour // retention of a request after its last entry
	recordOrigins = 2048      // other incarnations whose evicted requests are tracked exactly
)

// records holds the recent history of the requests on this host.
type records struct {
	mu       sync.Mutex
	book     *record.Book
	self     ident.Request // without a sequence
	sequence uint64        // of the newest identifier issued
}

func newRecords(host ident.Host, incarnation ident.Incarnation, capacity int) *records {
	return &records{self: ident.Request{Host: host, Incarnation: incarnation}, book: record.New(record.Options{
		Host: host, Incarnation: incarnation, MaxRequests: capacity, MaxAge: recordAge, MaxOrigins: recordOrigins,
	})}
}

// issue returns a new request identifier and records a request of the team
// under it. Requests of unknown callers are not recorded, so that they can't
// evict others.
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

// finish records the end of a request of a known team.
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

// size returns the number of recorded requests and the time of the oldest.
func (r *records) size() (requests int, oldest time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Len(), r.book.Oldest()
}

// addRecord adds an entry about the current attempt of the completion.
func (r *completionRun) addRecord(kind record.Kind, c code.Code, detail string) {
	r.host.records.add(record.Entry{
		Request: r.completion.Request, Kind: kind, Attempt: uint64(r.machine.Attempts()),
		Team: r.completion.Team, Upstream: r.currentUpstream(), Code: c, Detail: detail,
	})
}

// recordQueued records that the completion waits and why. It may be called from
// any goroutine.
func (r *completionRun) recordQueued(reason string) {
	r.host.records.add(record.Entry{Request: r.completion.Request, Kind: record.Queued, Team: r.completion.Team, Detail: reason})
}

// recordFailure records and logs the failure of an attempt that did not return
// a complete answer.
func (r *completionRun) recordFailure(failure *upstream.Error) {
	kind := record.Broken
	if failure.NotRun() && !r.streaming {
		kind = record.Refused
	}
	r.addRecord(kind, code.OK, failure.Error())
	r.host.log.Emit(event.AttemptFailed).Str("request", r.completion.Request.String()).Int("attempt", r.machine.Attempts()).
		Str("upstream", r.currentUpstreamName()).Str("refused", string(failure.Refused)).Err(failure).Msg("")
}
