package relay

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/citronscale/citronscale/internal/sentconn"
)

// newTransport returns a transport that opens a connection for each attempt.
// An upstream may close or lose an idle connection at any time, and what was
// sent on it may then have run; late bytes of an earlier answer can't be taken
// for the next one either. Bodies have no GetBody, so nothing is sent twice.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
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
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}
