package host

import (
	"maps"
	"slices"
	"time"

	"github.com/citronscale/citronscale/directory"
	"github.com/citronscale/citronscale/lease"
	"github.com/citronscale/citronscale/limit"
)

// dump is the state of the process for operators. It contains names, counts,
// sizes in tokens or bytes, and times; never prompts, answers, team tokens or
// idempotency keys.
type dump struct {
	Host        string         `json:"host"`
	Incarnation uint64         `json:"incarnation"`
	State       string         `json:"state"`
	InFlight    inFlightDump   `json:"in_flight"`
	Config      configDump     `json:"config"`
	Members     []memberDump   `json:"members"`
	Upstreams   []upstreamDump `json:"upstreams"`
	Owned       []ownedDump    `json:"owned_engines"`
	Leases      []leaseDump    `json:"leases"`
	Queues      []queueDump    `json:"queues"`
	Teams       []teamDump     `json:"teams"`
	Retries     retryDump      `json:"retries"`
	Keys        keysDump       `json:"keys"`
	Strikes     int            `json:"strikes"`
	Buffers     bufferDump     `json:"buffers"`
	Records     recordDump     `json:"records"`
}

type inFlightDump struct {
	Requests int    `json:"requests"`
	Tokens   uint64 `json:"tokens"`
}

type configDump struct {
	Revision uint64 `json:"revision"`
	AgeMS    int64  `json:"age_ms"`
	Watches  bool   `json:"watches"` // this host watches the configuration service
}

type memberDump struct {
	Host           string `json:"host"`
	Incarnation    uint64 `json:"incarnation"`
	State          string `json:"state"`
	PeerAddress    string `json:"peer_address"`
	FailureDomain  string `json:"failure_domain"`
	ConfigRevision uint64 `json:"config_revision"`
	HeardMSAgo     int64  `json:"heard_ms_ago"`
}

type upstreamDump struct {
	Name          string      `json:"name"`
	Kind          string      `json:"kind"`
	State         string      `json:"state"`
	Address       string      `json:"address"`
	FailureDomain string      `json:"failure_domain"`
	Model         string      `json:"model,omitempty"`
	Service       string      `json:"service,omitempty"`
	Owner         string      `json:"owner,omitempty"`
	ChecksFence   bool        `json:"checks_fence"`
	InFlight      int         `json:"in_flight"` // calls of this host
	Report        *reportDump `json:"report,omitempty"`
}

type reportDump struct {
	AgeMS          int64  `json:"age_ms"`
	Incarnation    uint64 `json:"incarnation"`
	Version        string `json:"version"`
	Role           string `json:"role"`
	Fence          uint64 `json:"fence"`
	Leaving        bool   `json:"leaving"`
	CapacityTokens uint64 `json:"capacity_tokens"`
	UsedTokens     uint64 `json:"used_tokens"`
	ReservedTokens uint64 `json:"reserved_tokens"`
	Running        int    `json:"running"`
	Waiting        int    `json:"waiting"`
	Held           int    `json:"held"`
}

type ownedDump struct {
	Engine         string        `json:"engine"`
	Settling       bool          `json:"settling"`
	Leaving        bool          `json:"leaving"`
	CapacityTokens uint64        `json:"capacity_tokens"`
	ChargedTokens  uint64        `json:"charged_tokens"`
	ShortReserve   uint64        `json:"short_reserve_tokens"`
	ReportAgeMS    int64         `json:"report_age_ms"`
	Misdated       uint64        `json:"refused_as_misdated"`
	Accounts       []accountDump `json:"accounts"`
}

type accountDump struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Class       string `json:"class"`
	Leased      uint64 `json:"leased_tokens"`
	Pending     uint64 `json:"pending_tokens"`
	Used        uint64 `json:"used_tokens"`
	EndsInMS    int64  `json:"ends_in_ms"`
}

type leaseDump struct {
	Engine      string `json:"engine"`
	Class       string `json:"class"`
	Limit       uint64 `json:"limit_tokens"`
	InUse       uint64 `json:"in_use_tokens"`
	EndsInMS    int64  `json:"ends_in_ms"`
	Outstanding bool   `json:"outstanding"`
}

type queueDump struct {
	Model  string `json:"model"`
	Class  string `json:"class"`
	Items  int    `json:"requests"`
	Tokens uint64 `json:"tokens"`
}

type teamDump struct {
	Team            string `json:"team"`
	LevelTokens     int64  `json:"level_tokens"`
	DemandPerSecond uint64 `json:"demand_tokens_per_second"`
}

type retryDump struct {
	Budget float64 `json:"budget"`
}

type keysDump struct {
	Used        int `json:"used"`
	AnswerBytes int `json:"answer_bytes"`
	Running     int `json:"running"`
}

