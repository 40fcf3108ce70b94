package faultproxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/internal/faultproxy"
)

const short = 100 * time.Millisecond

// echo is a server that sends back what it gets.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func open(t *testing.T) (*faultproxy.Proxy, net.Conn) {
	t.Helper()
	p, err := faultproxy.New("127.0.0.1:0", echo(t))
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	conn, err := net.Dial("tcp4", p.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, ask(conn, time.Second))
	return p, conn
}

func ask(conn net.Conn, wait time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte("hello")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 5))
	return err
}

func TestHeldBytesArriveWhenTheFaultEnds(t *testing.T) {
	for _, fault := range []faultproxy.Fault{{HoldToServer: true}, {HoldToClient: true}} {
		p, conn := open(t)
		p.Set(fault)
		assert.ErrorContains(t, ask(conn, short), "timeout")
		p.Set(faultproxy.Fault{})
		assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Second)))
		_, err := io.ReadFull(conn, make([]byte, 5))
		assert.NilError(t, err)
	}
}

func TestResetEndsOpenAndNewConnections(t *testing.T) {
	p, conn := open(t)
	p.Set(faultproxy.Fault{Reset: true})
	assert.ErrorContains(t, ask(conn, time.Second), "reset")
	again, err := net.Dial("tcp4", p.Address())
	if err == nil {
		err = ask(again, time.Second)
		_ = again.Close()
	}
	assert.Assert(t, err != nil)
	p.Set(faultproxy.Fault{})
	later, err := net.Dial("tcp4", p.Address())
	assert.NilError(t, err)
	assert.NilError(t, ask(later, time.Second))
	_ = later.Close()
}

func TestDelay(t *testing.T) {
	p, conn := open(t)
	p.Set(faultproxy.Fault{Delay: short})
	began := time.Now()
	assert.NilError(t, ask(conn, 5*time.Second))
	assert.Assert(t, time.Since(began) >= 2*short)
}
