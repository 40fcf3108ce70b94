package chart

// Name identifies a chart; the file is charts/NAME.toml.
type Name string

// State is a state of a chart.
type State string

// Event is an input of a machine, which may change its state.
type Event string

// Charts.
const (
	Attempt       Name = "attempt"       // one completion request
	Keyed         Name = "keyed"         // one idempotency key
	Upstream      Name = "upstream"      // one upstream in the view of a host
	Configuration Name = "configuration" // the configuration of one host
	Process       Name = "process"       // one entry host process
	Standing      Name = "standing"      // what one upstream process said of itself
)

// States of the attempt chart.
const (
	AttemptNew       State = "new"       // admitted; no upstream requested yet
	AttemptChoosing  State = "choosing"  // waits for an upstream with capacity
	AttemptSending   State = "sending"   // the request is being sent to the upstream
	AttemptWaiting   State = "waiting"   // the upstream has received the request
	AttemptStreaming State = "streaming" // frames arrive
	AttemptFinished  State = "finished"
)

// Events of the attempt chart.
const (
	AttemptStart  Event = "start"
	AttemptChosen Event = "chosen" // an upstream with capacity was found in time
	AttemptSent   Event = "sent"   // the upstream has received the complete request
	AttemptFrame  Event = "frame"  // a frame of the current attempt arrived in order
	AttemptRetry  Event = "retry"  // the attempt failed and another one is allowed
	AttemptFinish Event = "finish" // the request ended with its final code
)

// States of the keyed chart.
const (
	KeyedUnused   State = "unused"   // no call with this key can have run
	KeyedAdmitted State = "admitted" // one call may be sent
	KeyedSent     State = "sent"     // the call may have left this process
	KeyedRecorded State = "recorded" // the call ran and its answer is kept
	KeyedGone     State = "gone"     // the call ran and its answer is no longer kept
	KeyedUnknown  State = "unknown"  // the call was sent and its outcome is unknown
	KeyedExpired  State = "expired"
)

// Events of the keyed chart.
const (
	KeyedBegin   Event = "begin"
	KeyedSend    Event = "send"
	KeyedRefused Event = "refused" // the call certainly did not run
	KeyedAnswer  Event = "answer"  // the call ran and was answered
	KeyedLose    Event = "lose"    // the call may have run and has no answer
	KeyedDrop    Event = "drop"    // the recorded answer was evicted to free memory
	KeyedExpire  Event = "expire"
)

// States of the upstream chart.
const (
	UpstreamUnknown State = "unknown" // listed, without a report so far
	UpstreamUp      State = "up"
	UpstreamSuspect State = "suspect" // a report could not be read
	UpstreamDown    State = "down"
	UpstreamLeaving State = "leaving" // gets no new work
	UpstreamGone    State = "gone"    // no longer listed and nothing in flight
)

// Events of the upstream chart.
const (
	UpstreamReport      Event = "report"       // a report was read
	UpstreamReportLost  Event = "report-lost"  // a report could not be read
	UpstreamSuspectTime Event = "suspect-time" // the suspect time passed without a report
	UpstreamLeave       Event = "leave"        // the host list, the report or a refusal marks it as leaving
	UpstreamReturn      Event = "return"       // the leaving mark was withdrawn
	UpstreamRemove      Event = "remove"       // no longer listed and nothing in flight
)

// States of the configuration chart.
const (
	ConfigurationNone    State = "none"    // no revision in force; the host is not ready
	ConfigurationInForce State = "current" // a revision is in force and the service or a peer confirms it
	ConfigurationStale   State = "stale"   // a revision is in force without recent confirmation
)

// Events of the configuration chart.
const (
	ConfigurationAccept  Event = "accept"  // a valid newer document was offered
	ConfigurationReject  Event = "reject"  // an invalid document was offered
	ConfigurationOlder   Event = "older"   // a document older than the one in force was offered
	ConfigurationConfirm Event = "confirm" // the revision in force was offered again
	ConfigurationSilence Event = "silence" // neither the service nor a peer has confirmed the revision in time
)

// States of the process chart.
const (
	ProcessStarting State = "starting" // listeners open, no configuration in force
	ProcessReady    State = "ready"    // admits requests
	ProcessLeaving  State = "leaving"  // planned stop: completes the requests in flight
	ProcessStopped  State = "stopped"
)

// Events of the process chart.
const (
	ProcessConfigured Event = "configured" // a configuration is in force and peers have answered
	ProcessStop       Event = "stop"       // a planned stop was requested
	ProcessIdle       Event = "idle"       // no request is in flight
	ProcessPause      Event = "pause"      // the process did not run for a while
)

// States of the standing chart.
const (
	StandingServing State = "serving"
	StandingResting State = "resting" // it asked for a pause and has answered no request since
	StandingLeaving State = "leaving" // gets no new requests
)

// Events of the standing chart.
const (
	StandingLeave  Event = "leave"  // an answer or a peer says that it is leaving
	StandingRest   Event = "rest"   // a refusal asks for a pause
	StandingAnswer Event = "answer" // a request sent after the pause was answered without another one
)

// names lists the states and events that the code defines for one chart.
type names struct {
	states []State
	events []Event
}

var namesOf = map[Name]names{
	Attempt: {
		[]State{AttemptNew, AttemptChoosing, AttemptSending, AttemptWaiting, AttemptStreaming, AttemptFinished},
		[]Event{AttemptStart, AttemptChosen, AttemptSent, AttemptFrame, AttemptRetry, AttemptFinish},
	},
	Keyed: {
		[]State{KeyedUnused, KeyedAdmitted, KeyedSent, KeyedRecorded, KeyedGone, KeyedUnknown, KeyedExpired},
		[]Event{KeyedBegin, KeyedSend, KeyedRefused, KeyedAnswer, KeyedLose, KeyedDrop, KeyedExpire},
	},
	Upstream: {
		[]State{UpstreamUnknown, UpstreamUp, UpstreamSuspect, UpstreamDown, UpstreamLeaving, UpstreamGone},
		[]Event{UpstreamReport, UpstreamReportLost, UpstreamSuspectTime, UpstreamLeave, UpstreamReturn, UpstreamRemove},
	},
	Configuration: {
		[]State{ConfigurationNone, ConfigurationInForce, ConfigurationStale},
		[]Event{ConfigurationAccept, ConfigurationReject, ConfigurationOlder, ConfigurationConfirm, ConfigurationSilence},
	},
	Process: {
		[]State{ProcessStarting, ProcessReady, ProcessLeaving, ProcessStopped},
		[]Event{ProcessConfigured, ProcessStop, ProcessIdle, ProcessPause},
	},
	Standing: {
		[]State{StandingServing, StandingResting, StandingLeaving},
		[]Event{StandingLeave, StandingRest, StandingAnswer},
	},
}

// Names returns all charts in a fixed order.
func Names() []Name {
	return []Name{Attempt, Keyed, Upstream, Configuration, Process, Standing}
}
