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
	MaxRequests int           // requests remembered at once
	MaxAge      time.Duration // since the last entry of a request
	MaxOrigins  int           // other incarnations for which forgetting is tracked exactly
}

// Result says what a Book knows about a request.
type Result string

// Results of a lookup.
const (
	Found     Result = "found"
	NotFound  Result = "not found" // this incarnation has never seen the request
	Forgotten Result = "forgotten" // the request may have been here; its entries are gone
)

// Answer is what one host knows about a request.
type Answer struct {
	Host        ident.Host        `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Result      Result            `json:"result"`
	Partial     bool              `json:"partial"` // entries of the request are gone
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

// history is what a Book keeps of one request.
type history struct {
	request ident.Request
	entries []Entry
	partial bool
	last    time.Time
	place   *list.Element
}

// Book remembers the latest requests of one host.
type Book struct {
	options   Options
	histories map[ident.Request]*history
	order     *list.List // of *history, least recently written first
	highest   uint64     // highest own sequence seen
	forgotten map[origin]uint64
	lostTrack bool // forgetting of other origins is no longer tracked
}

// New returns an empty book.
func New(options Options) *Book {
	return &Book{
		options:   options,
		histories: make(map[ident.Request]*history),
		order:     list.New(),
		forgotten: make(map[origin]uint64),
	}
}

// Len returns the number of requests remembered.
func (b *Book) Len() int {
	return len(b.histories)
}

// Oldest returns the time of the last entry of the request that is forgotten
// next. It is zero if the book is empty.
func (b *Book) Oldest() time.Time {
	if b.order.Len() == 0 {
		return time.Time{}
	}
	return b.order.Front().Value.(*history).last
}

// Add notes an entry. The host package adds an Admitted entry for every
// identifier that it gives out to a known team, in ascending order.
func (b *Book) Add(entry Entry) {
	b.Expire(entry.Time)
	if len(entry.Detail) > MaxDetailBytes {
		entry.Detail = entry.Detail[:MaxDetailBytes]
	}
	if b.own(entry.Request) {
		b.highest = max(b.highest, entry.Request.Sequence)
	}
	kept := b.open(entry)
	if len(kept.entries) >= MaxEntries {
		kept.partial = true
		kept.entries = append(kept.entries[:1], kept.entries[2:]...) // keeps how the request came
	}
	kept.entries = append(kept.entries, entry)
	kept.last = entry.Time
	b.order.MoveToBack(kept.place)
}

// open returns the history of a request and makes one if there is none.
func (b *Book) open(entry Entry) *history {
	if kept, ok := b.histories[entry.Request]; ok {
		return kept
	}
	for len(b.histories) >= b.options.MaxRequests {
		b.forgetOldest()
	}
	kept := &history{request: entry.Request, partial: b.mayHaveForgotten(entry.Request)}
	kept.place = b.order.PushBack(kept)
	b.histories[entry.Request] = kept
	return kept
}

// Expire forgets requests whose last entry is older than the age bound.
func (b *Book) Expire(now time.Time) {
	for b.order.Len() > 0 && now.Sub(b.Oldest()) > b.options.MaxAge {
		b.forgetOldest()
	}
}

func (b *Book) forgetOldest() {
	kept := b.order.Remove(b.order.Front()).(*history)
	delete(b.histories, kept.request)
	from := originOf(kept.request)
	if _, tracked := b.forgotten[from]; !tracked && !b.own(kept.request) && len(b.forgotten) >= b.options.MaxOrigins {
		b.lostTrack = true
		return
	}
	b.forgotten[from] = max(b.forgotten[from], kept.request.Sequence)
}

// Lookup says what the book knows about a request.
func (b *Book) Lookup(request ident.Request) Answer {
	answer := Answer{Host: b.options.Host, Incarnation: b.options.Incarnation, Result: NotFound}
	kept, ok := b.histories[request]
	switch {
	case ok:
		answer.Result = Found
		answer.Partial = kept.partial
		answer.Entries = append([]Entry(nil), kept.entries...)
	case b.mayHaveForgotten(request):
		answer.Result = Forgotten
	}
	return answer
}

// mayHaveForgotten reports whether entries of a request that has no history
// can have been here.
func (b *Book) mayHaveForgotten(request ident.Request) bool {
	highest, tracked := b.forgotten[originOf(request)]
	if tracked && request.Sequence <= highest {
		return true
	}
	return b.lostTrack && !b.own(request)
}

func (b *Book) own(request ident.Request) bool {
	return request.Host == b.options.Host && request.Incarnation == b.options.Incarnation
}

// Issued reports whether this incarnation gave the identifier out.
func (b *Book) Issued(request ident.Request) bool {
	return b.own(request) && request.Sequence >= 1 && request.Sequence <= b.highest
}
