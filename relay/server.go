package relay

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/metrics"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/retry"
	"github.com/citronscale/citronscale/route"
)

// Peers is told when the streams of this host change.
type Peers interface {
	// Placed is called right after a stream was placed.
	Placed()
	// Progressed is called when a stream began to write or ended.
	Progressed()
	// Hosts returns the number of hosts heard lately, this one included.
	Hosts() int
}

// Server serves the routes of a Holder.
type Server struct {
	options   Options
	dialect   Dialect
	memory    Memory
	started   int64 // tells reservations of this process from those before
	routes    *route.Holder
	upstreams *fleet.Set
	ledger    *place.Ledger
	peers     Peers
	log       *event.Logger
	metrics   *metrics.Metrics
	transport *http.Transport

	mu      sync.Mutex // guards rng, budgets and leavingAt
	rng     *rand.Rand
	budgets map[string]*retry.Budget // by service
	leaving time.Duration            // when a planned stop began, 0 before

	buffered atomic.Int64 // bytes of bodies and answers held
	inFlight atomic.Int64
	placing  sync.Mutex // one stream at a time
	nextID   atomic.Uint32
	lines    *lines
	stale    atomic.Bool
}

// Parts are what a Server works with.
type Parts struct {
	Dialect   Dialect
	Memory    Memory
	Routes    *route.Holder
	Upstreams *fleet.Set
	Ledger    *place.Ledger
	Peers     Peers
	Log       *event.Logger
	Metrics   *metrics.Metrics
	Rng       *rand.Rand
}

// New returns a server. It is ready once Parts.Routes holds a table.
func New(options Options, parts Parts) *Server {
	return &Server{
		options: options, dialect: parts.Dialect, memory: parts.Memory, started: time.Now().UnixMilli(), routes: parts.Routes, upstreams: parts.Upstreams,
		ledger: parts.Ledger, peers: parts.Peers, log: parts.Log, metrics: parts.Metrics,
		transport: newTransport(), lines: newLines(), rng: parts.Rng, budgets: map[string]*retry.Budget{},
	}
}

// Leave begins a planned stop: new requests are taken for a while yet, and
// callers are asked to open their next connection elsewhere.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving == 0 {
		s.leaving = boottime.Now()
	}
}

// InFlight returns the number of requests of callers that are not answered.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Fresh reports whether the configuration was confirmed lately.
func (s *Server) Fresh() bool {
	fresh := s.routes.Table() != nil && s.routes.Age(boottime.Now()) <= s.options.ConfirmWithin
	if was := s.stale.Swap(!fresh); was == fresh {
		e := event.ConfigFresh
		if !fresh {
			e = event.ConfigStale
		}
		s.log.Emit(e).Dur("age", s.routes.Age(boottime.Now())).Msg("")
	}
	return fresh
}

// leavingFor returns how long a planned stop has been under way.
func (s *Server) leavingFor(now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now - s.leaving, s.leaving > 0
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := newExchange(s, w, r)
	defer x.finish()
	if _, leaving := s.leavingFor(x.arrived); leaving {
		w.Header().Set("Connection", "close")
	}
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	defer s.buffered.Add(-int64(len(x.body)))
	if x.route.Kind == route.Stream {
		x.serveStream()
		return
	}
	x.serveAnswer()
}

// draw calls f with the random source.
func draw[T any](s *Server, f func(rng *rand.Rand) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(s.rng)
}

// countFirst lets a first attempt add to the retry budget of a service.
func (s *Server) countFirst(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).First(time.Now())
}

// decide applies the retry rule.
func (s *Server) decide(service string, attempts int, failure retry.Failure) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return retryPolicy(attempts).Decide(time.Now(), failure, s.budget(service), s.rng)
}

// mayRepeat reports whether the retry budget of a service has room for a repeat.
func (s *Server) mayRepeat(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).Level(time.Now()) >= 1
}

func (s *Server) budget(service string) *retry.Budget {
	b, ok := s.budgets[service]
	if !ok {
		slack := s.options.RetrySlack * retryShare / float64(max(s.peers.Hosts(), 1))
		b = retry.NewBudget(retry.BudgetOptions{
			Ratio: s.options.RetryRatio * retryShare, Burst: slack / 2,
			PerSecond: slack / 2 / s.options.RetryWindow.Seconds(),
		}, time.Now())
		s.budgets[service] = b
	}
	return b
}

// hold reserves buffer space for n bytes.
func (s *Server) hold(n int64) error {
	if s.buffered.Add(n) > s.options.BufferBytes {
		s.buffered.Add(-n)
		return code.New(code.BufferFull, "%d bytes are buffered, limit is %d", s.buffered.Load(), s.options.BufferBytes)
	}
	return nil
}
