package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/source"
	"github.com/citronscale/citronscale/upstream"
)

// refusalValidity is how long a refusal with the mark leaving applies without being
// confirmed by the host list, a report or another refusal.
const refusalValidity = 30 * time.Second

// Clients creates the clients of upstreams. Each wire format has its own
// implementation.
type Clients interface {
	Engine(name upstream.Name, address string) upstream.Engine
	Service(name upstream.Name, address string) upstream.Service
}

// Status is the state of one upstream at one moment.
type Status struct {
	Info     upstream.Info
	State    chart.State
	Report   *upstream.Report // nil until one was read; must not be modified
	ReportAt time.Time        // when the report was requested, on the clock of this host

	Incarnation uint64 // newest known incarnation of an engine; zero if unknown
	InFlight    int    // calls of this host in flight
}

// Usable reports whether the upstream may get new work.
func (s *Status) Usable() bool {
	switch s.State {
	case chart.UpstreamUnknown, chart.UpstreamUp, chart.UpstreamSuspect:
		return true
	default:
		return false
	}
}

type entry struct {
	info            upstream.Info
	machine         *chart.Machine
	engine          upstream.Engine
	service         upstream.Service
	report          *upstream.Report
	reportAt        time.Time
	lostSince       time.Time
	refusedAt       time.Time // time of the newest refusal with the mark leaving
	inFlight        int
	reportedLeaving bool
	incarnation     uint64
}

// Directory holds the upstreams by name.
type Directory struct {
	mu      sync.Mutex
	clients Clients
	chart   *chart.Chart
	entries map[upstream.Name]*entry
}

// New returns an empty directory.
func New(clients Clients) *Directory {
	return &Directory{clients: clients, chart: chart.MustLoad(chart.Upstream), entries: map[upstream.Name]*entry{}}
}

// Change is a change of state or a restart of one upstream.
type Change struct {
	Name      upstream.Name
	State     chart.State
	Restarted bool   // the engine reports a new incarnation
	Previous  uint64 // incarnation before the restart
}

// UpdateList applies a host list. Upstreams that it no longer names are removed,
// unless calls of this host to them are in flight.
func (d *Directory) UpdateList(now time.Time, list []source.Entry) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[upstream.Name]bool, len(list))
	var changes []Change
	for _, listEntry := range list {
		info, ok := infoOf(listEntry)
		if !ok {
			continue
		}
		listed[info.Name] = true
		changes = append(changes, d.updateEntry(now, info)...)
	}
	return append(changes, d.removeUnlisted(listed)...)
}

func infoOf(listed source.Entry) (upstream.Info, bool) {
	info := upstream.Info{
		Name: upstream.Name(listed.Name), Address: listed.Address, FailureDomain: listed.FailureDomain,
		Model: listed.Model, Service: listed.Service, Leaving: listed.Leaving, ChecksFence: listed.ChecksFence,
	}
	switch listed.Role {
	case source.RoleEngine:
		info.Kind = upstream.KindEngine
	case source.RoleService:
		info.Kind = upstream.KindService
	default:
		return info, false
	}
	return info, true
}

func (d *Directory) updateEntry(now time.Time, info upstream.Info) []Change {
	e, ok := d.entries[info.Name]
	if !ok || e.info.Address != info.Address {
		e = &entry{machine: d.chart.New()}
		d.entries[info.Name] = e
		d.connect(e, info)
	}
	e.info = info
	return d.updateLeaving(now, e)
}

func (d *Directory) connect(e *entry, info upstream.Info) {
	if info.Kind == upstream.KindEngine {
		e.engine = d.clients.Engine(info.Name, info.Address)
		return
	}
	e.service = d.clients.Service(info.Name, info.Address)
}

// updateLeaving moves an upstream into or out of the leaving state.
func (d *Directory) updateLeaving(now time.Time, e *entry) []Change {
	refused := !e.refusedAt.IsZero() && now.Sub(e.refusedAt) < refusalValidity
	if e.info.Leaving || e.reportedLeaving || refused {
		return fire(e, chart.UpstreamLeave)
	}
	return fire(e, chart.UpstreamReturn)
}

func (d *Directory) removeUnlisted(listed map[upstream.Name]bool) []Change {
	var changes []Change
	for name, e := range d.entries {
		if listed[name] || e.inFlight > 0 {
			continue
		}
		changes = append(changes, fire(e, chart.UpstreamRemove)...)
		delete(d.entries, name)
	}
	return changes
}