type bufferDump struct {
	UsedBytes  int64 `json:"used_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
}

type recordDump struct {
	Requests int       `json:"requests"`
	Oldest   time.Time `json:"oldest"`
}

func (h *Host) dump(now time.Time) *dump {
	requests, oldest := h.records.size()
	inFlight, tokens := h.lifecycle.inFlight()
	d := &dump{
		Host:        string(h.self),
		Incarnation: uint64(h.incarnation),
		State:       string(h.lifecycle.state()),
		InFlight:    inFlightDump{Requests: inFlight, Tokens: tokens},
		Config:      configDump{Revision: h.agreement.revision(), AgeMS: h.agreement.age(now).Milliseconds(), Watches: h.agreement.watches()},
		Members:     h.dumpMembers(now),
		Upstreams:   h.dumpUpstreams(now),
		Keys:        h.issuer.dump(),
		Strikes:     h.strikes.count(),
		Buffers:     bufferDump{UsedBytes: h.pool.Used(), LimitBytes: h.pool.Limit()},
		Records:     recordDump{Requests: requests, Oldest: oldest},
	}
	h.placement.dump(now, d)
	return d
}

func (h *Host) dumpMembers(now time.Time) []memberDump {
	members := []memberDump{}
	for _, m := range h.agreement.members() {
		members = append(members, memberDump{
			Host: string(m.Host), Incarnation: uint64(m.Incarnation), State: stateName(m.State),
			PeerAddress: m.PeerAddress, FailureDomain: m.FailureDomain, ConfigRevision: m.ConfigRevision,
			HeardMSAgo: sinceLastMessage(now, &m).Milliseconds(),
		})
	}
	return members
}

func (h *Host) dumpUpstreams(now time.Time) []upstreamDump {
	upstreams := []upstreamDump{}
	for _, s := range h.directory.All() {
		u := upstreamDump{
			Name: string(s.Info.Name), Kind: s.Info.Kind.String(), State: string(s.State), Address: s.Info.Address,
			FailureDomain: s.Info.FailureDomain, Model: s.Info.Model, Service: s.Info.Service,
			ChecksFence: s.Info.ChecksFence, InFlight: s.InFlight, Report: dumpReport(now, &s),
		}
		if s.Info.Model != "" {
			u.Owner = string(h.agreement.owner(s.Info.Name))
		}
		upstreams = append(upstreams, u)
	}
	return upstreams
}

func dumpReport(now time.Time, s *directory.Status) *reportDump {
	r := s.Report
	if r == nil {
		return nil
	}
	return &reportDump{
		AgeMS: now.Sub(s.ReportAt).Milliseconds(), Incarnation: r.Incarnation, Version: r.Version, Role: r.Role,
		Fence: r.Fence, Leaving: r.Leaving, CapacityTokens: r.CapacityTokens, UsedTokens: r.UsedTokens,
		ReservedTokens: r.ReservedTokens, Running: len(r.Running), Waiting: len(r.Waiting), Held: len(r.Held),
	}
}

// dump adds the accounts, leases, queues, teams and the retry budget.
func (p *placement) dump(now time.Time, d *dump) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d.Owned = []ownedDump{}
	for _, name := range slices.Sorted(maps.Keys(p.owners)) {
		d.Owned = append(d.Owned, dumpOwner(p.owners[name].Dump(now)))
	}
	d.Leases = []leaseDump{}
	for _, entry := range p.leases.Dump(now) {
		d.Leases = append(d.Leases, leaseDump{
			Engine: string(entry.Engine), Class: entry.Class.String(), Limit: entry.Limit, InUse: entry.InUse,
			EndsInMS: entry.EndsIn.Milliseconds(), Outstanding: entry.Outstanding,
		})
	}
	d.Queues = []queueDump{}
	for _, model := range slices.Sorted(maps.Keys(p.queues)) {
		d.Queues = append(d.Queues, dumpQueue(model, p.queues[model].fair)...)
	}
	d.Teams = []teamDump{}
	for _, team := range p.limiter.Dump(now) {
		d.Teams = append(d.Teams, teamDump{Team: team.Team, LevelTokens: int64(team.LevelTokens), DemandPerSecond: uint64(team.DemandPerSecond)})
	}
	d.Retries = retryDump{Budget: p.retryBudget.Level(now)}
}

func dumpOwner(o lease.OwnerDump) ownedDump {
	owned := ownedDump{
		Engine: string(o.Engine), Settling: o.Settling, Leaving: o.Leaving, CapacityTokens: o.CapacityTokens,
		ChargedTokens: o.ChargedTokens, ShortReserve: o.ShortReserve, ReportAgeMS: o.ReportAge.Milliseconds(),
		Misdated: o.RefusedAsMisdated, Accounts: []accountDump{},
	}
	for _, a := range o.Accounts {
		owned.Accounts = append(owned.Accounts, accountDump{
			Host: string(a.Holder.Host), Incarnation: uint64(a.Holder.Incarnation), Class: a.Class,
			Leased: a.Leased, Pending: a.Pending, Used: a.Used, EndsInMS: a.EndsIn.Milliseconds(),
		})
	}
	return owned
}

func dumpQueue(model string, queue *limit.FairQueue) []queueDump {
	var classes []queueDump
	for _, c := range queue.Dump() {
		classes = append(classes, queueDump{Model: model, Class: c.Class.String(), Items: c.Items, Tokens: c.Tokens})
	}
	return classes
}

func (i *issuer) dump() keysDump {
	i.mu.Lock()
	defer i.mu.Unlock()
	return keysDump{Used: i.keys.Used(), AnswerBytes: i.keys.AnswerBytes(), Running: len(i.running)}
}

// count returns the number of strikes in the registry.
func (s *strikes) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Len()
}
