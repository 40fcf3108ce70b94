package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// ServerConfig returns the configuration of a listener that accepts only
// clients with a certificate signed by the CA.
func (p *Pair) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := p.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{m.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.authorities,
				// A resumed session would admit a client whose CA was withdrawn.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the configuration of a client of listeners that use
// ServerConfig. Hosts are dialed by IP address and may be replaced at any time, so
// the certificate of the server must be signed by the CA but need not contain its
// address.
func (p *Pair) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &p.current().certificate, nil
		},
		// VerifyConnection verifies the chain against the current CA.
		InsecureSkipVerify: true,
		VerifyConnection:   p.verifyServer,
	}
}

func (p *Pair) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("server presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         p.current().authorities,
		Intermediates: intermediates,
		CurrentTime:   p.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("verify server certificate: %w", err)
	}
	return nil
}
