package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/metrics"
	"github.com/citronscale/citronscale/strike"
)

const (
	// crashCheckTimeout bounds the check whether an upstream has crashed.
	crashCheckTimeout = 100 * time.Millisecond
	// upstreamProof is how long after its first event a stream proves that the upstream
	// stays up.
	upstreamProof = 200 * time.Millisecond
)

// Quarantine holds the evidence about content that crashes upstreams. It is safe for
// concurrent use.
type Quarantine struct {
	log     *event.Logger
	metrics *metrics.Metrics

	mu       sync.Mutex
	registry *strike.PartRegistry
}

// NewQuarantine returns a quarantine without evidence.
func NewQuarantine(log *event.Logger, m *metrics.Metrics, rng *rand.Rand) *Quarantine {
	return &Quarantine{log: log, metrics: m, registry: strike.NewPartRegistry(strike.DefaultPartOptions(rng))}
}

// MergeEvidence adds the evidence of a peer and returns what of it was new.
func (q *Quarantine) MergeEvidence(now time.Duration, e strike.Evidence) strike.Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	fresh := q.registry.Merge(now, e)
	q.refresh(now)
	return fresh
}

// Evidence returns the stored evidence, at most n losses.
func (q *Quarantine) Evidence(n int) strike.Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.All(n)
}

// Entries returns the combinations of parts that are refused, for dumps.
func (q *Quarantine) Entries(now time.Duration) []QuarantineEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refresh(now)
	list := []QuarantineEntry{}
	for _, e := range q.registry.Quarantines(now) {
		list = append(list, QuarantineEntry{
			Parts: partNames(e.Common), Crashes: e.Crashes, Requests: e.Contents, Since: now - e.First, Last: now - e.Last, Left: e.Until - now,
		})
	}
	return list
}

// QuarantineEntry is the form of a quarantine in dumps.
type QuarantineEntry struct {
	Parts    []string      `json:"parts"`
	Crashes  int           `json:"crashes"`
	Requests int           `json:"requests"` // different ones
	Since    time.Duration `json:"since_ns"` // first crash
	Last     time.Duration `json:"last_ns"`  // last crash
	Left     time.Duration `json:"left_ns"`
}

// judge returns the error with which a request is refused, or nil.
func (q *Quarantine) judge(now time.Duration, request strike.Request) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refresh(now)
	e := q.registry.Judge(now, request)
	if e == nil {
		return nil
	}
	return code.New(code.RequestQuarantined, "%d upstreams crashed under %d requests with parts %s, the last one %v ago",
		e.Crashes, e.Contents, strings.Join(partNames(e.Common), ","), (now - e.Last).Round(time.Millisecond))
}

func (q *Quarantine) lost(now time.Duration, loss strike.Loss) strike.Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.registry.Lost(now, loss)
	q.refresh(now)
	return e
}

func (q *Quarantine) started(now, at time.Duration, request strike.Request) strike.Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.registry.Started(at, request)
	q.refresh(now)
	return e
}

// refresh logs each change of what is refused.
func (q *Quarantine) refresh(now time.Duration) {
	added, lifted := q.registry.Refresh(now)
	for _, e := range added {
		q.log.Emit(event.ContentQuarantined).Strs("parts", partNames(e.Common)).Int("crashes", e.Crashes).Int("requests", e.Contents).
			Dur("since", now-e.First).Dur("last", now-e.Last).Dur("left", e.Until-now).Msg("")
	}
	for _, e := range lifted {
		q.log.Emit(event.QuarantineLifted).Strs("parts", partNames(e.Common)).Int("crashes", e.Crashes).Dur("last", now-e.Last).Msg("")
	}
	if len(added)+len(lifted) > 0 {
		q.metrics.RelayQuarantined(len(q.registry.Quarantines(now)))
	}
}

// requestContent returns what identifies the content of a request.
func (x *exchange) requestContent() strike.Request {
	hash := xxhash.New()
	for _, text := range []string{x.request.Method, x.request.Host, x.request.RequestURI, x.team, string(x.body)} {
		_, _ = hash.WriteString(text) // a hash never fails
		_, _ = hash.Write([]byte{0})
	}
	for _, name := range partNames(x.call.Parts) {
		_, _ = hash.WriteString(name)
		_, _ = hash.Write([]byte{0})
	}
	return strike.Request{Content: hash.Sum64(), Parts: x.call.Parts}
}

// checkQuarantine returns an error if the request must not be sent to an upstream.
func (x *exchange) checkQuarantine() error {
	return x.s.quarantine.judge(boottime.Now(), x.content)
}

// recordCrash records the crash of an upstream that had not begun the answer.
func (x *exchange) recordCrash(upstream fleet.Upstream, events int, err error) {
	x.lostBefore = x.lostBefore || code.Of(err) == code.UpstreamLost
	if events > 0 || code.Of(err) != code.UpstreamLost || !x.s.hasCrashed(upstream.Address) {
		return
	}
	x.s.metrics.RelayUpstreamCrashed()
	now := boottime.Now()
	if x.s.lines.allow(false, time.Now(), x.s.log) {
		x.s.log.Emit(event.ContentStruck).Str("request", x.call.ID).Str("upstream", upstream.ID).Strs("parts", partNames(x.call.Parts)).Msg("")
	}
	x.s.shareEvidence(x.s.quarantine.lost(now, strike.Loss{Engine: uint32(EngineKey(upstream.ID)), At: now, Request: x.content}))
}

// recordStart records that an upstream began the answer and stayed up.
func (x *exchange) recordStart(at time.Duration) {
	x.s.shareEvidence(x.s.quarantine.started(boottime.Now(), at, x.content))
}

func (s *Server) shareEvidence(e strike.Evidence) {
	if !e.Empty() {
		s.peers.ShareEvidence(e)
	}
}

// hasCrashed reports whether the process at an address is gone. An upstream that hung
// up, or that can't be reached, doesn't count: it says nothing about the request.
func (s *Server) hasCrashed(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err == nil {
		_ = conn.Close() // nothing was sent
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
