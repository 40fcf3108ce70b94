package code

import "net/http"

// Outcome states what is known about whether a request ran.
type Outcome int

// Outcomes, in the order of the thousands digit of their codes.
const (
	NotRun Outcome = iota + 1
	MayHaveRun
	Ran
)

// String returns the outcome as callers see it in a problem document.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case MayHaveRun:
		return "may have run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

const outcomeDivisor = 1000

// Code is the number of a result. Zero is success.
type Code int

// OK is the code of a request that succeeded.
const OK Code = 0

// Codes of requests that were not run.
const (
	BadRequest          Code = 1001
	TeamTokenInvalid    Code = 1002
	BodyTooLarge        Code = 1003
	HeadersTooLarge     Code = 1004
	ModelUnknown        Code = 1005
	ServiceUnknown      Code = 1006
	HostNotReady        Code = 1007
	HostLeaving         Code = 1008
	DeadlineTooShort    Code = 1009
	NoCapacity          Code = 1010
	TeamLimit           Code = 1011
	BufferFull          Code = 1012
	UpstreamUnavailable Code = 1013
	PromptTooLong       Code = 1014
	KeyRequired         Code = 1015
	KeyNotIssued        Code = 1016
	KeyForeign          Code = 1017
	KeyRunning          Code = 1018
	RequestQuarantined  Code = 1019
	RetryBudgetSpent    Code = 1020
	BodyIncomplete      Code = 1021
	DeadlineBeforeStart Code = 1022
	PeerForbidden       Code = 1023
	KeyTableFull        Code = 1024
	NotFound            Code = 1025
	// CallerGoneBeforeStart is CallerGone before any upstream received the request.
	CallerGoneBeforeStart Code = 1026
	RouteUnknown          Code = 1027
	ConfigUnconfirmed     Code = 1028
	UpstreamLimit         Code = 1029
	UpstreamResting       Code = 1030
	TeamOverShare         Code = 1031
	SettingsInvalid       Code = 1901
	ConfigInvalid         Code = 1902
	UsageInvalid          Code = 1903
	ChartInvalid          Code = 1904
	NoHostReachable       Code = 1905
)

// Codes of requests that may have run.
const (
	UpstreamLost       Code = 2001
	DeadlineExceeded   Code = 2002
	KeyIssuerLost      Code = 2003
	KeyExpired         Code = 2004
	AnswerIncomplete   Code = 2005
	UpstreamSilent     Code = 2006
	CallerGone         Code = 2007
	HostStopped        Code = 2008
	InternalFault      Code = 2009
	KeyOutcomeUnknown  Code = 2010
	KeyRequestMismatch Code = 2011
)

// Codes of requests that ran.
const (
	UpstreamFailed  Code = 3001
	KeyOutcomeGone  Code = 3002
	AnswerTruncated Code = 3003
	// QuarantinedAfterRun is RequestQuarantined after an attempt of the request itself.
	QuarantinedAfterRun Code = 3004
)

// Outcome returns whether the request ran, as far as the code states it.
// It panics for OK, which carries no outcome.
func (c Code) Outcome() Outcome {
	o := Outcome(int(c) / outcomeDivisor)
	if o < NotRun || o > Ran {
		panic("code: " + c.Name() + " carries no outcome")
	}
	return o
}

// Info describes one code for callers and operators.
type Info struct {
	Code    Code
	Name    string // stable identifier in CamelCase
	Status  int    // HTTP status of the response to the caller
	Retry   bool   // whether the caller may send the request again unchanged
	Meaning string
	Action  string // recommended action of the caller or the operator
}

// Name returns the stable identifier of the code.
func (c Code) Name() string {
	if c == OK {
		return "OK"
	}
	if info, ok := byCode[c]; ok {
		return info.Name
	}
	return "Unknown"
}

// Status returns the HTTP status of a response to a caller with the code.
func (c Code) Status() int {
	if c == OK {
		return http.StatusOK
	}
	if info, ok := byCode[c]; ok {
		return info.Status
	}
	return http.StatusInternalServerError
}

// Retryable reports whether a caller may send the same request again.
func (c Code) Retryable() bool {
	return byCode[c].Retry
}

// Table returns the description of every code in ascending order.
func Table() []Info {
	return append([]Info(nil), table...)
}
