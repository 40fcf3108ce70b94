package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/endtoend"
	"github.com/citronscale/citronscale/keyed"
)

const maxKeysPerCall = keyed.MaxKeysPerIssue

// keysBody is the body of POST /v1/idempotency-keys.
type keysBody struct {
	Count int `json:"count"`
}

type keysAnswer struct {
	Keys []string `json:"keys"`
}

func (g *Gateway) serveKeys(x *exchange) error {
	data, err := g.readBody(x)
	if err != nil {
		return err
	}
	body := keysBody{Count: 1}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &body); err != nil {
			return code.New(code.BadRequest, "body is not valid: %v", err)
		}
	}
	if body.Count < 1 || body.Count > maxKeysPerCall {
		return code.New(code.BadRequest, "field %q is %d, want 1 to %d", "count", body.Count, maxKeysPerCall)
	}
	keys, err := g.backend.IssueKeys(x.team, body.Count)
	if err != nil {
		return err
	}
	writeJSON(x.w, http.StatusOK, keysAnswer{Keys: keys})
	return nil
}

func (g *Gateway) serveService(x *exchange) error {
	body, err := g.readBody(x)
	if err != nil {
		return err
	}
	deadline, err := g.deadline(x)
	if err != nil {
		return err
	}
	call := &ServiceCall{
		Request:  x.id,
		Team:     x.team,
		Service:  x.r.PathValue("service"),
		Method:   x.r.Method,
		Path:     servicePath(x.r),
		Header:   forwardedHeader(x.r.Header),
		Body:     body,
		Key:      x.r.Header.Get(headerKey),
		Deadline: deadline,
	}
	answer, err := g.backend.CallService(x.r.Context(), call)
	if err != nil {
		return err
	}
	x.outcome.Upstream = answer.Upstream
	writeAnswer(x, answer)
	return nil
}

// systemHeaderPrefix is the prefix of every header that the system itself sets.
const systemHeaderPrefix = "Citron-"

// servicePath returns the escaped path below the service and the query.
func servicePath(r *http.Request) string {
	const fieldsBeforePath = 4 // "", "services", the service, the rest
	fields := strings.SplitN(r.URL.EscapedPath(), "/", fieldsBeforePath)
	path := "/" + fields[fieldsBeforePath-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// forwardedHeader returns the headers to forward. It omits hop-by-hop headers,
// headers named by the Connection header, those of the system itself, the
// Content-Length and the token of the team.
func forwardedHeader(in http.Header) http.Header {
	out := endtoend.Header(in)
	for name := range out {
		if strings.HasPrefix(name, systemHeaderPrefix) {
			out.Del(name)
		}
	}
	out.Del("Authorization")
	out.Del("Content-Length")
	return out
}

func writeAnswer(x *exchange, answer *ServiceAnswer) {
	header := x.w.Header()
	for name, values := range forwardedHeader(answer.Header) {
		header[name] = values
	}
	if answer.Replayed {
		header.Set(headerReplayed, "true")
	}
	if answer.RanAs != "" {
		header.Set(headerRanAs, answer.RanAs)
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	x.w.WriteHeader(answer.Status)
	if x.r.Method != http.MethodHead {
		_, _ = x.w.Write(answer.Body)
	}
}
