package chart

// Name identifies a chart; the file is charts/NAME.toml.
type Name string

// State is a state of a chart.
type State string

// Event is something that happens to a machine.
type Event string

// Charts.
const (
	Attempt       Name = "attempt"       // the life of one completion request
	Keyed         Name = "keyed"         // the life of one idempotency key
	Upstream      Name = "upstream"      // one upstream as a host sees it
	Configuration Name = "configuration" // the configuration of one host
	Process       Name = "process"       // one entry host process
)

// States of the attempt chart.
const (
	AttemptNew       State = "new"       // admitted, nothing asked for yet
	AttemptChoosing  State = "choosing"  // waits for an upstream with room
	AttemptSending   State = "sending"   // the request is on its way to the upstream
	AttemptWaiting   State = "waiting"   // the upstream has the request
	AttemptStreaming State = "streaming" // frames arrive
	AttemptFinished  State = "finished"
)

// Events of the attempt chart.
const (
	AttemptStart  Event = "start"
	AttemptChosen Event = "chosen" // an upstream with room was found in time
	AttemptSent   Event = "sent"   // the upstream has the whole request
	AttemptFrame  Event = "frame"  // a frame of the current attempt arrived in order
	AttemptRetry  Event = "retry"  // the attempt failed and another one is allowed
	AttemptFinish Event = "finish" // the request ended with its final code
)

// States of the keyed chart.
const (
	KeyedUnused   State = "unused"   // no call with this key can have run
	KeyedAdmitted State = "admitted" // one call holds the right to be sent
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
	KeyedDrop    Event = "drop"    // the recorded answer makes room for others
	KeyedExpire  Event = "expire"
)

// States of the upstream chart.
const (
	UpstreamUnknown State = "unknown" // listed, never heard
	UpstreamUp      State = "up"
	UpstreamSuspect State = "suspect" // a report is missing
	UpstreamDown    State = "down"
	UpstreamLeaving State = "leaving" // gets no new work
	UpstreamGone    State = "gone"    // no longer listed and empty
)

// Events of the upstream chart.
const (
	UpstreamReport      Event = "report"       // a report was read
	UpstreamReportLost  Event = "report-lost"  // a report could not be read
	UpstreamSuspectTime Event = "suspect-time" // the suspect time passed without a report
	UpstreamLeave       Event = "leave"        // the host list or the report says leaving
	UpstreamReturn      Event = "return"       // the leave was taken back
	UpstreamRemove      Event = "remove"       // not listed any more and nothing in flight
)

// States of the configuration chart.
const (
	ConfigurationNone    State = "none"    // nothing in force; the host is not ready
	ConfigurationInForce State = "current" // a revision is in force and the service or a peer confirms it
	ConfigurationStale   State = "stale"   // a revision is in force and nobody confirms it
)

// Events of the configuration chart.
const (
	ConfigurationAccept  Event = "accept"  // a valid newer document was offered
	ConfigurationReject  Event = "reject"  // an invalid document was offered
	ConfigurationOlder   Event = "older"   // a document older than the one in force was offered
	ConfigurationConfirm Event = "confirm" // the revision in force was offered again
	ConfigurationSilence Event = "silence" // neither the service nor a peer answers
)

// States of the process chart.
const (
	ProcessStarting State = "starting" // listeners open, no configuration in force
	ProcessReady    State = "ready"    // admits requests
	ProcessLeaving  State = "leaving"  // planned stop: finishes what is in flight
	ProcessStopped  State = "stopped"
)

// Events of the process chart.
const (
	ProcessConfigured Event = "configured" // a configuration is in force and peers were heard
	ProcessStop       Event = "stop"       // a planned stop was asked for
	ProcessIdle       Event = "idle"       // nothing is in flight any more
	ProcessPause      Event = "pause"      // the process did not run for a while
)

// names lists what the code knows of one chart.
type names struct {
	states []State
	events []Event
}

var known = map[Name]names{
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
}

// Names returns all charts in a fixed order.
func Names() []Name {
	return []Name{Attempt, Keyed, Upstream, Configuration, Process}
}
