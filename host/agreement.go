package host

import (
	"math/rand/v2"
	"sync"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/membership"
	"github.com/citronscale/citronscale/orders"
	"github.com/citronscale/citronscale/ownership"
	"github.com/citronscale/citronscale/reclaim"
	"github.com/citronscale/citronscale/revision"
	"github.com/citronscale/citronscale/source"
	"github.com/citronscale/citronscale/upstream"
)

// agreement holds the state that the hosts agree on: the configuration in
// force, the membership and the owners of engines.
type agreement struct {
	self           ident.Host
	domain         string
	started        time.Time
	mu             sync.Mutex
	state          *revision.State
	table          *membership.Table
	owners         *ownership.Map // over the ready hosts
	failedAt       map[ident.Host]time.Time
	hostListRead   bool      // a host list was read
	newestRevision uint64    // highest revision that a peer has reported
	resumedAt      time.Time // end of the last pause of the process
}

func newAgreement(self membership.Self, now time.Time) *agreement {
	seed := uint64(self.Incarnation)
	options := membership.DefaultOptions(defaultHeartbeat, defaultSuspectTime)
	return &agreement{
		self:     self.Host,
		domain:   self.FailureDomain,
		started:  now,
		state:    revision.NewState(),
		table:    membership.New(options, self, now, rand.New(rand.NewPCG(seed, seed))),
		owners:   ownership.New(nil),
		failedAt: make(map[ident.Host]time.Time),
	}
}

const defaultSuspectTime = 3 * time.Second // before a configuration is in force

// config returns the configuration in force.
func (a *agreement) config() (*config.Config, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	inForce := a.state.InForce()
	return inForce, inForce != nil
}

// revision returns the revision in force, zero if there is none.
func (a *agreement) revision() uint64 {
	cfg, ok := a.config()
	if !ok {
		return 0
	}
	return cfg.Revision
}

// age returns how long the configuration has been in force here.
func (a *agreement) age(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.InForce() == nil {
		return 0
	}
	return now.Sub(a.state.Since())
}

// owner returns the host that owns an engine. It is empty while the membership
// is unsettled, after the start of this host or a pause.
func (a *agreement) owner(name upstream.Name) ident.Host {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.owners.Owner(name)
}

// member returns one host.
func (a *agreement) member(host ident.Host) (membership.Member, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Member(host)
}

// members returns all hosts, this one included.
func (a *agreement) members() []membership.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Members()
}

// tick advances the membership and returns the heartbeats to send.
func (a *agreement) tick(now time.Time) []membership.Probe {
	a.mu.Lock()
	defer a.mu.Unlock()
	probes := a.table.Tick(now)
	a.recomputeOwners(now)
	return probes
}

// recomputeOwners recomputes the owners of engines. While the membership is
// unsettled there are none, so this host neither grants nor requests leases.
func (a *agreement) recomputeOwners(now time.Time) {
	var hosts []ident.Host
	if a.table.Settled(now) {
		hosts = a.table.ReadyHosts()
	}
	if !a.owners.Covers(hosts) {
		a.owners = ownership.New(hosts)
	}
}

// randomProbes returns heartbeats to at most count ready hosts in random order.
func (a *agreement) randomProbes(now time.Time, count int) []membership.Probe {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := a.table.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var probes []membership.Probe
	for _, m := range members {
		if len(probes) == count {
			break
		}
		if m.Self || m.State != membership.Ready {
			continue
		}
		if probe, ok := a.table.Probe(now, m.Host); ok {
			probes = append(probes, probe)
		}
	}
	return probes
}

// refresh updates the record of this host.
func (a *agreement) refresh(now time.Time, state membership.State, usage []*peerv1.TeamUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.SetState(now, state)
	a.table.SetUsage(usage)
	if inForce := a.state.InForce(); inForce != nil {
		a.table.SetConfig(inForce.Revision, inForce.Digest)
		fleet := inForce.Fleet()
		a.table.SetOptions(membership.DefaultOptions(fleet.HeartbeatPeriod, fleet.SuspectTime))
	}
	a.state.CheckConfirmation(now, maxConfirmationAge)
}

func (a *agreement) receive(now time.Time, m *peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Receive(now, m)
}

func (a *agreement) response(now time.Time, host ident.Host, m *peerv1.HeartbeatResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Response(now, host, m)
}

func (a *agreement) probeFailed(now time.Time, host ident.Host) []membership.Probe {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Failed(now, host)
}

func (a *agreement) probeOf(now time.Time, host ident.Host) (membership.Probe, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Probe(now, host)
}

func (a *agreement) resumed(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Resumed(now)
	a.resumedAt = now
	a.owners = ownership.New(nil)
}

// changes returns the changes of the membership since the last call and records
// the time of failures.
func (a *agreement) changes(now time.Time) []membership.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	changes := a.table.Changes()
	for _, change := range changes {
		if change.To == membership.Failed {
			a.failedAt[change.Host] = now
			continue
		}
		delete(a.failedAt, change.Host)
	}
	return changes
}

// useHostList passes the entry hosts of a host list to the membership as seeds.
func (a *agreement) useHostList(now time.Time, list []source.Entry) {
	var seeds []membership.Seed
	for _, entry := range list {
		if entry.Role != source.RoleHost {
			continue
		}
		seeds = append(seeds, membership.Seed{
			Host: ident.Host(entry.Name), PeerAddress: entry.PeerAddress,
			FailureDomain: entry.FailureDomain, Leaving: entry.Leaving,
		})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.HostList(now, seeds)
	a.hostListRead = true
}

// orderView returns the input of the orders package besides the engines.
func (a *agreement) orderView(now time.Time) *orders.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	view := &orders.View{
		Self: a.self, NewestRevision: a.newestRevision, ConfirmedAt: a.state.ConfirmedAt(),
		ResumedAt: a.resumedAt, Settled: a.table.Settled(now),
	}
	if inForce := a.state.InForce(); inForce != nil {
		view.Revision = inForce.Revision
	}
	for _, m := range a.table.Members() {
		view.Hosts = append(view.Hosts, m.Host)
	}
	return view
}

// highestRevisionSeen returns the highest revision that need not be read from the
// service again.
func (a *agreement) highestRevisionSeen() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.HighestSeen()
}

// reclaimView returns the membership as the reclaim package needs it.
func (a *agreement) reclaimView() reclaim.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	var hosts []reclaim.Host
	for _, m := range a.table.Members() {
		hosts = append(hosts, reclaim.Host{
			Name: m.Host, Incarnation: m.Incarnation,
			Failed: m.State == membership.Failed, FailedSince: a.failedAt[m.Host],
		})
	}
	return reclaim.NewView(hosts)
}
