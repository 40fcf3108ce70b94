// Package throttle keeps the requests of all hosts to an upstream within the rate that
// the upstream names in its answers.
package throttle

import (
	"sync"
	"time"
)

// named is what the latest answer of an upstream says of its rate. Times are readings of
// the clock of this host.
type named struct {
	limited bool
	rate    float64 // requests a second
	at      time.Duration
}

// Book holds the rates that upstreams name, by the keys of the upstreams. It is safe for
// concurrent use.
type Book struct {
	mu    sync.Mutex
	names map[uint32]named
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{names: map[uint32]named{}}
}

// Named records the rate in an answer of an upstream, or that it names none. It reports
// whether that is a change.
func (b *Book) Named(key uint32, limited bool, rate float64, at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, known := b.names[key]
	if at < before.at || !known && !limited {
		return false
	}
	b.names[key] = named{limited, rate, at}
	return limited != before.limited || limited && rate != before.rate
}
