package relay

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/hedge"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/buffer"
	"github.com/citronscale/citronscale/leaving"
	"github.com/citronscale/citronscale/metrics"
	"github.com/citronscale/citronscale/pace"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/retry"
	"github.com/citronscale/citronscale/route"
	"github.com/citronscale/citronscale/standing"
	"github.com/citronscale/citronscale/strike"
	"github.com/citronscale/citronscale/throttle"
)

// Peers announces changes of the streams of this host to the other hosts.
type Peers interface {
	// StreamPlaced is called right after a stream was placed, or a request was sent to an
	// upstream that names the rate that it takes.
	StreamPlaced()
	// StreamProgressed is called after the first event and after the end of a stream, and
	// when an upstream names another rate or says that it is leaving.
	StreamProgressed()
	// Hosts returns the number of recently active hosts, including this one.
	Hosts() int
	// Group returns the number of this host's group and the number of groups in its
	// failure domain, or 0 groups if all hosts hear of each stream at once.
	Group() (number, count int)
	// ShareEvidence tells all hosts about content that crashes upstreams.
	ShareEvidence(e strike.Evidence)
}

// Server serves the routes of a route.Holder.
type Server struct {
	options    Options
	dialect    Dialect
	memory     Memory
	identifier Identifier
	started    int64 // start in Unix milliseconds, part of the reservation identifiers
	routes     *route.Holder
	upstreams  *fleet.Set
	ledger     *place.Ledger
	quarantine *Quarantine
	limits     *throttle.Book
	paces      *pace.Book
	standing   *standing.Book
	peers      Peers
	log        *event.Logger
	metrics    *metrics.Metrics
	transport  *http.Transport
	hedger     *hedge.Hedger // nil if hedging is off

	mu        sync.Mutex // guards rng, budgets and leavingAt
	rng       *rand.Rand
	budgets   map[string]*serviceBudget // by service
	leavingAt time.Duration             // when a planned stop began, 0 before

	buffers   *buffer.Pool // of bodies and complete answers
	inFlight  atomic.Int64
	durations leaving.Durations
	placing   sync.Mutex // held while a stream is placed
	nextID    atomic.Uint32
	lines     *lineLimiter
	stale     atomic.Bool
	loads     loadCache
	checking  atomic.Bool     // a check of paces is scheduled
	admission *admissionQueue // nil if neither streams wait nor shares are checked
}

// Parts are the components that a Server uses.
type Parts struct {
	Dialect    Dialect
	Memory     Memory
	Identifier Identifier
	Routes     *route.Holder
	Upstreams  *fleet.Set
	Ledger     *place.Ledger
	Quarantine *Quarantine
	Limits     *throttle.Book
	Paces      *pace.Book // nil: a new one, of which peers don't hear
	Standing   *standing.Book
	Peers      Peers
	Log        *event.Logger
	Metrics    *metrics.Metrics
	Rng        *rand.Rand
}

// New returns a server. It is ready once Parts.Routes holds a table.
func New(options Options, parts Parts) *Server {
	if parts.Paces == nil {
		parts.Paces = pace.NewBook()
	}
	s := &Server{
		options: options, dialect: parts.Dialect, memory: parts.Memory, identifier: parts.Identifier, started: time.Now().UnixMilli(), routes: parts.Routes, upstreams: parts.Upstreams,
		ledger: parts.Ledger, quarantine: parts.Quarantine, limits: parts.Limits, paces: parts.Paces, standing: parts.Standing, peers: parts.Peers, log: parts.Log, metrics: parts.Metrics,
		buffers:   buffer.NewPool(options.BufferBytes),
		hedger:    hedge.New(options.Hedging),
		transport: newTransport(), lines: newLineLimiter(), rng: parts.Rng, budgets: map[string]*serviceBudget{},
	}
	if options.QueueStreams || options.TeamShares {
		s.admission = newAdmissionQueue(s)
		s.ledger.OnPeers(s.admission.peersHeard)
	}
	return s
}

// Leave begins a planned stop. The server admits new requests for
// Options.AdmitLeaving and closes each connection after its answer, so that
// callers connect to another host.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingAt == 0 {
		s.leavingAt = boottime.Now()
	}
}

// InFlight returns the number of requests whose answer is not complete.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Fresh reports whether the configuration was confirmed within
// Options.ConfirmWithin. It logs each change.
func (s *Server) Fresh() bool {
	fresh := s.routes.Table() != nil && s.routes.Age(boottime.Now()) <= s.options.ConfirmWithin
	if wasStale := s.stale.Swap(!fresh); wasStale == fresh {
		e := event.ConfigFresh
		if !fresh {
			e = event.ConfigStale
		}
		s.log.Emit(e).Dur("age", s.routes.Age(boottime.Now())).Msg("")
	}
	return fresh
}

// leavingFor returns the time since the begin of a planned stop, and whether one
// has begun.
func (s *Server) leavingFor(now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now - s.leavingAt, s.leavingAt > 0
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := newExchange(s, w, r)
	defer x.finish()
	defer x.bodyMemory.Release()
	defer func() { x.answerMemory.Release() }() // a second attempt that wins replaces it
	x.clearDeadlines()
	if _, isLeaving := s.leavingFor(x.arrived); isLeaving {
		w.Header().Set("Connection", "close")
	}
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	if x.route.Kind == route.Stream {
		x.serveStream()
		return
	}
	x.serveAnswer()
}

// withRand calls f with the random source under the lock.
func withRand[T any](s *Server, f func(rng *rand.Rand) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(s.rng)
}

// recordFirstAttempt records a first attempt in the retry budget of a service.
func (s *Server) recordFirstAttempt(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).RecordFirst(time.Now())
}

// decideRetry applies the retry policy to a failure. If the retry was taken from the
// budget already, it is not counted twice.
func (s *Server) decideRetry(service string, attempts int, failure retry.Failure, taken bool) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if taken {
		s.budget(service).Return()
	}
	return retryPolicy(attempts).Decide(time.Now(), failure, s.budget(service), s.rng)
}

// takeRetry takes a retry from the budget of a service, if it allows one.
func (s *Server) takeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).Take(time.Now())
}

// returnRetry gives back a retry that was taken and not made.
func (s *Server) returnRetry(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).Return()
}

// Hedging returns the budget and the delays of second sends, for dumps, or nil if hedging is
// off.
func (s *Server) Hedging(now time.Duration) *hedge.State {
	if s.hedger == nil {
		return nil
	}
	state := s.hedger.State(now)
	return &state
}

// serviceBudget is this host's share of the retry budget of a service.
type serviceBudget struct {
	*retry.Budget
	hosts int // that divide the budget
}

// budget returns the retry budget of a service, for the hosts that are known now: after a
// restart under load, a host knows no other one at its first request.
func (s *Server) budget(service string) *retry.Budget {
	hosts, now := s.peers.Hosts(), time.Now()
	options := retry.ShareOptions(s.options.RetryRatio*retryBudgetShare, s.options.RetrySlack*retryBudgetShare, s.options.RetryWindow, hosts)
	b, ok := s.budgets[service]
	switch {
	case !ok:
		b = &serviceBudget{retry.NewBudget(options, now), hosts}
		s.budgets[service] = b
	case b.hosts != hosts:
		b.SetOptions(options, now)
		b.hosts = hosts
	}
	return b.Budget
}
