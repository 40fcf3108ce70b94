package peering

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	loadv1 "github.com/citronscale/citronscale/api/load/v1"
	"github.com/citronscale/citronscale/api/load/v1/loadv1connect"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/mirror"
)

const (
	// fetchTimeout is the timeout of a fetch: a large configuration over a slow link.
	fetchTimeout = time.Second
	// fetchDialTimeout bounds the time until a peer accepts a connection.
	fetchDialTimeout = 250 * time.Millisecond
	// fetchIdleTimeout closes connections between changes, because a connection may
	// go silent without an error while it is idle.
	fetchIdleTimeout = 2 * time.Second
	// maxFetchBytes bounds a response, maxRequestBytes a request and maxHeadBytes the
	// headers of both.
	maxFetchBytes   = 16 << 20
	maxRequestBytes = 1 << 10
	maxHeadBytes    = 16 << 10
	// minCompressBytes is the size from which values are sent compressed: a
	// configuration, not the entry of an upstream.
	minCompressBytes = 4 << 10
)

// Fetched is the answer of a peer to Fetch.
type Fetched struct {
	Delta mirror.Delta
	AsOf  time.Duration // on the clock of this host; the content was the newest then
	// Recovered is the time since the source answered the peer again after an outage.
	Recovered time.Duration
}

// entryServer serves the entries of a host to its peers.
type entryServer struct {
	parts Parts

	mu         sync.Mutex
	compressed map[string]compressedValue // by key
}

// compressedValue is a compressed value, kept because all hosts of a group fetch it
// at about the same time.
type compressedValue struct {
	position mirror.Position
	data     []byte
}

// Fetch implements loadv1connect.MirrorServiceHandler.
func (s *entryServer) Fetch(_ context.Context, request *connect.Request[loadv1.FetchRequest]) (*connect.Response[loadv1.FetchResponse], error) {
	age := s.parts.Age() // before the entries, as in a confirmation
	delta := s.parts.Mirror.Since(mirror.Position{Era: request.Msg.GetEra(), Revision: request.Msg.GetPosition()})
	response := &loadv1.FetchResponse{
		Position: delta.Position.Revision, Era: delta.Position.Era, Complete: delta.Complete, AgeMs: ageMillis(age), RecoveredMs: ageMillis(s.parts.SourceOutageAge()),
		Keys: delta.Keys,
	}
	for _, e := range delta.Entries {
		out := &loadv1.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
		if len(e.Value) >= minCompressBytes {
			data, err := s.compress(e, delta.Position.Era)
			if err != nil {
				return nil, connect.NewError(connect.CodeInternal, err)
			}
			out.Value, out.Compressed = data, true
		}
		response.Entries = append(response.Entries, out)
	}
	return connect.NewResponse(response), nil
}

func (s *entryServer) compress(e mirror.Entry, era uint64) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := mirror.Position{Era: era, Revision: e.Revision}
	if known, ok := s.compressed[e.Key]; ok && known.position == position {
		return known.data, nil
	}
	data, err := mirror.Compress(e.Value)
	if err != nil {
		return nil, err
	}
	s.compressed[e.Key] = compressedValue{position, data}
	return data, nil
}

// fetchClient returns the client that reads entries from peers.
func fetchClient() *http.Client {
	dialer := &net.Dialer{Timeout: fetchDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: fetchIdleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// Fetch reads the entries that changed after a position from a peer.
func (n *Node) Fetch(ctx context.Context, peer netip.Addr, position mirror.Position) (Fetched, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	requestedAt := boottime.Now()
	client := loadv1connect.NewMirrorServiceClient(n.http, "http://"+netip.AddrPortFrom(peer, n.options.Local.Port()).String(),
		connect.WithReadMaxBytes(maxFetchBytes), connect.WithAcceptCompression("gzip", nil, nil))
	response, err := client.Fetch(ctx, connect.NewRequest(&loadv1.FetchRequest{Position: position.Revision, Era: position.Era}))
	if err != nil {
		n.http.CloseIdleConnections() // they may share the broken path
		return Fetched{}, fmt.Errorf("fetch entries from peer %s: %w", peer, err)
	}
	m := response.Msg
	f := Fetched{
		Delta:     mirror.Delta{Position: mirror.Position{Era: m.GetEra(), Revision: m.GetPosition()}, Complete: m.GetComplete(), Keys: m.GetKeys()},
		AsOf:      requestedAt - time.Duration(min(m.GetAgeMs(), maxAgeMillis))*time.Millisecond,
		Recovered: time.Duration(min(m.GetRecoveredMs(), maxAgeMillis)) * time.Millisecond,
	}
	for _, e := range m.GetEntries() {
		value := e.GetValue()
		if e.GetCompressed() {
			if value, err = mirror.Decompress(value); err != nil {
				return Fetched{}, fmt.Errorf("entry %q of peer %s: %w", e.GetKey(), peer, err)
			}
		}
		f.Delta.Entries = append(f.Delta.Entries, mirror.Entry{Key: e.GetKey(), Value: value, Revision: e.GetRevision(), Deleted: e.GetDeleted()})
	}
	return f, nil
}

// listenEntries serves the entries on the TCP port with the number of the datagram
// port.
func (n *Node) listenEntries() error {
	listener, err := net.Listen("tcp4", n.options.Local.String())
	if err != nil {
		return fmt.Errorf("listen for peers at %s: %w", n.options.Local, err)
	}
	mux := http.NewServeMux()
	mux.Handle(loadv1connect.NewMirrorServiceHandler(&entryServer{parts: n.parts, compressed: map[string]compressedValue{}}, connect.WithReadMaxBytes(maxRequestBytes)))
	n.server = &http.Server{Handler: mux, ReadTimeout: fetchTimeout, WriteTimeout: 2 * fetchTimeout, IdleTimeout: 2 * fetchIdleTimeout, MaxHeaderBytes: maxHeadBytes}
	go func() {
		if err := n.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.parts.Log.Emit(event.ListenerFailed).Stringer("address", n.options.Local).Err(err).Msg("")
		}
	}()
	return nil
}
