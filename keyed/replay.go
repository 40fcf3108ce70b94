package keyed

import (
	"time"

	"github.com/citronscale/citronscale/ident"
)

const (
	wordBits = 64
	// replayWindow is the number of requests of one entry host that may reach
	// the issuer out of order.
	replayWindow = 8192
	// MaxOrigins bounds the entry host incarnations tracked at once.
	MaxOrigins = 4096
)

// origin is an incarnation of an entry host.
type origin struct {
	host        ident.Host
	incarnation ident.Incarnation
}

// replayGuard admits each copy once: a copy whose caller received "not run" must
// not run when the network delivers it a second time.
type replayGuard struct {
	windows map[origin]*window
}

// window records which of the latest requests of one origin were decided.
type window struct {
	highest  uint64
	decided  [replayWindow / wordBits]uint64
	lastSeen time.Time
}

// admit records a copy and reports whether it is the first with its identifier.
// A copy that can't be tracked is not admitted. An origin that was idle for the
// lifetime of a key may be removed: every key that it sent has expired by then.
func (g *replayGuard) admit(now time.Time, request ident.Request, lifetime time.Duration) bool {
	from := origin{request.Host, request.Incarnation}
	tracked, ok := g.windows[from]
	if !ok {
		if len(g.windows) >= MaxOrigins {
			g.removeIdle(now, lifetime)
		}
		if len(g.windows) >= MaxOrigins {
			return false
		}
		tracked = &window{}
		g.windows[from] = tracked
	}
	tracked.lastSeen = now
	return tracked.admit(request.Sequence)
}

func (g *replayGuard) removeIdle(now time.Time, lifetime time.Duration) {
	for from, tracked := range g.windows {
		if now.Sub(tracked.lastSeen) >= lifetime {
			delete(g.windows, from)
		}
	}
}

func (w *window) admit(sequence uint64) bool {
	if sequence+replayWindow <= w.highest {
		return false
	}
	for ; w.highest < sequence; w.highest++ {
		if sequence-w.highest > replayWindow {
			w.highest = sequence - replayWindow
		}
		w.clear(w.highest + 1)
	}
	word, bit := position(sequence)
	first := w.decided[word]&bit == 0
	w.decided[word] |= bit
	return first
}

func (w *window) clear(sequence uint64) {
	word, bit := position(sequence)
	w.decided[word] &^= bit
}

func position(sequence uint64) (word int, bit uint64) {
	slot := sequence % replayWindow
	return int(slot / wordBits), 1 << (slot % wordBits)
}
