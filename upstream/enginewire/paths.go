package enginewire

// Paths of the requests to an engine.
const (
	PathGenerate = "/v1/generate"
	PathReserve  = "/v1/reserve"
	PathPrefill  = "/v1/prefill"
	PathRelease  = "/v1/release"
	PathCancel   = "/v1/cancel"
	PathReport   = "/v1/report"
	PathOrder    = "/v1/order"
	PathExport   = "/v1/export" // requested by other engines
)

// Query parameters.
const (
	ParameterAfter   = "after"   // of PathReport: sequence number of the last cache event that the client has
	ParameterAttempt = "attempt" // of PathExport
)

// Headers that citronscale and its upstreams exchange.
const (
	// HeaderAttempt carries the attempt identifier of a request.
	HeaderAttempt = "Citron-Attempt"
	// HeaderNotRun carries the reason why the upstream did not run a request.
	HeaderNotRun = "Citron-Not-Run"
)

// ContentTypeStream is the media type of a stream of frames.
const ContentTypeStream = "text/event-stream"
