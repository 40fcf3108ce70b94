package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "test"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
	}
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	root := template(1)
	root.IsCA = true
	root.BasicConstraintsValid = true
	root.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, root, root, &key.PublicKey, key)
	assert.NilError(t, err)
	parsed, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{certificate: parsed, key: key, pem: encode("CERTIFICATE", der)}
}

// issue writes the files: a new certificate with the serial number, its key, and
// the CA.
func (a *authority) issue(t *testing.T, files Files, serial int64, usages ...x509.ExtKeyUsage) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	leaf := template(serial)
	leaf.ExtKeyUsage = usages
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	write(t, files.Certificate, encode("CERTIFICATE", der))
	write(t, files.Key, encode("PRIVATE KEY", keyDER))
	write(t, files.CA, a.pem)
}

// newFiles writes files to a new directory, with a certificate that is valid for
// clients and servers.
func (a *authority) newFiles(t *testing.T, serial int64) Files {
	t.Helper()
	files := paths(t)
	a.issue(t, files, serial, x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth)
	return files
}

func paths(t *testing.T) Files {
	dir := t.TempDir()
	return Files{
		Certificate: filepath.Join(dir, "host.pem"),
		Key:         filepath.Join(dir, "host.key"),
		CA:          filepath.Join(dir, "ca.pem"),
	}
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}
