package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the shortest time between two checks of the files.
const checkInterval = time.Second

// Files names the files of one host, all in PEM.
type Files struct {
	Certificate string // certificate chain of this host
	Key         string // private key of the certificate
	CA          string // CA certificates that sign those of peers and operators
}

// Options configure the reloading of a Pair. The zero value is valid.
type Options struct {
	// OnReload is called after a change of the files: with nil if the new
	// certificates are in use, otherwise with the error. It must not block.
	OnReload func(error)
	// Now replaces the clock in tests.
	Now func() time.Time
}

// Pair holds the certificates of one host and reloads them when their files
// change.
type Pair struct {
	files    Files
	onReload func(error)
	now      func() time.Time

	mu         sync.Mutex
	material   *material
	lastStamps stamps
	checkedAt  time.Time
}

// material is the parsed content of the files.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// stamps are the modification times and sizes of the three files.
type stamps [3]stamp

type stamp struct {
	modified time.Time
	size     int64
}

// Open loads the files. It fails if they are missing or invalid.
func Open(files Files, options Options) (*Pair, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.OnReload == nil {
		options.OnReload = func(error) {}
	}
	seen, err := files.stamps()
	if err != nil {
		return nil, err
	}
	loaded, err := files.read()
	if err != nil {
		return nil, err
	}
	return &Pair{
		files:      files,
		onReload:   options.OnReload,
		now:        options.Now,
		material:   loaded,
		lastStamps: seen,
		checkedAt:  options.Now(),
	}, nil
}

// current checks the files for changes and returns the last valid certificates.
func (p *Pair) current() *material {
	p.mu.Lock()
	changed, err := p.refresh()
	latest := p.material
	p.mu.Unlock()
	if changed {
		p.onReload(err)
	}
	return latest
}

// refresh reloads the files if they have changed since they were last read. It
// reports whether they have changed. The caller holds the lock.
func (p *Pair) refresh() (bool, error) {
	now := p.now()
	if age := now.Sub(p.checkedAt); age >= 0 && age < checkInterval {
		return false, nil
	}
	p.checkedAt = now
	seen, err := p.files.stamps()
	if seen == p.lastStamps {
		return false, nil
	}
	p.lastStamps = seen
	if err != nil {
		return true, err
	}
	loaded, err := p.files.read()
	if err != nil {
		return true, err
	}
	p.material = loaded
	return true, nil
}

// stamps returns the stamp of each file; that of a missing file is zero.
func (f Files) stamps() (stamps, error) {
	var seen stamps
	var errs []error
	for i, path := range []string{f.Certificate, f.Key, f.CA} {
		info, err := os.Stat(path)
		if err != nil {
			errs = append(errs, fmt.Errorf("stat TLS file: %w", err))
			continue
		}
		seen[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return seen, errors.Join(errs...)
}

func (f Files) read() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %q with key %q: %w", f.Certificate, f.Key, err)
	}
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("load CA: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("CA file %q contains no certificate", f.CA)
	}
	return &material{certificate: certificate, authorities: authorities}, nil
}
