package gang

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Options are the timeouts of a Machine.
type Options struct {
	ReserveWait time.Duration // for one member, while those before it hold reservations
	RetryDelay  time.Duration // between two calls to reserve or release
	ReleaseTime time.Duration // after the deadline, in which releases are retried
}

// DefaultOptions returns the timeouts used unless the configuration overrides
// them.
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
	part      Part
	requested bool // a reservation was requested; the member may hold memory
	ready     bool // the reservation, then the part, is held
	released  bool
	retryAt   time.Time // when the failed call is made again; zero if none failed
}

// Machine is one attempt to run a prompt on several engines.
type Machine struct {
	options  Options
	attempt  ident.Attempt
	members  []*member // in ascending order of names
	lead     *member
	state    State
	next     int       // index of the member to reserve
	waitFrom time.Time // when the wait for that member began
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

// Handle processes one event and returns the actions to carry out. Events that
// don't fit the state come from delayed answers and are ignored.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	switch m.state {
	case StateReleasing:
		return m.handleReleasing(now, event)
	case StateEnded:
		return m.handleEnded(event)
	}
	if !now.Before(m.attempt.Deadline) {
		return m.finish(now, m.deadlineCode())
	}
	switch event.Kind {
	case Cancelled:
		return m.finish(now, code.CallerGone)
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
	case event.Kind == Started && !current.requested:
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

// reserve requests memory from a member; a repeated request is harmless. A timer
// at the deadline ends the attempt if no answer arrives.
func (m *Machine) reserve(current *member) []Action {
	current.requested = true
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
	retryable := refused == upstream.RefusedMemory || refused == upstream.RefusedBusy || refused == ""
	if !retryable {
		return m.finish(now, code.UpstreamUnavailable)
	}
	if now.Sub(m.waitFrom) >= m.options.ReserveWait {
		return m.finish(now, code.NoCapacity)
	}
	current.retryAt = now.Add(m.options.RetryDelay)
	return []Action{{Kind: SetTimer, At: earlier(current.retryAt, m.attempt.Deadline)}}
}

func (m *Machine) startPrefill() []Action {
	m.state = StatePrefilling
	var actions []Action
	for _, member := range m.members {
		member.ready = member == m.lead
		if member != m.lead {
			actions = append(actions, Action{Kind: Prefill, Part: member.part})
		}
	}
	actions = append(actions, Action{Kind: SetTimer, At: m.attempt.Deadline})
	return append(actions, m.generateIfReady()...)
}

func (m *Machine) handlePrefilling(now time.Time, event Event) []Action {
	member := m.find(event.Member)
	switch {
	case event.Kind == PrefillFailed && member != nil && !member.ready:
		return m.finish(now, code.UpstreamLost)
	case event.Kind == Prefilled && member != nil:
		member.ready = true
		return m.generateIfReady()
	}
	return nil
}

func (m *Machine) generateIfReady() []Action {
	for _, member := range m.members {
		if !member.ready {
			return nil
		}
	}
	m.state = StateGenerating
	return []Action{{Kind: Generate, Part: m.lead.part}}
}

func (m *Machine) handleGenerating(now time.Time, event Event) []Action {
	switch event.Kind {
	case Generated:
		return m.finish(now, code.OK)
	case GenerateFailed:
		return m.finish(now, event.Code)
	}
	return nil
}

func (m *Machine) memberLost(now time.Time, event Event) []Action {
	if m.find(event.Member) == nil {
		return nil
	}
	if m.state == StateReserving {
		return m.finish(now, code.UpstreamUnavailable)
	}
	return m.finish(now, code.UpstreamLost)
}

// deadlineCode returns the result code for a passed deadline.
func (m *Machine) deadlineCode() code.Code {
	if m.state == StateReserving {
		return code.DeadlineBeforeStart
	}
	return code.DeadlineExceeded
}

// finish ends the attempt with a result and releases all reservations.
func (m *Machine) finish(now time.Time, result code.Code) []Action {
	m.state = StateReleasing
	actions := []Action{{Kind: Finish, Code: result}}
	for _, member := range m.members {
		member.retryAt = time.Time{}
		member.released = !member.requested
		if member.requested {
			actions = append(actions, Action{Kind: Release, Part: member.part})
		}
	}
	return append(actions, m.endOrWait(now)...)
}

func (m *Machine) handleReleasing(now time.Time, event Event) []Action {
	var actions []Action
	switch event.Kind {
	case Released:
		if member := m.find(event.Member); member != nil {
			member.released = true
			member.retryAt = time.Time{}
		}
	case Reserved:
		actions = m.releaseLate(event)
	case ReleaseFailed:
		if member := m.find(event.Member); member != nil && !member.released {
			member.retryAt = now.Add(m.options.RetryDelay)
		}
	case TimerFired:
		actions = m.releaseAgain(now)
	}
	return append(actions, m.endOrWait(now)...)
}

// releaseLate releases a reservation that was confirmed after the release.
func (m *Machine) releaseLate(event Event) []Action {
	member := m.find(event.Member)
	if member == nil {
		return nil
	}
	member.released = false
	return []Action{{Kind: Release, Part: member.part}}
}

func (m *Machine) handleEnded(event Event) []Action {
	if event.Kind != Reserved {
		return nil
	}
	return m.releaseLate(event)
}

func (m *Machine) releaseAgain(now time.Time) []Action {
	var actions []Action
	for _, member := range m.members {
		if !member.released && due(now, member) {
			member.retryAt = time.Time{}
			actions = append(actions, Action{Kind: Release, Part: member.part})
		}
	}
	return actions
}

// endOrWait ends the Machine if nothing is held or the time for releases is over;
// the owners of the engines then reclaim the memory that is still held. Otherwise
// it sets the timer for the next retry.
func (m *Machine) endOrWait(now time.Time) []Action {
	last := m.attempt.Deadline.Add(m.options.ReleaseTime)
	at := last
	held := false
	for _, member := range m.members {
		if member.released {
			continue
		}
		held = true
		if !member.retryAt.IsZero() {
			at = earlier(at, member.retryAt)
		}
	}
	if !held || !now.Before(last) {
		m.state = StateEnded
		return []Action{{Kind: End}}
	}
	return []Action{{Kind: SetTimer, At: at}}
}

func (m *Machine) find(name upstream.Name) *member {
	for _, candidate := range m.members {
		if candidate.part.Member == name {
			return candidate
		}
	}
	return nil
}

func due(now time.Time, m *member) bool {
	return !m.retryAt.IsZero() && !now.Before(m.retryAt)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
