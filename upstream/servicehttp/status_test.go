package servicehttp_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
	"github.com/citronscale/citronscale/upstream/servicehttp"
)

// Guards against callers that get no answer, because their host panics on the status of a
// service, and against a call that ran and counts as refused by such an answer.
func TestStatusThatHTTPDoesNotAllowIsNoAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 None", "HTTP/1.1 099 Odd", "HTTP/1.1 101 Odd", "HTTP/1.1 600 Odd", "HTTP/2.0 200 OK"} {
		for _, header := range []string{"", enginewire.HeaderNotRun + ": busy\r\n"} {
			address := listenEndless(t, line+"\r\n"+header+"Content-Length: 4\r\n\r\nbody", " ")
			_, err := servicehttp.NewClient(servicehttp.Options{}).Service("pallets-1", address).Call(t.Context(), newCall(""))
			assertSent(t, err, upstream.SentSome)
			failure, _ := upstream.AsError(err)
			assert.Equal(t, failure.Refused, upstream.Refusal(""), line)
			assert.Equal(t, code.Of(err), code.AnswerIncomplete, line)
		}
	}
}
