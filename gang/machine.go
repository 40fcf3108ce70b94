package gang

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Options are the waiting times of a Machine.
type Options struct {
	ReserveWait time.Duration // for one member, while the members before it are held
	RetryDelay  time.Duration // between two tries to reserve or release
	ReleaseTime time.Duration // after the deadline in which releases are tried
}

// DefaultOptions returns the times in use unless the configuration says
// otherwise.
func DefaultOptions() Options {
	return Options{
		ReserveWait: 5 * time.Second,
		RetryDelay:  200 * time.Millisecond,
		ReleaseTime: 10 * time.Second,
	}
}

// State is the phase of an attempt.
type State int

// States.
const (
	StateReserving State = iota
	StatePrefilling
	StateGenerating
	StateReleasing
	StateEnded
)

// String returns the state as dumps spell it.
func (s State) String() string {
	switch s {
	case StateReserving:
		return "reserving"
	case StatePrefilling:
		return "prefilling"
	case StateGenerating:
		return "generating"
	case StateReleasing:
		return "releasing"
	case StateEnded:
		return "ended"
	default:
		return "unknown"
	}
}

// member is the progress of one engine.
type member struct {
	part     Part
	asked    bool // a reservation was asked for; the member may hold memory
	ready    bool // the reservation, then the part, is held
	released bool
	retryAt  time.Time // when the failed call is made again; zero if none failed
}

// Machine is one attempt to run a prompt on several engines.
type Machine struct {
	options  Options
	attempt  ident.Attempt
	members  []*member // in ascending order of names
	lead     *member
	state    State
	next     int       // index of the member that is reserved
	waitFrom time.Time // when the Machine began to wait for it
}

// New returns a Machine that waits for the event Started.
func New(options Options, attempt ident.Attempt, placement *Placement) *Machine {
	m := &Machine{options: options, attempt: attempt}
	for _, part := range placement.Parts {
		m.members = append(m.members, &member{part: part})
	}
	m.lead = m.members[len(m.members)-1]
	slices.SortFunc(m.members, func(a, b *member) int { return cmp.Compare(a.part.Member, b.part.Member) })
	return m
}

// State returns the phase of the attempt.
func (m *Machine) State() State {
	return m.state
}

// Handle takes in one event and returns what to do. Events that don't fit the
// state come from late answers and are ignored.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	switch m.state {
	case StateReleasing:
		return m.handleReleasing(now, event)
	case StateEnded:
		return m.handleEnded(event)
	}
	if !now.Before(m.attempt.Deadline) {
		return m.fail(now, m.deadlineCode())
	}
	switch event.Kind {
	case Cancelled:
		return m.fail(now, code.CallerGone)
	case MemberLost:
		return m.memberLost(now, event)
	}
	switch m.state {
	case StateReserving:
		return m.handleReserving(now, event)
	case StatePrefilling:
		return m.handlePrefilling(now, event)
	default:
		return m.handleGenerating(now, event)
	}
}

func (m *Machine) handleReserving(now time.Time, event Event) []Action {
	current := m.members[m.next]
	switch {
	case event.Kind == Started && !current.asked:
		m.waitFrom = now
		return m.reserve(current)
	case event.Kind == Reserved && event.Member == current.part.Member:
		return m.reserved(now, current)
	case event.Kind == ReserveFailed && event.Member == current.part.Member:
		return m.reserveFailed(now, current, event.Refused)
	case event.Kind == TimerFired && due(now, current):
		return m.reserve(current)
	}
	return nil
}

// reserve asks a member for memory. Asking again is harmless. A timer at the
// deadline ends the attempt if no answer comes.
func (m *Machine) reserve(current *member) []Action {
	current.asked = true
	current.retryAt = time.Time{}
	return []Action{{Kind: Reserve, Part: current.part}, {Kind: SetTimer, At: m.attempt.Deadline}}
}

func (m *Machine) reserved(now time.Time, current *member) []Action {
	current.ready = true
	current.retryAt = time.Time{}
	m.next++
	if m.next < len(m.members) {
		m.waitFrom = now
		return m.reserve(m.members[m.next])
	}
	return m.startPrefill()
}

func (m *Machine) reserveFailed(now time.Time, current *member, refused upstream.Refusal) []Action {
	waits := refused == upstream.RefusedMemory || refused == upstream.RefusedBusy || refused == ""
	if !waits {
		return m.fail(now, code.UpstreamUnavailable)
	}
	if now.Sub(m.waitFrom) >= m.options.ReserveWait {
		return m.fail(now, code.NoCapacity)
	}
	current.retryAt = now.Add(m.options.RetryDelay)
	return []Action{{Kind: SetTimer, At: earlier(current.retryAt, m.attempt.Deadline)}}
}

