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

// checkInterval is the shortest time between two looks at the files.
const checkInterval = time.Second

// Files names the files of one host, all in PEM.
type Files struct {
	Certificate string // certificate chain of this host
	Key         string // private key of the certificate
	CA          string // certificates that sign those of peers and operators
}

// Options change how a Pair follows its files. The zero value is valid.
type Options struct {
	// Changed is called after new certificates came into use, with a nil error,
	// or after a change of the files that can't be used. It must not block.
	Changed func(error)
	// Now replaces the clock in tests.
	Now func() time.Time
}

// Pair holds the certificates of one host and follows their files.
type Pair struct {
	files   Files
	changed func(error)
	now     func() time.Time

	mu        sync.Mutex
	material  *material
	seen      stamps
	checkedAt time.Time
}

// material is what one reading of the files gave.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// stamps are the states of the files when they were last read.
type stamps [3]stamp

type stamp struct {
	modified time.Time
	size     int64
}

// Open reads the files. It fails if they can't be used.
func Open(files Files, options Options) (*Pair, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Changed == nil {
		options.Changed = func(error) {}
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
		files:     files,
		changed:   options.Changed,
		now:       options.Now,
		material:  loaded,
		seen:      seen,
		checkedAt: options.Now(),
	}, nil
}

// current returns the last good certificates, after a look at the files.
func (p *Pair) current() *material {
	p.mu.Lock()
	reread, err := p.refresh()
	found := p.material
	p.mu.Unlock()
	if reread {
		p.changed(err)
	}
	return found
}

// refresh reads the files if they changed since the last reading and reports
// whether it did. The caller holds the lock.
func (p *Pair) refresh() (bool, error) {
	now := p.now()
	if age := now.Sub(p.checkedAt); age >= 0 && age < checkInterval {
		return false, nil
	}
	p.checkedAt = now
	seen, err := p.files.stamps()
	if seen == p.seen {
		return false, nil
	}
	p.seen = seen
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

// stamps returns the state of each file; that of a missing file is zero.
func (f Files) stamps() (stamps, error) {
	var seen stamps
	var errs []error
	for i, path := range []string{f.Certificate, f.Key, f.CA} {
		info, err := os.Stat(path)
		if err != nil {
			errs = append(errs, fmt.Errorf("look at TLS file: %w", err))
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
		return nil, fmt.Errorf("CA file %q holds no certificate", f.CA)
	}
	return &material{certificate: certificate, authorities: authorities}, nil
}
