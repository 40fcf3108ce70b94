package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/internal/faultproxy"
	"github.com/citronscale/citronscale/platform/platformtest"
)

// Ports of the addresses of a run. Each run has loopback addresses of its own,
// because peers use the same port on all hosts.
const (
	portClaim     = 27079 // held by the run that has the addresses
	portCallers   = 27080
	portReadiness = 27081
	portOperators = 27082
	portFront     = 27090 // proxy before the callers' listener
	portStore     = 27091 // proxy between a host and the store
	portUpstream  = 27100 // proxy before an upstream
	portPeers     = 27340
)

// Bounds that hosts are held to. The settings of the hosts name the same.
const (
	graceTime  = 4 * time.Second
	revokeTime = 5 * time.Second
	drainTime  = 2 * time.Second
	// evacuateTime is the bound until an evacuated domain gets nothing.
	evacuateTime = 5 * time.Second
	// longestRest is the longest pause that upstreams ask for.
	longestRest = 3500 * time.Millisecond
	stableTime  = 3 * time.Second // after a disturbance, until bounds hold again
)

const (
	seedHosts    = 3
	events       = 60 // of each stream
	eventEvery   = 25 * time.Millisecond
	modelSlots   = 6
	modelMemory  = 40_000 // tokens
	readPerMilli = 150
)

// world is everything of one run.
type world struct {
	t     *testing.T
	seed  uint64
	plan  plan
	part  int    // of the loopback networks that belongs to the run
	dir   string // settings and output of the hosts
	store *platformtest.Store
	hosts []*host
	book  *book
	start time.Time

	copying sync.Mutex // held while the store comes back from a copy

	mu          sync.Mutex
	upstreams   []*upstream
	past        []*platformtest.Replica // replaced, for their records
	nextReplica int
	started     int // replicas
	disturbed   []disturbance
	paused      []disturbance // hosts that were suspended; they are in disturbed as well
	evacuated   []evacuation
	domainOf    map[*platformtest.Replica]string
	config      fleetConfig
}

// disturbance is unplanned harm. An empty host means all.
type disturbance struct {
	host     string
	from, to time.Time // to is zero while it lasts
}

func newWorld(t *testing.T, seed uint64, hosts int) *world {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("citron-soak-%d-%d", os.Getpid(), seed))
	assert.NilError(t, os.MkdirAll(dir, 0o700))
	w := &world{t: t, seed: seed, dir: dir, store: platformtest.NewStore(), book: newBook(), start: time.Now(), domainOf: map[*platformtest.Replica]string{}}
	t.Cleanup(func() {
		w.store.Close()
		if t.Failed() {
			t.Logf("output of the hosts: %s", dir)
			return
		}
		_ = os.RemoveAll(dir) // the directory is temporary either way
	})
	w.claimPart()
	w.config = newFleetConfig()
	w.publish()
	for n := range hosts + 1 {
		w.addUpstream("model", n)
	}
	for n := range 3 {
		w.addUpstream("app", hosts+1+n)
	}
	for n := range hosts {
		w.hosts = append(w.hosts, newHost(w, n))
	}
	for _, h := range w.hosts {
		h.start()
	}
	for _, h := range w.hosts {
		h.waitReady()
	}
	return w
}

// claimPart takes a part of the loopback networks that no other run has, in this
// process or another one.
func (w *world) claimPart() {
	const parts = 250
	for n := range parts {
		w.part = 1 + (int(w.seed%parts)+n)%parts
		claim, err := net.Listen("tcp4", fmt.Sprintf("%s.250:%d", w.block(1), portClaim))
		if err == nil {
			w.t.Cleanup(func() { _ = claim.Close() }) // nobody connects to it
			return
		}
	}
	w.t.Fatal("all parts of the loopback networks are taken")
}

// block is the part of a loopback network that belongs to the run.
func (w *world) block(network int) string {
	return fmt.Sprintf("127.%d.%d", network, w.part)
}

func (w *world) proxy(address, target string) *faultproxy.Proxy {
	p, err := faultproxy.New(address, target)
	assert.NilError(w.t, err)
	w.t.Cleanup(p.Close)
	return p
}