func (m *Machine) startPrefill() []Action {
	m.state = StatePrefilling
	var actions []Action
	for _, one := range m.members {
		one.ready = one == m.lead
		if one != m.lead {
			actions = append(actions, Action{Kind: Prefill, Part: one.part})
		}
	}
	actions = append(actions, Action{Kind: SetTimer, At: m.attempt.Deadline})
	return append(actions, m.generateIfReady()...)
}

func (m *Machine) handlePrefilling(now time.Time, event Event) []Action {
	one := m.find(event.Member)
	switch {
	case event.Kind == PrefillFailed && one != nil && !one.ready:
		return m.fail(now, code.UpstreamLost)
	case event.Kind == Prefilled && one != nil:
		one.ready = true
		return m.generateIfReady()
	}
	return nil
}

func (m *Machine) generateIfReady() []Action {
	for _, one := range m.members {
		if !one.ready {
			return nil
		}
	}
	m.state = StateGenerating
	return []Action{{Kind: Generate, Part: m.lead.part}}
}

func (m *Machine) handleGenerating(now time.Time, event Event) []Action {
	switch event.Kind {
	case Generated:
		return m.fail(now, code.OK)
	case GenerateFailed:
		return m.fail(now, event.Code)
	}
	return nil
}

func (m *Machine) memberLost(now time.Time, event Event) []Action {
	if m.find(event.Member) == nil {
		return nil
	}
	if m.state == StateReserving {
		return m.fail(now, code.UpstreamUnavailable)
	}
	return m.fail(now, code.UpstreamLost)
}

// deadlineCode says what is known when the deadline passes.
func (m *Machine) deadlineCode() code.Code {
	if m.state == StateReserving {
		return code.DeadlineBeforeStart
	}
	return code.DeadlineExceeded
}

// fail ends the attempt with a result, code.OK included, and releases
// everything.
func (m *Machine) fail(now time.Time, result code.Code) []Action {
	m.state = StateReleasing
	actions := []Action{{Kind: Finish, Code: result}}
	for _, one := range m.members {
		one.retryAt = time.Time{}
		one.released = !one.asked
		if one.asked {
			actions = append(actions, Action{Kind: Release, Part: one.part})
		}
	}
	return append(actions, m.endOrWait(now)...)
}

func (m *Machine) handleReleasing(now time.Time, event Event) []Action {
	var actions []Action
	switch event.Kind {
	case Released:
		if one := m.find(event.Member); one != nil {
			one.released = true
			one.retryAt = time.Time{}
		}
	case Reserved:
		actions = m.releaseLate(event)
	case ReleaseFailed:
		if one := m.find(event.Member); one != nil && !one.released {
			one.retryAt = now.Add(m.options.RetryDelay)
		}
	case TimerFired:
		actions = m.releaseAgain(now)
	}
	return append(actions, m.endOrWait(now)...)
}

// releaseLate releases a reservation that was confirmed after the release.
func (m *Machine) releaseLate(event Event) []Action {
	one := m.find(event.Member)
	if one == nil {
		return nil
	}
	one.released = false
	return []Action{{Kind: Release, Part: one.part}}
}

func (m *Machine) handleEnded(event Event) []Action {
	if event.Kind != Reserved {
		return nil
	}
	return m.releaseLate(event)
}

func (m *Machine) releaseAgain(now time.Time) []Action {
	var actions []Action
	for _, one := range m.members {
		if !one.released && due(now, one) {
			one.retryAt = time.Time{}
			actions = append(actions, Action{Kind: Release, Part: one.part})
		}
	}
	return actions
}

// endOrWait ends the Machine if nothing is held or the time for releases is
// over; the owners of the engines reclaim what is left. Otherwise it sets the
// timer for the next retry.
func (m *Machine) endOrWait(now time.Time) []Action {
	last := m.attempt.Deadline.Add(m.options.ReleaseTime)
	at := last
	held := false
	for _, one := range m.members {
		if one.released {
			continue
		}
		held = true
		if !one.retryAt.IsZero() {
			at = earlier(at, one.retryAt)
		}
	}
	if !held || !now.Before(last) {
		m.state = StateEnded
		return []Action{{Kind: End}}
	}
	return []Action{{Kind: SetTimer, At: at}}
}

func (m *Machine) find(name upstream.Name) *member {
	for _, one := range m.members {
		if one.part.Member == name {
			return one
		}
	}
	return nil
}

func due(now time.Time, one *member) bool {
	return !one.retryAt.IsZero() && !now.Before(one.retryAt)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
