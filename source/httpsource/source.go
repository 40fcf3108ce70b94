package httpsource

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/citronscale/citronscale/source"
)

// Paths and headers of the platform. docs/UPSTREAM-PROTOCOL.md describes them.
const (
	PathConfig     = "/v1/config"
	PathHosts      = "/v1/hosts"
	HeaderRevision = "Config-Revision"
	ParameterAfter = "after" // revision that the reader has
	ParameterWait  = "wait"  // longest time to wait, as a Go duration
)

const (
	dialTimeout      = 500 * time.Millisecond
	answerTimeout    = 2 * time.Second // in addition to the wait of a read
	idleTimeout      = 90 * time.Second
	maxDocumentBytes = 1 << 20
	maxHostListBytes = 16 << 20
)

// Source reads one address of the platform. It implements
// source.ConfigSource and source.HostList.
type Source struct {
	base      string
	transport *http.Transport
}

// New returns a source that reads the platform at address, an IP:port.
func New(address string) *Source {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Source{
		base: "http://" + address,
		transport: &http.Transport{
			DialContext:        dialer.DialContext,
			IdleConnTimeout:    idleTimeout,
			DisableCompression: true,
		},
	}
}

// Close closes the idle connections.
func (s *Source) Close() {
	s.transport.CloseIdleConnections()
}

// Read implements source.ConfigSource.
func (s *Source) Read(ctx context.Context, afterRevision uint64, wait time.Duration) (source.Document, error) {
	query := url.Values{}
	query.Set(ParameterAfter, strconv.FormatUint(afterRevision, 10))
	query.Set(ParameterWait, wait.String())
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	resp, err := s.get(ctx, PathConfig+"?"+query.Encode())
	if err != nil {
		return source.Document{}, fmt.Errorf("read configuration: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readDocument(resp)
}

func readDocument(resp *http.Response) (source.Document, error) {
	revision, err := strconv.ParseUint(resp.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return source.Document{}, fmt.Errorf("read configuration: status %d without a valid %s header", resp.StatusCode, HeaderRevision)
	}
	switch resp.StatusCode {
	case http.StatusNotModified:
		return source.Document{Revision: revision}, source.ErrUnchanged
	case http.StatusOK:
	default:
		return source.Document{}, fmt.Errorf("read configuration: status %d", resp.StatusCode)
	}
	data, err := readBounded(resp.Body, maxDocumentBytes)
	if err != nil {
		return source.Document{}, fmt.Errorf("read configuration: %w", err)
	}
	return source.Document{Revision: revision, Data: data}, nil
}

// Hosts implements source.HostList.
func (s *Source) Hosts(ctx context.Context) ([]source.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	resp, err := s.get(ctx, PathHosts)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read host list: status %d", resp.StatusCode)
	}
	data, err := readBounded(resp.Body, maxHostListBytes)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	var list List
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	return list.entries(), nil
}

func (s *Source) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+path, nil)
	if err != nil {
		return nil, err
	}
	return s.transport.RoundTrip(req)
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("answer is longer than %d bytes", limit)
	}
	return data, nil
}