// disturb notes harm to a host, or to all with an empty name, and returns the
// function that notes its end.
func (w *world) disturb(name string) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := len(w.disturbed)
	w.disturbed = append(w.disturbed, disturbance{host: name, from: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.disturbed[at].to = time.Now()
	}
}

// calm reports whether a host was undisturbed from stableTime before a span to
// its end. An empty name asks for all hosts.
func (w *world) calm(name string, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.disturbed {
		if name != "" && d.host != "" && d.host != name {
			continue
		}
		if d.from.Before(to) && (d.to.IsZero() || d.to.After(from.Add(-stableTime))) {
			return false
		}
	}
	return true
}

// notePause notes that a host is suspended, and returns the function that notes its end.
func (h *host) notePause() (end func()) {
	w := h.w
	w.mu.Lock()
	defer w.mu.Unlock()
	at := len(w.paused)
	w.paused = append(w.paused, disturbance{host: h.name, from: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.paused[at].to = time.Now()
	}
}

// wasPaused reports whether a host was suspended within a span.
func (w *world) wasPaused(name string, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.paused, func(d disturbance) bool {
		return d.host == name && d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
	})
}

// domains are the failure domains of the upstreams.
const domains = 3

// evacuation is the time in which the store held the evacuation key of a domain.
type evacuation struct {
	domain   string
	from, to time.Time // to is zero while it lasts
}

// upstream is a place in the fleet where one replica after the other lives.
type upstream struct {
	service string
	domain  string
	proxy   *faultproxy.Proxy
	replica *platformtest.Replica // nil while there is none
	left    map[string]time.Time  // when the store said that a replica leaves, by id
	taken   bool                  // an act has it
}

func (w *world) addUpstream(service string, n int) {
	u := &upstream{service: service, domain: domainName(n), left: map[string]time.Time{}}
	u.proxy = w.proxy(fmt.Sprintf("%s.%d:%d", w.block(2), n+1, portUpstream), "127.0.0.1:1")
	w.upstreams = append(w.upstreams, u)
	w.startReplica(u)
}

func domainName(n int) string {
	return fmt.Sprintf("domain-%d", n%domains)
}

func (w *world) slots(service string) int {
	if service == "model" {
		return modelSlots
	}
	return 20
}

// startReplica starts a replica under a new id at the address of its place.
func (w *world) startReplica(u *upstream) {
	w.mu.Lock()
	w.nextReplica++
	id := fmt.Sprintf("%s-%d", u.service, w.nextReplica)
	w.mu.Unlock()
	w.startReplicaAs(u, id)
}

// startReplicaAs starts a replica under an id, which the one before may have had.
func (w *world) startReplicaAs(u *upstream, id string) {
	w.mu.Lock()
	w.started++
	if u.replica != nil {
		w.past = append(w.past, u.replica)
	}
	u.replica = platformtest.NewPacedReplica(id, events, platformtest.Pace{
		Slots: w.slots(u.service), Work: 15 * time.Millisecond, ReadPerMilli: readPerMilli,
		EventEvery: eventEvery, MemoryTokens: modelMemory,
	})
	u.replica.RetryAfter = []string{"1.2", "2", fmt.Sprint(longestRest.Seconds())}[w.started%3]
	w.domainOf[u.replica] = u.domain
	u.proxy.SetTarget(u.replica.Address())
	w.mu.Unlock()
	w.announce(u, "ready")
}

func (w *world) announce(u *upstream, state string) {
	w.store.PublishServer(u.replica.ID, u.service, u.proxy.Address(), u.domain, state, w.slots(u.service))
}

// endReplica ends the replica of a place.
func (w *world) endReplica(u *upstream) (id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id = u.replica.ID
	u.proxy.SetTarget("127.0.0.1:1") // nothing listens there
	u.replica.Close()
	return id
}

// die ends the replica of a place without a reset of its connections.
func (w *world) die(u *upstream) (id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u.proxy.SetTarget("127.0.0.1:1") // nothing listens there
	u.replica.Die()
	return u.replica.ID
}

// replicas returns all that ever lived.
func (w *world) replicas() []*platformtest.Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := append([]*platformtest.Replica{}, w.past...)
	for _, u := range w.upstreams {
		all = append(all, u.replica)
	}
	return all
}

// rngOf returns the random source of one part of the run.
func (w *world) rngOf(part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, part))
}
