package enginehttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginehttp"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

// Guards against a request that runs and counts as not run: the engine sends an earlier
// refusal once more where the next answer of the connection is expected.
func TestRepeatedRefusalIsNotTakenForTheNextAnswer(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var ran atomic.Int64 // requests that got the refusal of an earlier one
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + enginewire.HeaderNotRun + ": busy\r\nContent-Length: 2\r\n\r\n{}"
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for n := 0; ; n++ {
					request, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					if n > 0 {
						ran.Add(1)
					}
					_, _ = fmt.Fprint(conn, refusal)
				}
			}()
		}
	}()
	engine := newClient(t, enginehttp.Options{}).Engine("engine-1", listener.Addr().String())
	for sequence := range uint64(2) {
		_, err := engine.Generate(t.Context(), newRequest(sequence, "a", 16))
		assertError(t, err, upstream.SentSome, "busy")
	}
	assert.Equal(t, ran.Load(), int64(0), "requests that ran and count as refused")
}
