package place

import (
	"slices"
	"sync"
	"time"
)

// Stream is a stream that this host or a peer has placed. Times are readings of the
// clock of this host.
type Stream struct {
	ID           uint64
	Engines      []uint64 // keys of engines; the first one decodes the answer
	Prompt       int      // tokens
	Answer       int      // expected tokens
	PlacedAt     time.Duration
	Decoding     bool // the first event has arrived
	FirstEventAt time.Duration
	Holders      int           // number of the first helpers that keep their part in memory
	Share        int           // tokens that each of these keeps; the first engine keeps the rest
	Goal         time.Duration // from PlacedAt until the first event is late
	GapGoal      time.Duration
	Team         uint16 // digest of its team; 0: not told
}

// peerStreams holds the streams in the latest announcement of a peer.
type peerStreams struct {
	streams    []Stream
	receivedAt time.Duration
}

// peerTimeout is how long an announcement of a peer is used. It covers the loss of two
// refreshes in a row between groups of hosts.
const peerTimeout = 5 * time.Second

// Ledger holds the active streams by the host that placed them.
type Ledger struct {
	mu    sync.Mutex
	own   map[uint64]*Stream
	peers map[string]peerStreams
	heard func()
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{own: map[uint64]*Stream{}, peers: map[string]peerStreams{}}
}

// OnPeers sets a function that is called after each announcement of a peer. It must not
// block, and must be set before the ledger is shared.
func (l *Ledger) OnPeers(heard func()) {
	l.heard = heard
}

func (l *Ledger) notify() {
	if l.heard != nil {
		l.heard()
	}
}

// Begin adds a stream of this host.
func (l *Ledger) Begin(stream Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[stream.ID] = &stream
}

// FirstEvent records the time of the first event of a stream of this host.
func (l *Ledger) FirstEvent(id uint64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stream, ok := l.own[id]; ok {
		stream.Decoding, stream.FirstEventAt = true, now
	}
}

// End removes a stream of this host.
func (l *Ledger) End(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.own, id)
}

// Own returns a copy of the streams of this host.
func (l *Ledger) Own() []Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	streams := make([]Stream, 0, len(l.own))
	for _, stream := range l.own {
		streams = append(streams, *stream)
	}
	return streams
}

// SetPeer replaces the streams of a peer.
func (l *Ledger) SetPeer(peer string, streams []Stream, now time.Duration) {
	defer l.notify() // after the lock is released
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[peer] = peerStreams{streams: streams, receivedAt: now}
}

// UpdatePeer adds or replaces some streams of a peer and removes those that ended.
func (l *Ledger) UpdatePeer(peer string, changed []Stream, ended []uint64, now time.Duration) {
	defer l.notify() // after the lock is released
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.peers[peer].streams
	if now-l.peers[peer].receivedAt > peerTimeout {
		known = nil
	}
	streams := make([]Stream, 0, len(known)+len(changed))
	for _, stream := range known {
		replaced := func(s Stream) bool { return s.ID == stream.ID }
		if !slices.Contains(ended, stream.ID) && !slices.ContainsFunc(changed, replaced) {
			streams = append(streams, stream)
		}
	}
	l.peers[peer] = peerStreams{streams: append(streams, changed...), receivedAt: now}
}

// All returns the streams of this host and of all peers whose announcement has not
// timed out.
func (l *Ledger) All(now time.Duration) []Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	streams := make([]Stream, 0, 2*len(l.own)+len(l.peers))
	for _, stream := range l.own {
		streams = append(streams, *stream)
	}
	for name, p := range l.peers {
		if now-p.receivedAt > peerTimeout {
			delete(l.peers, name)
			continue
		}
		streams = append(streams, p.streams...)
	}
	return streams
}
