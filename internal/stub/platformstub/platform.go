package platformstub

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/source"
	"github.com/citronscale/citronscale/source/httpsource"
)

// Platform is the stand-in.
type Platform struct {
	Gate *stubhttp.Gate // makes the whole platform go silent

	mu          sync.Mutex
	published   map[uint64]source.Document
	current     source.Document
	stale       *source.Document // served in place of current, unless nil
	changed     chan struct{}    // closed at each change of what is served
	down        bool
	lists       []datedList // ascending by time
	lag         time.Duration
	pulls       *rate.Limiter
	stats       Stats
	pullHistory []Pull
}

// datedList is the host list from a point in time on.
type datedList struct {
	since time.Time
	list  httpsource.List
}

// Stats counts the calls of the platform.
type Stats struct {
	ConfigReads   uint64 `json:"config_reads"`
	HostListReads uint64 `json:"host_list_reads"`
	Revision      uint64 `json:"revision"`
	PullsServed   uint64 `json:"pulls_served"`
	PullsRefused  uint64 `json:"pulls_refused"`
}

// New returns a platform with nothing published and an empty host list.
func New() *Platform {
	return &Platform{
		Gate:      stubhttp.NewGate(),
		published: make(map[uint64]source.Document),
		changed:   make(chan struct{}),
		lists:     []datedList{{}},
		pulls:     rate.NewLimiter(rate.Inf, 1),
	}
}

// Publish makes data the document of the given revision. Revision zero stands
// for the next one. It returns the revision.
func (p *Platform) Publish(revision uint64, data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision == 0 {
		revision = p.current.Revision + 1
	}
	document := source.Document{Revision: revision, Data: data}
	p.published[revision] = document
	p.current = document
	p.notify()
	return revision
}

// Restore sets the service back to a document published before. It reports
// whether there is one with that revision.
func (p *Platform) Restore(revision uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	document, ok := p.published[revision]
	if ok {
		p.current = document
		p.notify()
	}
	return ok
}

// SetStale makes the service go on with what it serves now, whatever is
// published, or return to the published document.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = nil
	if stale {
		document := p.current
		p.stale = &document
	}
	p.notify()
}

// SetDown makes the platform cut each connection without an answer.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notify()
}

// SetLag sets the age at which a change of the host list becomes visible.
func (p *Platform) SetLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(list httpsource.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, datedList{since: time.Now(), list: list})
}

// SetInitialHosts makes list the host list as it was before the start, which
// no lag hides.
func (p *Platform) SetInitialHosts(list httpsource.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = []datedList{{list: list}}
}

// SetEntry adds an entry to the host list or replaces the one of its name.
func (p *Platform) SetEntry(entry httpsource.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.listWithout(entry.Name)
	list.Entries = append(list.Entries, entry)
	p.lists = append(p.lists, datedList{since: time.Now(), list: list})
}

// RemoveEntry removes the entry of the given name from the host list.
func (p *Platform) RemoveEntry(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, datedList{since: time.Now(), list: p.listWithout(name)})
}

func (p *Platform) listWithout(name string) httpsource.List {
	var list httpsource.List
	for _, entry := range p.lists[len(p.lists)-1].list.Entries {
		if entry.Name != name {
			list.Entries = append(list.Entries, entry)
		}
	}
	return list
}

// Stats returns the counts since the start.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Revision = p.current.Revision
	return stats
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) serving() source.Document {
	if p.stale != nil {
		return *p.stale
	}
	return p.current
}

// waitNewer returns the document that is served once its revision exceeds
// after, or after the wait, and whether the platform is up.
func (p *Platform) waitNewer(ctx context.Context, after uint64, wait time.Duration) (source.Document, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		document, down, changed := p.serving(), p.down, p.changed
		p.mu.Unlock()
		if down || document.Revision > after {
			return document, !down
		}
		select {
		case <-changed:
		case <-timer.C:
			return document, true
		case <-ctx.Done():
			return document, false
		}
	}
}

// visibleList returns the newest host list that is older than the lag.
func (p *Platform) visibleList(now time.Time) httpsource.List {
	visible := 0
	for i, dated := range p.lists {
		if !dated.since.After(now.Add(-p.lag)) {
			visible = i
		}
	}
	return p.lists[visible].list
}
