package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/citronscale/citronscale/code"
)

// problem is the body of every rejection and failure: a problem document of RFC
// 9457 that also contains the error object that OpenAI clients parse.
type problem struct {
	code.Problem
	RequestID string      `json:"request_id"`
	Error     errorObject `json:"error"`
}

type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

const retryAfterSeconds = 1

func newProblem(x *exchange, err error) *problem {
	c := code.Of(err)
	return &problem{
		Problem:   code.ProblemOf(err),
		RequestID: x.id.String(),
		Error: errorObject{
			Message: fmt.Sprintf("%s (%s)", err.Error(), c.Outcome()),
			Type:    c.Name(),
			Code:    strconv.Itoa(int(c)),
		},
	}
}

// writeProblem renders err unless the response has already started, in which
// case the handler has rendered it into the stream.
func writeProblem(x *exchange, err error) {
	if x.w.headerWritten {
		return
	}
	p := newProblem(x, err)
	header := x.w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(headerCode, p.Error.Code)
	header.Set("X-Should-Retry", strconv.FormatBool(p.Code.Retryable()))
	if p.Code.Retryable() {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	if p.Code.Status() == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(x.w, p.Status, p)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"error":{"message":"answer can't be encoded"}}`)
	}
	if w.Header().Get("Content-Type") == "" {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
