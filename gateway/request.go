package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/buffer"
)

// Kinds of requests of the caller API, as in logs and metrics.
const (
	kindCompletion = "completion"
	kindChat       = "chat"
	kindModels     = "models"
	kindKeys       = "keys"
	kindService    = "service"
	kindOther      = "other"
)

// Headers of the caller API.
const (
	headerRequestID = "Citron-Request-Id"
	headerTimeout   = "Citron-Timeout" // a duration such as 20s
	headerCode      = "Citron-Code"
	headerReplayed  = "Citron-Replayed"
	headerRanAs     = "Citron-Ran-As"
	headerKey       = "Idempotency-Key"
)

// exchange is one request of the caller API and its response writer.
type exchange struct {
	w       *responseWriter
	r       *http.Request
	kind    string
	id      ident.Request
	team    string
	started time.Time
	outcome Outcome
	memory  *buffer.Reservation
}

type exchangeHandler func(x *exchange) error

// withTeam authenticates the caller, runs handle and renders its error.
func (g *Gateway) withTeam(kind string, handle exchangeHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started := time.Now()
		team, err := g.identify(r)
		x := &exchange{w: &responseWriter{ResponseWriter: w, timeout: g.limits.WriteTimeout}, r: r, kind: kind, id: g.backend.NewRequest(team), team: team, started: started, memory: g.pool.Reserve()}
		defer x.memory.Release()
		x.outcome = Outcome{Request: x.id, Kind: kind, Team: team, Started: started}
		w.Header().Set(headerRequestID, x.id.String())
		g.setDeadlines(x)
		if err == nil {
			err = handle(x)
		}
		g.finish(x, err)
	}
}

// identify returns the team of a request. It fails if the host is not ready or
// the caller is not authenticated; the team is empty in the latter case.
func (g *Gateway) identify(r *http.Request) (team string, err error) {
	team, known := g.backend.Authenticate(bearerToken(r))
	if err := g.backend.Ready(); err != nil {
		return team, err
	}
	if !known {
		return "", code.New(code.TeamTokenInvalid, "bearer token is missing or belongs to no team")
	}
	return team, nil
}

func (g *Gateway) finish(x *exchange, err error) {
	x.outcome.Code = code.Of(err)
	x.outcome.Took = time.Since(x.started)
	if err != nil {
		x.outcome.Detail = err.Error()
	}
	g.backend.Finished(&x.outcome) // before the response, so that the caller can already request the trace
	if err != nil {
		writeProblem(x, err)
	}
}

func bearerToken(r *http.Request) string {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// readBody reads the body within the size, time and memory limits.
func (g *Gateway) readBody(x *exchange) ([]byte, error) {
	if x.r.ContentLength > g.limits.MaxBodyBytes {
		g.discardBody(x)
		return nil, code.New(code.BodyTooLarge, "body has %d bytes, limit is %d", x.r.ContentLength, g.limits.MaxBodyBytes)
	}
	body, err := x.memory.ReadAll(x.r.Body, x.r.ContentLength, g.limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	x.w.bodyComplete = true
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	return body, nil
}

// setDeadlines sets the read deadline of the body, which readBody clears after the
// body is complete. It clears the write deadline that the previous request left
// on the connection.
func (g *Gateway) setDeadlines(x *exchange) {
	controller := http.NewResponseController(x.w)
	// Writers that don't support deadlines are only used in tests.
	_ = controller.SetReadDeadline(x.started.Add(g.limits.ReadTimeout))
	_ = controller.SetWriteDeadline(time.Time{})
}

// discardBody reads a rejected body, up to twice the size limit. A caller that
// is still sending when the connection closes would get a reset instead of the
// rejection.
func (g *Gateway) discardBody(x *exchange) {
	controller := http.NewResponseController(x.w)
	// Writers that don't support deadlines are only used in tests.
	_ = controller.SetReadDeadline(time.Now().Add(g.limits.ReadTimeout))
	_, _ = io.CopyN(io.Discard, x.r.Body, 2*g.limits.MaxBodyBytes)
	_ = controller.SetReadDeadline(time.Time{})
}

// deadline returns the absolute deadline of the request.
func (g *Gateway) deadline(x *exchange) (time.Time, error) {
	var requested time.Duration
	if text := x.r.Header.Get(headerTimeout); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 {
			return time.Time{}, code.New(code.BadRequest, "header %s %q is not a positive duration", headerTimeout, text)
		}
		requested = parsed
	}
	return x.started.Add(g.backend.Timeout(x.team, requested)), nil
}
