package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testClock is a clock that moves only when a test calls advance.
type testClock struct{ now time.Time }

func (c *testClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func open(t *testing.T, files Files, options Options) *Pair {
	t.Helper()
	p, err := Open(files, options)
	assert.NilError(t, err)
	return p
}

// handshake connects a client to a server and returns the serial number of
// the server's certificate, or the first error of the client.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte{1}) // runs the handshake, which checks the client
		_ = conn.Close()
	}()
	defer func() { <-served }()
	defer func() { _ = listener.Close() }()
	rawConn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = rawConn.Close() }()
	conn := tls.Client(rawConn, client)
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestHandshakeIsMutual(t *testing.T) {
	trustedCA, untrustedCA := newAuthority(t), newAuthority(t)
	host := open(t, trustedCA.newFiles(t, 10), Options{})
	peer := open(t, trustedCA.newFiles(t, 11), Options{})
	untrusted := open(t, untrustedCA.newFiles(t, 12), Options{})

	serial, err := handshake(t, host.ServerConfig(), peer.ClientConfig())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(10))

	anonymous := &tls.Config{InsecureSkipVerify: true}
	_, err = handshake(t, host.ServerConfig(), anonymous)
	assert.ErrorContains(t, err, "certificate required")

	nonVerifying := untrusted.ClientConfig()
	nonVerifying.VerifyConnection = nil
	_, err = handshake(t, host.ServerConfig(), nonVerifying)
	assert.ErrorContains(t, err, "remote error: tls")

	_, err = handshake(t, untrusted.ServerConfig(), peer.ClientConfig())
	assert.ErrorContains(t, err, "unknown authority")
}

func TestClientCertificateIsRejectedForServers(t *testing.T) {
	ca := newAuthority(t)
	files := paths(t)
	ca.issue(t, files, 20, x509.ExtKeyUsageClientAuth)
	operator := open(t, files, Options{})
	host := open(t, ca.newFiles(t, 21), Options{})
	_, err := handshake(t, operator.ServerConfig(), host.ClientConfig())
	assert.ErrorContains(t, err, "incompatible key usage")
	_, err = handshake(t, host.ServerConfig(), operator.ClientConfig())
	assert.NilError(t, err)
}

func TestChangedFilesAreReloaded(t *testing.T) {
	ca := newAuthority(t)
	files := ca.newFiles(t, 30)
	clock := &testClock{now: time.Now()}
	var reports []error
	host := open(t, files, Options{Now: func() time.Time { return clock.now }, OnReload: func(err error) { reports = append(reports, err) }})
	peer := open(t, ca.newFiles(t, 31), Options{})

	ca.issue(t, files, 32, x509.ExtKeyUsageServerAuth)
	serial, err := handshake(t, host.ServerConfig(), peer.ClientConfig())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(30), "the files are checked once a second")

	clock.advance(checkInterval)
	serial, err = handshake(t, host.ServerConfig(), peer.ClientConfig())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(32))
	assert.Equal(t, len(reports), 1)
	assert.NilError(t, reports[0])
}

func TestInvalidFileKeepsLastValidCertificate(t *testing.T) {
	ca := newAuthority(t)
	corruptions := map[string]func(Files){
		"missing certificate": func(f Files) { assert.NilError(t, os.Remove(f.Certificate)) },
		"cut key":             func(f Files) { write(t, f.Key, []byte("-----BEGIN")) },
		"empty CA":            func(f Files) { write(t, f.CA, nil) },
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			files := ca.newFiles(t, 40)
			clock := &testClock{now: time.Now()}
			var reports []error
			host := open(t, files, Options{Now: func() time.Time { return clock.now }, OnReload: func(err error) { reports = append(reports, err) }})
			peer := open(t, ca.newFiles(t, 41), Options{})
			corrupt(files)
			for range 3 {
				clock.advance(checkInterval)
				serial, err := handshake(t, host.ServerConfig(), peer.ClientConfig())
				assert.NilError(t, err)
				assert.Equal(t, serial, int64(40))
			}
			assert.Equal(t, len(reports), 1, "one report for one change")
			assert.Assert(t, reports[0] != nil)

			ca.issue(t, files, 42, x509.ExtKeyUsageServerAuth)
			clock.advance(checkInterval)
			serial, err := handshake(t, host.ServerConfig(), peer.ClientConfig())
			assert.NilError(t, err)
			assert.Equal(t, serial, int64(42))
			assert.NilError(t, reports[len(reports)-1])
		})
	}
}

func TestWithdrawnCAIsRejected(t *testing.T) {
	oldCA, newCA := newAuthority(t), newAuthority(t)
	files := oldCA.newFiles(t, 50)
	clock := &testClock{now: time.Now()}
	host := open(t, files, Options{Now: func() time.Time { return clock.now }})
	oldPeer := open(t, oldCA.newFiles(t, 51), Options{})
	newCA.issue(t, files, 52, x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth)
	clock.advance(checkInterval)

	nonVerifying := oldPeer.ClientConfig()
	nonVerifying.VerifyConnection = nil
	_, err := handshake(t, host.ServerConfig(), nonVerifying)
	assert.ErrorContains(t, err, "remote error: tls")
	_, err = handshake(t, oldPeer.ServerConfig(), host.ClientConfig())
	assert.ErrorContains(t, err, "unknown authority")
}

func TestOpenErrorContainsThePath(t *testing.T) {
	files := newAuthority(t).newFiles(t, 60)
	assert.NilError(t, os.Remove(files.CA))
	_, err := Open(files, Options{})
	assert.ErrorContains(t, err, files.CA)
}
