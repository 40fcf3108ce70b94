package record

import (
	"container/list"
	"time"

	"github.com/citronscale/citronscale/ident"
)

// MaxEntries bounds the entries kept of one request.
const MaxEntries = 64

// Options are the bounds of a Book.
type Options struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	MaxRequests int           // requests stored at once
	MaxAge      time.Duration // since the last entry of a request
	MaxOrigins  int           // other incarnations whose evictions are tracked exactly
}

// Result is the kind of answer of a Book about a request.
type Result string

// Results of a lookup.
const (
	Found     Result = "found"
	NotFound  Result = "not found" // this incarnation has never seen the request
	Forgotten Result = "forgotten" // the book may have removed the entries of the request
)

// Answer contains the entries of one host about a request.
type Answer struct {
	Host        ident.Host        `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Result      Result            `json:"result"`
	Partial     bool              `json:"partial"` // some entries of the request were removed
	Entries     []Entry           `json:"entries,omitempty"`
}

// origin is an incarnation that admits requests.
type origin struct {
	host        ident.Host
	incarnation ident.Incarnation
}

func originOf(request ident.Request) origin {
	return origin{request.Host, request.Incarnation}
}

// history contains the entries of one request.
type history struct {
	request ident.Request
	entries []Entry
	partial bool
	last    time.Time
	element *list.Element
}

// Book stores the entries of the latest requests of one host.
type Book struct {
	options           Options
	histories         map[ident.Request]*history
	order             *list.List // of *history, least recently written first
	highestSequence   uint64     // highest sequence added of this incarnation
	evicted           map[origin]uint64
	originsOverflowed bool // evictions of other origins are no longer tracked exactly
}

// New returns an empty book.
func New(options Options) *Book {
	return &Book{
		options:   options,
		histories: make(map[ident.Request]*history),
		order:     list.New(),
		evicted:   make(map[origin]uint64),
	}
}

// Len returns the number of requests stored.
func (b *Book) Len() int {
	return len(b.histories)
}

// Oldest returns the time of the last entry of the request that is evicted next.
// It is zero if the book is empty.
func (b *Book) Oldest() time.Time {
	if b.order.Len() == 0 {
		return time.Time{}
	}
	return b.order.Front().Value.(*history).last
}

// Add stores an entry. The host package adds an Admitted entry for every
// identifier that it issues to a known team, in ascending order.
func (b *Book) Add(entry Entry) {
	b.Expire(entry.Time)
	if len(entry.Detail) > MaxDetailBytes {
		entry.Detail = entry.Detail[:MaxDetailBytes]
	}
	if b.own(entry.Request) {
		b.highestSequence = max(b.highestSequence, entry.Request.Sequence)
	}
	stored := b.historyFor(entry)
	if len(stored.entries) >= MaxEntries {
		stored.partial = true
		stored.entries = append(stored.entries[:1], stored.entries[2:]...) // keeps the first entry, which shows how the request arrived
	}
	stored.entries = append(stored.entries, entry)
	stored.last = entry.Time
	b.order.MoveToBack(stored.element)
}

// historyFor returns the history of a request and creates it if it does not exist.
func (b *Book) historyFor(entry Entry) *history {
	if existing, ok := b.histories[entry.Request]; ok {
		return existing
	}
	for len(b.histories) >= b.options.MaxRequests {
		b.evictOldest()
	}
	created := &history{request: entry.Request, partial: b.mayHaveEvicted(entry.Request)}
	created.element = b.order.PushBack(created)
	b.histories[entry.Request] = created
	return created
}

// Expire removes the requests whose last entry is older than MaxAge.
func (b *Book) Expire(now time.Time) {
	for b.order.Len() > 0 && now.Sub(b.Oldest()) > b.options.MaxAge {
		b.evictOldest()
	}
}

func (b *Book) evictOldest() {
	oldest := b.order.Remove(b.order.Front()).(*history)
	delete(b.histories, oldest.request)
	from := originOf(oldest.request)
	if _, tracked := b.evicted[from]; !tracked && !b.own(oldest.request) && len(b.evicted) >= b.options.MaxOrigins {
		b.originsOverflowed = true
		return
	}
	b.evicted[from] = max(b.evicted[from], oldest.request.Sequence)
}

// Lookup returns the entries of a request.
func (b *Book) Lookup(request ident.Request) Answer {
	answer := Answer{Host: b.options.Host, Incarnation: b.options.Incarnation, Result: NotFound}
	stored, ok := b.histories[request]
	switch {
	case ok:
		answer.Result = Found
		answer.Partial = stored.partial
		answer.Entries = append([]Entry(nil), stored.entries...)
	case b.mayHaveEvicted(request):
		answer.Result = Forgotten
	}
	return answer
}

// mayHaveEvicted reports whether the book may have removed entries of a request
// that has no history.
func (b *Book) mayHaveEvicted(request ident.Request) bool {
	highest, tracked := b.evicted[originOf(request)]
	if tracked && request.Sequence <= highest {
		return true
	}
	return b.originsOverflowed && !b.own(request)
}

func (b *Book) own(request ident.Request) bool {
	return request.Host == b.options.Host && request.Incarnation == b.options.Incarnation
}

// Issued reports whether this incarnation issued the identifier.
func (b *Book) Issued(request ident.Request) bool {
	return b.own(request) && request.Sequence >= 1 && request.Sequence <= b.highestSequence
}
