package capacity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// peerCertificate returns a self-signed P-256 certificate and a pool with it.
func peerCertificate(b *testing.B) (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(b, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "host-1"}, DNSNames: []string{"host-1"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(b, err)
	leaf, err := x509.ParseCertificate(der)
	assert.NilError(b, err)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// BenchmarkPeerHandshake measures a mutual TLS handshake between two hosts:
// the processor time of both sides and the bytes in both directions, without
// those of TCP.
func BenchmarkPeerHandshake(b *testing.B) {
	certificate, pool := peerCertificate(b)
	server := &tls.Config{Certificates: []tls.Certificate{certificate}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}
	client := &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool, ServerName: "host-1", MinVersion: tls.VersionTLS13}
	var written atomic.Int64
	for b.Loop() {
		left, right := net.Pipe()
		accepted := make(chan error, 1)
		go func() {
			conn := tls.Server(countingConn{right, &written}, server)
			err := conn.Handshake()
			if err == nil {
				_, err = conn.Write([]byte{1})
			}
			accepted <- err
		}()
		conn := tls.Client(countingConn{left, &written}, client)
		assert.NilError(b, conn.Handshake())
		var first [1]byte
		_, err := conn.Read(first[:])
		assert.NilError(b, err)
		assert.NilError(b, <-accepted)
		_ = left.Close()
	}
	b.ReportMetric(float64(written.Load())/float64(b.N), "bytes")
}
