package source

import (
	"context"
	"errors"
	"time"
)

// ErrUnchanged means that the wait ended without a newer revision.
var ErrUnchanged = errors.New("no newer configuration revision published")

// Document is one published configuration.
type Document struct {
	Revision uint64
	Data     []byte
}

// ConfigSource reads the configuration service.
type ConfigSource interface {
	// Read returns the published document once its revision exceeds
	// afterRevision, waiting for up to wait. If that does not happen, it returns
	// ErrUnchanged and a Document that holds only the published revision; a
	// revision below afterRevision means that the service is stale or was
	// restored to an older state. Callers without a document pass zero. One call
	// is one read of the service.
	Read(ctx context.Context, afterRevision uint64, wait time.Duration) (Document, error)
}

// Roles of entries in the host list.
const (
	RoleHost    = "host"
	RoleEngine  = "engine"
	RoleService = "service"
)

// Entry is one line of the host list.
type Entry struct {
	Name          string
	Role          string // RoleHost, RoleEngine or RoleService
	Address       string // IP:port that serves callers or accepts work
	PeerAddress   string // IP:port of the peer listener of a host
	FailureDomain string
	Model         string // of an engine
	Service       string // name of the plain service
	Leaving       bool
	ChecksFence   bool // the engine refuses orders with an old fencing token
}

// HostList reads the list of live and leaving hosts and upstreams. The list may
// be out of date.
type HostList interface {
	Hosts(ctx context.Context) ([]Entry, error)
}
