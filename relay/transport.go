package relay

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/citronscale/citronscale/internal/sentconn"
)

// newTransport returns a transport that opens a connection for each attempt. An
// upstream may close an idle connection at any time, and a request that was sent
// on it may then have run. On a reused connection, late bytes of an earlier
// answer could also be read as the next answer. Requests have no GetBody, so that
// net/http does not send them twice.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return &http.Transport{
		DialContext:            sentconn.Dial(dialer.DialContext),
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10, // several times what upstreams send
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}
