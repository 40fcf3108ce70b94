package servicehttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/internal/buffer"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/servicehttp"
)

// listenEndless answers each request with a text and then another one again and again, until the caller closes.
func listenEndless(t *testing.T, head, repeat string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	flood := []byte(strings.Repeat(repeat, 1+4096/len(repeat)))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, err = io.WriteString(conn, head)
				}
				for err == nil {
					_, err = conn.Write(flood)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a host that runs out of memory by a faulty service that sends bytes without
// end, to many calls at once.
func TestEndlessHeadsAndBodiesAreCutInBoundedMemory(t *testing.T) {
	const calls = 32
	for name, answer := range map[string][2]string{
		"no answer":       {"", "\x00\xff garbage "},
		"status line":     {"HTTP/1.1 200 ", "very "},
		"header line":     {"HTTP/1.1 200 OK\r\nX-Long: ", "very "},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "X-More: value\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"body":            {"HTTP/1.1 200 OK\r\n\r\n", "0123456789"},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "very"},
		"trailers":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n0\r\n", "X-T: value\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := listenEndless(t, answer[0], answer[1])
			pool := buffer.NewPool(1 << 20)
			service := servicehttp.NewClient(servicehttp.Options{Buffers: pool}).Service("pallets-1", address)
			runtime.GC()
			var before, now runtime.MemStats
			runtime.ReadMemStats(&before)
			var group sync.WaitGroup
			for range calls {
				group.Go(func() {
					_, err := service.Call(t.Context(), newCall("a"))
					failure, ok := upstream.AsError(err)
					assert.Check(t, ok && failure.Sent == upstream.SentSome, "%v", err)
				})
			}
			done := make(chan struct{})
			go func() { group.Wait(); close(done) }()
			peak := uint64(0)
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(5 * time.Millisecond):
				}
				runtime.ReadMemStats(&now)
				peak = max(peak, now.HeapInuse)
			}
			assert.Assert(t, peak < before.HeapInuse+32<<20, "%d MB in use", peak>>20)
			assert.Equal(t, pool.Used(), int64(0))
		})
	}
}
