package enginewire

// Paths below the address of an engine.
const (
	PathGenerate = "/v1/generate"
	PathReserve  = "/v1/reserve"
	PathPrefill  = "/v1/prefill"
	PathRelease  = "/v1/release"
	PathCancel   = "/v1/cancel"
	PathReport   = "/v1/report"
	PathOrder    = "/v1/order"
	PathExport   = "/v1/export" // read by other engines
)

// Query parameters.
const (
	ParameterAfter   = "after"   // of PathReport: last cache event that the reader knows
	ParameterAttempt = "attempt" // of PathExport
)

// Headers that citronscale and its upstreams exchange.
const (
	// HeaderAttempt carries the attempt identifier of a request.
	HeaderAttempt = "Citron-Attempt"
	// HeaderNotRun carries the reason of an upstream that did not run a request.
	HeaderNotRun = "Citron-Not-Run"
)

// ContentTypeStream is the media type of a stream of frames.
const ContentTypeStream = "text/event-stream"
