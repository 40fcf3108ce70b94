package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronscale/citronscale/internal/cmdline"
	"github.com/citronscale/citronscale/internal/stub/platformstub"
	"github.com/citronscale/citronscale/internal/stub/stubhttp"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// statusOf returns the HTTP status code of a GET, or zero if the request fails.
func statusOf(url string) int {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// TestSecondSignalDoesNotEndProcess guards against a second SIGTERM that ends the
// daemon within its grace period: the daemon must keep serving and exit normally.
func TestSecondSignalDoesNotEndProcess(t *testing.T) {
	// Without this handler, a signal after the daemon has ended would end the test
	// process.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)

	platform := platformstub.New()
	server, err := stubhttp.Listen("127.0.0.1:0", platform.Handler(), platform.Gate)
	assert.NilError(t, err)
	defer server.Close()
	platform.Publish(0, []byte("format = 1\n[defaults]\nleaving_grace_ms = 2_000\nheartbeat_period_ms = 50\n"))
	operators := freeAddress(t)
	file := filepath.Join(t.TempDir(), "host.toml")
	text := fmt.Sprintf("[host]\nname = \"host-1\"\nfailure_domain = \"domain-1\"\n[listen]\ncallers = %q\npeers = %q\noperators = %q\n[platform]\nconfig = [%q]\nhost_list = [%q]\n",
		freeAddress(t), freeAddress(t), operators, server.Address(), server.Address())
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))

	exit := make(chan int, 1)
	go func() { exit <- Main([]string{"--settings", file}, io.Discard, io.Discard) }()
	awaitReadiness(t, operators, http.StatusOK)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	awaitReadiness(t, operators, http.StatusServiceUnavailable)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	for range 2 {
		<-signals
	}
	assert.Equal(t, statusOf("http://"+operators+"/livez"), http.StatusOK)
	assert.Equal(t, <-exit, cmdline.ExitOK)
}

func awaitReadiness(t *testing.T, address string, status int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := statusOf("http://" + address + "/readyz"); got != status {
			return poll.Continue("readyz answers %d, want %d", got, status)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}
