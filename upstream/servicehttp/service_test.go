package servicehttp_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/buffer"
	"github.com/citronscale/citronscale/internal/stub/servicestub"
	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
	"github.com/citronscale/citronscale/upstream/servicehttp"
)

const testKey = "key-1"

func startStub(t *testing.T) (*servicestub.Service, *stubhttp.Server) {
	t.Helper()
	var server *stubhttp.Server
	stub := servicestub.New("pallets", func() { server.Close() })
	server, err := stubhttp.Listen("127.0.0.1:0", stub.Handler(), stub.Gate)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return stub, server
}

func newCall(body string) *upstream.CallRequest {
	return &upstream.CallRequest{
		Attempt: ident.Attempt{
			Request:  ident.Request{Host: "host-1", Incarnation: 7, Sequence: 1},
			Number:   1,
			Deadline: time.UnixMilli(1_900_000_000_000),
		},
		Method: http.MethodPost,
		Path:   "/reservations?shop=4",
		Header: http.Header{"Idempotency-Key": {testKey}, "X-Shop": {"4"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body:   []byte(body),
	}
}

func assertSent(t *testing.T, err error, sent upstream.Sent) {
	t.Helper()
	failure, ok := upstream.AsError(err)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, failure.Sent, sent, "%v", err)
}

func TestCallForwardsMethodPathHeaderAndBody(t *testing.T) {
	var got *http.Request
	var gotBody []byte
	server, err := stubhttp.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		gotBody, _ = io.ReadAll(r.Body)
		w.Header().Set("X-Receipt", "9")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "done")
	}), stubhttp.NewGate())
	assert.NilError(t, err)
	defer server.Close()
	call := newCall("12 boxes")
	resp, err := servicehttp.NewClient(servicehttp.Options{}).Service("pallets-1", server.Address()).Call(t.Context(), call)
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, http.StatusTeapot)
	assert.Equal(t, resp.Header.Get("X-Receipt"), "9")
	assert.Equal(t, string(resp.Body), "done")
	assert.Equal(t, got.Method+" "+got.URL.RequestURI(), "POST /reservations?shop=4")
	assert.Equal(t, string(gotBody), "12 boxes")
	assert.Equal(t, got.Header.Get("X-Shop"), "4")
	assert.Equal(t, got.Header.Get("X-Hop"), "")
	assert.Equal(t, got.Header.Get(enginewire.HeaderAttempt), call.Attempt.String())
	assert.Equal(t, call.Header.Get(enginewire.HeaderAttempt), "")
}

// callTwice calls once to open a connection, and a second time after the
// service is set to run calls and then close the connection without a response.
func callTwice(t *testing.T, stub *servicestub.Service, call func() error) error {
	t.Helper()
	assert.NilError(t, call())
	stub.SetCloseBeforeAnswer(true)
	return call()
}

// Shows the fault that the client avoids: net/http resends a call when a reused
// connection breaks, if the call carries an Idempotency-Key and its body can be
// rewound or is absent.
func TestDefaultTransportResendsCallWithKey(t *testing.T) {
	stub, server := startStub(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	err := callTwice(t, stub, func() error {
		req, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/reservations", bytes.NewReader([]byte("12 boxes")))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", testKey)
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return err
	})
	assert.Assert(t, err != nil)
	assert.Equal(t, stub.RunsOfKey(testKey), 1+2)
}

func TestClientSendsCallWithKeyOnce(t *testing.T) {
	for _, body := range []string{"12 boxes", ""} {
		stub, server := startStub(t)
		service := servicehttp.NewClient(servicehttp.Options{}).Service("pallets-1", server.Address())
		err := callTwice(t, stub, func() error {
			_, err := service.Call(t.Context(), newCall(body))
			return err
		})
		assertSent(t, err, upstream.SentSome)
		assert.Equal(t, stub.RunsOfKey(testKey), 1+1)
	}
}

func TestErrorStatesWhetherRequestWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	client := servicehttp.NewClient(servicehttp.Options{MaxBodyBytes: 8})
	_, err = client.Service("pallets-1", address).Call(t.Context(), newCall("a"))
	assertSent(t, err, upstream.SentNothing)

	stub, server := startStub(t)
	service := client.Service("pallets-1", server.Address())
	_, err = service.Call(t.Context(), newCall("a"))
	assert.ErrorContains(t, err, "longer than 8 bytes")
	assertSent(t, err, upstream.SentSome)

	stub.SetLeaving(true)
	_, err = service.Call(t.Context(), newCall("a"))
	failure, _ := upstream.AsError(err)
	assert.Equal(t, failure.Refused, upstream.RefusedLeaving)
	assert.Equal(t, len(stub.Calls()), 1)
	stub.SetLeaving(false)

	stub.SetHang(true)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = service.Call(ctx, newCall("a"))
	assertSent(t, err, upstream.SentSome)

	stub.SetHang(false)
	stub.CrashAtNextCall()
	_, err = service.Call(t.Context(), newCall("a"))
	assertSent(t, err, upstream.SentSome)
	_, err = service.Call(t.Context(), newCall("a"))
	assertSent(t, err, upstream.SentNothing)
	assert.Equal(t, len(stub.Calls()), 3)
}

// Answers without an end that are read at the same time must not exhaust the memory of
// a host, whatever the limit of each of them.
func TestEndlessAnswersShareTheBuffers(t *testing.T) {
	part := make([]byte, 4<<10)
	server, err := stubhttp.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for err := error(nil); err == nil; {
			_, err = w.Write(part)
		}
	}), stubhttp.NewGate())
	assert.NilError(t, err)
	defer server.Close()
	pool := buffer.NewPool(1 << 20)
	service := servicehttp.NewClient(servicehttp.Options{Buffers: pool}).Service("pallets-1", server.Address())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			_, err := service.Call(t.Context(), newCall("a"))
			failure, ok := upstream.AsError(err)
			assert.Check(t, ok && failure.Sent == upstream.SentSome, "%v", err)
		})
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	assert.Equal(t, pool.Used(), int64(0))
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < 16<<20, "%d bytes allocated", allocated)
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	server, err := stubhttp.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, strings.Repeat("x", 50))
	}), stubhttp.NewGate())
	assert.NilError(t, err)
	defer server.Close()
	_, err = servicehttp.NewClient(servicehttp.Options{}).Service("pallets-1", server.Address()).Call(t.Context(), newCall("a"))
	assertSent(t, err, upstream.SentSome)
}

// Guards against the answer of a service that crashes and looks complete: its connection
// ends as that of a whole answer without a length would.
func TestResponseThatEndsWithItsConnectionIsAnError(t *testing.T) {
	server, err := stubhttp.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of a bo") // the caller may have gone
		_ = conn.Close()
	}), stubhttp.NewGate())
	assert.NilError(t, err)
	defer server.Close()
	_, err = servicehttp.NewClient(servicehttp.Options{}).Service("pallets-1", server.Address()).Call(t.Context(), newCall("a"))
	assertSent(t, err, upstream.SentSome)
	assert.Equal(t, code.Of(err), code.AnswerIncomplete)
}

// A head that stalls and ends, or ends at any byte, is no answer either.
func TestResponseThatEndsWithinItsHeadIsAnError(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody"
	for _, stall := range []time.Duration{0, 20 * time.Millisecond} {
		for cut := range len(whole) {
			if stall > 0 && cut%10 != 0 {
				continue
			}
			server, err := stubhttp.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if !assert.Check(t, err) {
					return
				}
				_, _ = io.WriteString(conn, whole[:cut]) // the caller may have gone
				time.Sleep(stall)
				_ = conn.Close()
			}), stubhttp.NewGate())
			assert.NilError(t, err)
			_, err = servicehttp.NewClient(servicehttp.Options{}).Service("pallets-1", server.Address()).Call(t.Context(), newCall("a"))
			assertSent(t, err, upstream.SentSome)
			server.Close()
		}
	}
}

func TestPathCannotChangeTheAddress(t *testing.T) {
	stub, server := startStub(t)
	call := newCall("a")
	call.Path = "@127.0.0.1:1/"
	_, err := servicehttp.NewClient(servicehttp.Options{}).Service("pallets-1", server.Address()).Call(t.Context(), call)
	assert.ErrorContains(t, err, "does not begin with a slash")
	assertSent(t, err, upstream.SentNothing)
	assert.Equal(t, len(stub.Calls()), 0)
}