// fire applies an event to the state machine and returns the change, if any. The
// upstream chart declares no event as impossible.
func fire(e *entry, event chart.Event) []Change {
	before := e.machine.State()
	after, err := e.machine.Fire(event)
	if err != nil || after == before {
		return nil
	}
	return []Change{{Name: e.info.Name, State: after}}
}

// ApplyReport applies the report of an engine that was requested at requestedAt.
func (d *Directory) ApplyReport(now, requestedAt time.Time, report *upstream.Report) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[report.Name]
	if !ok {
		return nil
	}
	var changes []Change
	if e.report != nil && e.report.Incarnation != report.Incarnation {
		changes = append(changes, Change{Name: report.Name, State: e.machine.State(), Restarted: true, Previous: e.report.Incarnation})
	}
	e.report = report
	e.reportAt = requestedAt
	e.incarnation = max(e.incarnation, report.Incarnation)
	e.lostSince = time.Time{}
	e.reportedLeaving = report.Leaving
	changes = append(changes, fire(e, chart.UpstreamReport)...)
	return append(changes, d.updateLeaving(now, e)...)
}

// ReportLost records that the report of an engine could not be read. The engine
// counts as down after suspectTime without a report or another answer.
func (d *Directory) ReportLost(now time.Time, name upstream.Name, suspectTime time.Duration) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[name]
	if !ok {
		return nil
	}
	if e.lostSince.IsZero() {
		e.lostSince = now
	}
	changes := fire(e, chart.UpstreamReportLost)
	if now.Sub(e.lostSince) >= suspectTime {
		changes = append(changes, fire(e, chart.UpstreamSuspectTime)...)
	}
	return changes
}

// RefusedLeaving records a refusal, by an upstream or its owner, with the mark
// leaving.
func (d *Directory) RefusedLeaving(now time.Time, name upstream.Name) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[name]
	if !ok {
		return nil
	}
	e.refusedAt = now
	return d.updateLeaving(now, e)
}

// ObserveIncarnation records the incarnation of an engine that its owner reports.
func (d *Directory) ObserveIncarnation(name upstream.Name, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.entries[name]; ok {
		e.incarnation = max(e.incarnation, incarnation)
	}
}

// Answered records that an upstream answered a call, which ends a suspicion.
func (d *Directory) Answered(name upstream.Name) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[name]
	if !ok {
		return nil
	}
	e.lostSince = time.Time{}
	return fire(e, chart.UpstreamReport)
}

// Engine returns the client of an engine.
func (d *Directory) Engine(name upstream.Name) (upstream.Engine, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[name]
	if !ok || e.engine == nil {
		return nil, false
	}
	return e.engine, true
}

// Service returns the client of a replica of a plain service.
func (d *Directory) Service(name upstream.Name) (upstream.Service, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[name]
	if !ok || e.service == nil {
		return nil, false
	}
	return e.service, true
}

// Status returns the status of one upstream.
func (d *Directory) Status(name upstream.Name) (Status, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[name]
	if !ok {
		return Status{}, false
	}
	return e.status(), true
}

// All returns the status of every upstream in order of their names.
func (d *Directory) All() []Status {
	return d.filter(func(*entry) bool { return true })
}

// Engines returns the status of every engine in order of their names.
func (d *Directory) Engines() []Status {
	return d.filter(func(e *entry) bool { return e.info.Kind == upstream.KindEngine })
}

// Replicas returns the usable replicas of a plain service, the one with the
// fewest calls of this host in flight first.
func (d *Directory) Replicas(service string) []Status {
	list := d.filter(func(e *entry) bool { return e.info.Kind == upstream.KindService && e.info.Service == service })
	list = slices.DeleteFunc(list, func(s Status) bool { return !s.Usable() })
	slices.SortStableFunc(list, func(a, b Status) int { return cmp.Compare(a.InFlight, b.InFlight) })
	return list
}

func (d *Directory) filter(keep func(*entry) bool) []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]Status, 0, len(d.entries))
	for _, e := range d.entries {
		if keep(e) {
			list = append(list, e.status())
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Info.Name, b.Info.Name) })
	return list
}

func (e *entry) status() Status {
	return Status{Info: e.info, State: e.machine.State(), Report: e.report, ReportAt: e.reportAt, Incarnation: e.incarnation, InFlight: e.inFlight}
}

// Begin counts a call of this host as in flight until the returned function is
// called.
func (d *Directory) Begin(name upstream.Name) (end func()) {
	d.addInFlight(name, 1)
	return func() { d.addInFlight(name, -1) }
}

func (d *Directory) addInFlight(name upstream.Name, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.entries[name]; ok {
		e.inFlight += n
	}
}
