package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

// settledAnswers is the number of peers that must answer after a start or a
// pause before the table counts as settled.
const settledAnswers = 3

// Table holds the state of all entry hosts in the view of one host.
type Table struct {
	options       Options
	rng           *rand.Rand
	self          *entry
	entries       map[ident.Host]*entry // includes self
	seeds         map[ident.Host]Seed
	order         []*entry     // all entries but self, sorted by host, for anti-entropy
	ring          []ident.Host // partners still to be probed in this round
	partners      []ident.Host
	inactive      []ident.Host // inactive hosts still to be probed: failed hosts and unknown seeds
	inactiveCount int          // number of inactive hosts at the last refill
	rosterDigest  uint64       // digest of all records that are not failed

	sequence        uint64
	indirect        map[uint64]indirectProbe // outstanding, by sequence number
	lastTick        time.Time
	resumedAt       time.Time
	ticks           uint64
	indirectSent    int  // indirect probes sent in this period
	announceLeaving bool // probe LeavingFanout peers at the next tick
	conflict        ident.Incarnation
	changes         []Change
}

// New returns a table that contains only the host itself, in state Starting.
func New(options Options, self Self, now time.Time, rng *rand.Rand) *Table {
	e := &entry{
		host:          self.Host,
		incarnation:   self.Incarnation,
		version:       1,
		state:         Starting,
		address:       self.PeerAddress,
		failureDomain: self.FailureDomain,
		lastContactAt: now,
		hasLocation:   true,
	}
	e.bucketIndex = e.bucket()
	t := &Table{
		options:   options,
		rng:       rng,
		self:      e,
		entries:   map[ident.Host]*entry{self.Host: e},
		seeds:     make(map[ident.Host]Seed),
		indirect:  make(map[uint64]indirectProbe),
		lastTick:  now,
		resumedAt: now,
	}
	t.refresh(e)
	return t
}

// SetOptions replaces the limits, such as after a change of configuration.
func (t *Table) SetOptions(options Options) {
	t.options = options
}

// SetState announces a new state of the host itself. Leaving is sent to many
// peers at the next tick and can't be reverted.
func (t *Table) SetState(now time.Time, state State) {
	if t.self.state == state || t.self.state == Leaving {
		return
	}
	t.self.version++
	t.self.state = state
	t.self.changedAt = now
	t.refresh(t.self)
	t.announceLeaving = t.announceLeaving || state == Leaving
}

// SetConfig sets the configuration that the host reports as in force. It is sent
// in the host's own heartbeats and does not change the version of its record.
func (t *Table) SetConfig(revision, digest uint64) {
	t.self.configRevision = revision
	t.self.configDigest = digest
}

// SetUsage sets the team usage that the host reports in its own heartbeats.
func (t *Table) SetUsage(usage []*peerv1.TeamUsage) {
	t.self.usage = usage
}

// HostList replaces the seeds by the entries of the platform's host list.
func (t *Table) HostList(now time.Time, seeds []Seed) {
	t.detectPause(now)
	clear(t.seeds)
	for _, seed := range seeds {
		if seed.Host != t.self.host {
			t.seeds[seed.Host] = seed
		}
	}
	t.refillInactive()
}

// Members returns all hosts of the table, including the host itself, sorted by
// name.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		members = append(members, t.member(e))
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return members
}

// Member returns one host.
func (t *Table) Member(host ident.Host) (Member, bool) {
	e, ok := t.entries[host]
	if !ok {
		return Member{}, false
	}
	return t.member(e), true
}

// ReadyHosts returns the hosts that own engines, sorted by name: those that are
// ready, and those that are suspect but last reported ready. A suspect host keeps
// its engines so that a lost message does not change their owner.
func (t *Table) ReadyHosts() []ident.Host {
	var hosts []ident.Host
	for _, e := range t.entries {
		if t.owns(e) {
			hosts = append(hosts, e.host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

func (t *Table) owns(e *entry) bool {
	if t.seeds[e.host].Leaving {
		return false
	}
	return e.state == Ready || e.state == Suspect && e.wasReady
}

// effectiveState returns the state of the host, or Leaving if the host list
// marks it as leaving.
func (t *Table) effectiveState(e *entry) State {
	if t.seeds[e.host].Leaving && e.state < Leaving {
		return Leaving
	}
	return e.state
}

func (t *Table) member(e *entry) Member {
	return Member{
		Host:           e.host,
		Incarnation:    e.incarnation,
		State:          t.effectiveState(e),
		PeerAddress:    e.address,
		FailureDomain:  e.failureDomain,
		ConfigRevision: e.configRevision,
		ConfigDigest:   e.configDigest,
		LastContactAt:  e.lastContactAt,
		Usage:          e.usage,
		Self:           e == t.self,
	}
}

// Changes returns the state transitions since the last call.
func (t *Table) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Conflict returns a later incarnation of the host's own name, if one was
// received: two hosts share a name, or the clock of the host stepped back before
// it started. The process must stop or restart with a later incarnation.
func (t *Table) Conflict() (ident.Incarnation, bool) {
	return t.conflict, t.conflict != 0
}

// RosterDigest returns the digest of all records that are not failed. Tables
// with equal digests agree.
func (t *Table) RosterDigest() uint64 {
	return t.rosterDigest
}
