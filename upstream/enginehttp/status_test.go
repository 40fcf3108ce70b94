package enginehttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginehttp"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

// Guards against a request that may have run and counts as refused, by an answer with a status
// line that HTTP doesn't allow.
func TestStatusThatHTTPDoesNotAllowRefusesNothing(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	lines := []string{"HTTP/1.1 000 None", "HTTP/1.1 099 Odd", "HTTP/1.1 101 Odd", "HTTP/1.1 600 Odd", "HTTP/2.0 503 Odd"}
	go func() {
		for _, line := range lines {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, line+"\r\n"+enginewire.HeaderNotRun+": busy\r\nContent-Length: 2\r\n\r\n{}")
			}
			_ = conn.Close()
		}
	}()
	engine := newClient(t, enginehttp.Options{}).Engine("engine-1", listener.Addr().String())
	for _, line := range lines {
		_, err := engine.Generate(t.Context(), newRequest(1, "a", 16))
		assertError(t, err, upstream.SentSome, "")
		assert.ErrorContains(t, err, "status line", line)
	}
}
