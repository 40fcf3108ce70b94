package place

import (
	"sync"
	"time"
)

// Work is one stream that some host has placed. Times are readings of the
// clock of this host.
type Work struct {
	ID        uint64
	Engines   []uint64 // keys of engines; the first one writes the answer
	Prompt    int      // tokens
	Answer    int      // expected tokens
	PlacedAt  time.Duration
	Writing   bool // the first event has come
	WritingAt time.Duration
	Holders   int           // the first helpers that hold a part of the prompt in their memory
	Share     int           // tokens that each of them holds; the first engine holds the rest
	Goal      time.Duration // after PlacedAt the first event is late
	GapGoal   time.Duration
}

// peerWork is what one peer last said.
type peerWork struct {
	works   []Work
	heardAt time.Duration
}

// peerMemory is how long the word of a silent peer counts. Peers repeat
// themselves every second; a stream rarely lasts longer than this.
const peerMemory = 4 * time.Second

// Ledger is the streams under way, by the host that placed them.
type Ledger struct {
	mu    sync.Mutex
	own   map[uint64]*Work
	peers map[string]peerWork
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{own: map[uint64]*Work{}, peers: map[string]peerWork{}}
}

// Begin records a stream of this host.
func (l *Ledger) Begin(w Work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[w.ID] = &w
}

// FirstEvent records that a stream of this host began to write.
func (l *Ledger) FirstEvent(id uint64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w, ok := l.own[id]; ok {
		w.Writing, w.WritingAt = true, now
	}
}

// End forgets a stream of this host.
func (l *Ledger) End(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.own, id)
}

// Own returns a copy of the streams of this host.
func (l *Ledger) Own() []Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	works := make([]Work, 0, len(l.own))
	for _, w := range l.own {
		works = append(works, *w)
	}
	return works
}

// Heard replaces what is known of the streams of a peer.
func (l *Ledger) Heard(peer string, works []Work, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[peer] = peerWork{works: works, heardAt: now}
}

// All returns the streams of this host and of all peers heard lately.
func (l *Ledger) All(now time.Duration) []Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	works := make([]Work, 0, 2*len(l.own)+len(l.peers))
	for _, w := range l.own {
		works = append(works, *w)
	}
	for name, p := range l.peers {
		if now-p.heardAt > peerMemory {
			delete(l.peers, name)
			continue
		}
		works = append(works, p.works...)
	}
	return works
}
