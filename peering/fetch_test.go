package peering

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/mirror"
)

// endlessPeer answers a request with a head and then the same bytes until the connection is closed.
func endlessPeer(t *testing.T, head, repeat string) (address netip.AddrPort, open *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	open = &atomic.Int64{}
	flood := []byte(strings.Repeat(repeat, 1+4096/len(repeat)))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Add(-1)
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := conn.Write([]byte(head))
				for err == nil {
					_, err = conn.Write(flood)
				}
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort(), open
}

// A peer whose answer has no end costs one fetch, and its connection is closed.
func TestEndlessAnswerOfAPeerIsCut(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	for _, c := range []struct{ name, head, repeat string }{
		{"no answer", "", "\x00\xff garbage "},
		{"header line", head + "X-Long: ", "very "},
		{"header lines", head, "X-More: value\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		{"body", head + "\r\n", "0123456789"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"},
		{"compressed body", head + "Content-Encoding: gzip\r\n\r\n\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff", "\x00\x00\x00\xff\xff"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			peer, open := endlessPeer(t, c.head, c.repeat)
			n := &Node{options: Options{Local: netip.AddrPortFrom(netip.Addr{}, peer.Port())}, http: fetchClient()}
			started := boottime.Now()
			_, err := n.Fetch(t.Context(), peer.Addr(), mirror.Position{})
			assert.Assert(t, err != nil)
			assert.Assert(t, boottime.Now()-started < 20*fetchTimeout)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if open.Load() == 0 {
					return poll.Success()
				}
				return poll.Continue("%d connections are open", open.Load())
			}, poll.WithTimeout(20*time.Second))
		})
	}
}
