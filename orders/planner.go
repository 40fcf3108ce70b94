package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

const (
	// maxReportAge is the greatest age of a report on which an order is based.
	maxReportAge = 2 * time.Second
	// maxConfirmationAge is the greatest age of a confirmation of the revision by
	// the service or a peer at which engines that ignore fencing tokens get orders.
	maxConfirmationAge = 10 * time.Second
	// repeatInterval is the time after which an order without effect is sent again.
	repeatInterval = 5 * time.Second
	// sendTimeout is the time in which a planned order must be sent.
	sendTimeout = time.Second
)

// Hold is the reason why an engine that does not match its desired order gets no
// order now.
type Hold string

// Reasons for no order.
const (
	HoldNone        Hold = ""
	HoldOutdated    Hold = "a higher revision is known"
	HoldUnsettled   Hold = "the membership is not settled"
	HoldStaleReport Hold = "no recent report"
	HoldUnconfirmed Hold = "the revision is not confirmed"
	HoldSent        Hold = "the order was sent recently"
	HoldPullRate    Hold = "no pull of the weight store is available now"
)

// View is the input of Plan besides the engines.
type View struct {
	Self           ident.Host
	Hosts          []ident.Host // hosts that share the pull rate: all listed and known ones, including failed ones
	Revision       uint64       // in force on this host
	NewestRevision uint64       // highest that a peer or the service reported
	ConfirmedAt    time.Time    // last confirmation of Revision by the service or a peer
	ResumedAt      time.Time    // end of the last pause of the process
	Settled        bool         // the membership is settled
	PullsPerSecond float64      // pull rate of the weight store over all hosts
}

// Engine is one owned engine.
type Engine struct {
	Name        upstream.Name
	ChecksFence bool
	Desired     *upstream.Order
	Report      *upstream.Report // latest; nil if there is none
	ReadAt      time.Time        // when the report was requested
}

// Decision is the order for one engine or the reason why it gets none.
type Decision struct {
	Engine     upstream.Name
	Order      *upstream.Order // nil if Hold is not HoldNone
	SendBefore time.Time       // the order must not be sent later
	Hold       Hold
	Withdrawn  bool // the engine serves or loads a withdrawn version
}

// Planner plans the orders of one host.
type Planner struct {
	startedAt time.Time
	slot      int64 // newest slot in which pulls were used
	usedPulls int64 // pulls used in that slot
	sent      map[upstream.Name]sentOrder
}

type sentOrder struct {
	fence uint64
	at    time.Time
}

// NewPlanner returns a Planner that uses no pulls in the slot of its start,
// because the previous process of the host may have used them.
func NewPlanner(now time.Time) *Planner {
	return &Planner{startedAt: now, sent: make(map[upstream.Name]sentOrder)}
}

// Plan returns a decision for each engine whose report does not match its
// desired order, has a higher fencing token or is missing. Engines on withdrawn
// versions come first.
func (p *Planner) Plan(now time.Time, view *View, engines []Engine) []Decision {
	var decisions []Decision
	for _, e := range prioritized(engines) {
		if e.Desired == nil {
			continue
		}
		if e.Report != nil && matches(e.Desired, e.Report) && e.Report.Fence <= view.Revision {
			delete(p.sent, e.Name)
			continue
		}
		decisions = append(decisions, p.decide(now, view, e))
	}
	return decisions
}

func prioritized(engines []Engine) []*Engine {
	list := make([]*Engine, 0, len(engines))
	for i := range engines {
		list = append(list, &engines[i])
	}
	slices.SortStableFunc(list, func(a, b *Engine) int {
		return cmp.Compare(rank(a), rank(b))
	})
	return list
}

func rank(e *Engine) int {
	if e.Desired != nil && e.Report != nil && onWithdrawn(e.Desired, e.Report) {
		return 0
	}
	return 1
}

func (p *Planner) decide(now time.Time, view *View, e *Engine) Decision {
	d := Decision{Engine: e.Name, Withdrawn: rank(e) == 0}
	d.Hold = p.hold(now, view, e)
	if d.Hold != HoldNone {
		return d
	}
	d.SendBefore = now.Add(sendTimeout)
	if needsPull(e.Desired, e.Report) {
		end, ok := p.takePull(now, view)
		if !ok {
			d.Hold = HoldPullRate
			return d
		}
		if end.Before(d.SendBefore) {
			d.SendBefore = end
		}
	}
	d.Order = e.Desired
	p.sent[e.Name] = sentOrder{fence: e.Desired.Fence, at: now}
	return d
}

func (p *Planner) hold(now time.Time, view *View, e *Engine) Hold {
	last, known := p.sent[e.Name]
	switch {
	case view.NewestRevision > view.Revision || e.Desired.Fence != view.Revision:
		return HoldOutdated
	case !view.Settled:
		return HoldUnsettled
	case e.Report == nil || e.ReadAt.Before(view.ResumedAt) || now.Sub(e.ReadAt) > maxReportAge:
		return HoldStaleReport
	case e.Report.Fence > view.Revision:
		return HoldOutdated
	case !e.ChecksFence && now.Sub(view.ConfirmedAt) > maxConfirmationAge:
		return HoldUnconfirmed
	case known && last.fence == e.Desired.Fence && now.Sub(last.at) < repeatInterval:
		return HoldSent
	default:
		return HoldNone
	}
}

// takePull uses one pull of this host in the current slot and returns the end of
// the slot. It returns false if there is none.
func (p *Planner) takePull(now time.Time, view *View) (time.Time, bool) {
	if view.PullsPerSecond <= 0 {
		return time.Time{}, false
	}
	schedule := newPullSchedule(view.PullsPerSecond)
	number, end := schedule.at(now)
	if started, _ := schedule.at(p.startedAt); started == number {
		return time.Time{}, false
	}
	if p.slot != number {
		p.slot, p.usedPulls = number, 0
	}
	if p.usedPulls >= schedule.share(number, view.Self, view.Hosts) {
		return time.Time{}, false
	}
	p.usedPulls++
	return end, true
}
