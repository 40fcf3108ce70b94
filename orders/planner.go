package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

const (
	// maxReportAge is the age up to which a report is acted on.
	maxReportAge = 2 * time.Second
	// confirmTime is the age up to which a statement of the revision by the
	// service or a peer allows orders to engines that ignore fencing numbers.
	confirmTime = 10 * time.Second
	// repeatTime is the time after which an order is given again.
	repeatTime = 5 * time.Second
	// sendTime is the time in which a planned order must be sent.
	sendTime = time.Second
)

// Hold says why an engine that may be out of order gets no order now.
type Hold string

// Reasons for no order.
const (
	HoldNone        Hold = ""
	HoldBehind      Hold = "a higher revision was seen"
	HoldUnsettled   Hold = "the membership is not settled"
	HoldStaleReport Hold = "no fresh report"
	HoldUnconfirmed Hold = "the revision is not confirmed"
	HoldSent        Hold = "the order was just given"
	HoldPullRate    Hold = "the weight store's rate is spent"
)

// View is what the host knows besides the engines.
type View struct {
	Self           ident.Host
	Hosts          []ident.Host // that share the rate: all listed and known ones, failed ones included
	Revision       uint64       // in force on this host
	NewestRevision uint64       // highest stated by a peer or the service
	ConfirmedAt    time.Time    // last statement of Revision by the service or a peer
	ResumedAt      time.Time    // end of the last pause of the process
	Settled        bool         // the membership is settled
	PullsPerSecond float64      // rate of the weight store over all hosts
}

// Engine is one owned engine.
type Engine struct {
	Name        upstream.Name
	ChecksFence bool
	Desired     *upstream.Order
	Report      *upstream.Report // latest; nil if there is none
	ReadAt      time.Time        // when the report was asked for
}

// Decision is what to do about one engine that is out of order.
type Decision struct {
	Engine     upstream.Name
	Order      *upstream.Order // nil if held
	SendBefore time.Time       // the order must not be sent later
	Hold       Hold
	Withdrawn  bool // the engine serves or loads a withdrawn version
}

// Planner plans the orders of one host.
type Planner struct {
	startedAt time.Time
	slot      int64 // slot in which the pulls were used
	used      int64
	sent      map[upstream.Name]sentOrder
}

type sentOrder struct {
	fence uint64
	at    time.Time
}

// NewPlanner returns a planner that does not pull in the slot of its start,
// because an earlier life of the host may have used it.
func NewPlanner(now time.Time) *Planner {
	return &Planner{startedAt: now, sent: make(map[upstream.Name]sentOrder)}
}

// Plan returns a decision for each engine that is out of order or can't be
// judged, engines on withdrawn versions first.
func (p *Planner) Plan(now time.Time, view *View, engines []Engine) []Decision {
	var decisions []Decision
	for _, e := range prioritized(engines) {
		if e.Desired == nil {
			continue
		}
		if e.Report != nil && inOrder(e.Desired, e.Report) && e.Report.Fence <= view.Revision {
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
	d.SendBefore = now.Add(sendTime)
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
	sent, repeated := p.sent[e.Name]
	switch {
	case view.NewestRevision > view.Revision || e.Desired.Fence != view.Revision:
		return HoldBehind
	case !view.Settled:
		return HoldUnsettled
	case e.Report == nil || e.ReadAt.Before(view.ResumedAt) || now.Sub(e.ReadAt) > maxReportAge:
		return HoldStaleReport
	case e.Report.Fence > view.Revision:
		return HoldBehind
	case !e.ChecksFence && now.Sub(view.ConfirmedAt) > confirmTime:
		return HoldUnconfirmed
	case repeated && sent.fence == e.Desired.Fence && now.Sub(sent.at) < repeatTime:
		return HoldSent
	default:
		return HoldNone
	}
}

// takePull uses one pull of the current slot and returns the end of the slot.
func (p *Planner) takePull(now time.Time, view *View) (time.Time, bool) {
	if view.PullsPerSecond <= 0 {
		return time.Time{}, false
	}
	division := newSlots(view.PullsPerSecond)
	number, end := division.at(now)
	if started, _ := division.at(p.startedAt); started == number {
		return time.Time{}, false
	}
	if p.slot != number {
		p.slot, p.used = number, 0
	}
	if p.used >= division.share(number, view.Self, view.Hosts) {
		return time.Time{}, false
	}
	p.used++
	return end, true
}
