// Package rewind decides what stays in use when the source of the published entries comes back
// from an older copy of itself.
//
// Such a copy lacks what was written since it was made, and still has what was removed since.
// Both are written again, but not at once. Until then a Book tells which entries of the copy are
// believed: the processes of upstreams are told apart by their start, and what this host has
// seen removed or ended lately stays so. Nothing read from the copy confirms a configuration at
// first, because a newer one may not have been written again yet.
//
// It answers this load: callers go on as usual while the source is away for a moment, upstreams
// come and go, and keys are withdrawn.
//
// A Book does no I/O and has no clock. It is not safe for concurrent use.
package rewind

import (
	"time"

	"github.com/citronscale/citronscale/fleet"
)

const (
	// rewriteTime is the time in which what the copy lacks is written again. The platform
	// states about two seconds for entries of upstreams.
	rewriteTime = 2200 * time.Millisecond
	// entryLife is longer than the time after which the entry of a silent upstream expires.
	entryLife = 5 * time.Second
	// memory is how long removals are remembered. Copies are some seconds old.
	memory = time.Minute
)

// Verdict is what to do with the entry of an upstream in a copy.
type Verdict int

// Verdicts.
const (
	Use   Verdict = iota + 1 // as any other entry
	Keep                     // what is known of the upstream is newer
	Doubt                    // the upstream has gone, unless its entry is written again
)

// Book remembers what was removed lately. The zero value is ready for use.
type Book struct {
	gone   map[string]departure     // upstreams, by identifier
	lifted map[string]time.Duration // ends of evacuations, by failure domain

	began         time.Duration // of the current era
	rewound       bool          // the current era is not the first one
	configWritten bool          // in the current era
}

// departure is an upstream that was removed.
type departure struct {
	started int64 // as in fleet.Upstream
	at      time.Duration
}

// Gone records that an upstream was removed.
func (b *Book) Gone(u fleet.Upstream, now time.Duration) {
	if b.gone == nil {
		b.gone = map[string]departure{}
	}
	for id, d := range b.gone {
		if now-d.at > memory {
			delete(b.gone, id)
		}
	}
	b.gone[u.ID] = departure{u.Started, now}
}

// Lifted records that the evacuation of a failure domain has ended.
func (b *Book) Lifted(domain string, now time.Duration) {
	if b.lifted == nil {
		b.lifted = map[string]time.Duration{}
	}
	for other, at := range b.lifted {
		if now-at > memory {
			delete(b.lifted, other)
		}
	}
	b.lifted[domain] = now
}

// Begin records that the source has come back from an older copy.
func (b *Book) Begin(now time.Duration) {
	b.began, b.rewound, b.configWritten = now, true, false
}

// ConfigWritten records that a configuration as new as the one in force was written after the
// source came back.
func (b *Book) ConfigWritten() {
	b.configWritten = true
}

// Settling reports whether the source may still lack what will be written again.
func (b *Book) Settling(now time.Duration) bool {
	return b.rewound && now-b.began < rewriteTime
}

// MayConfirm reports whether what the source says confirms the configuration in force.
func (b *Book) MayConfirm(now time.Duration) bool {
	return b.configWritten || !b.Settling(now)
}

// Expiring reports whether entries of upstreams that have gone may not have expired yet.
func (b *Book) Expiring(now time.Duration) bool {
	return b.rewound && now-b.began < entryLife
}

// Upstream returns what to do with the entry of an upstream in a copy. known is what the host
// knows of it, or nil.
func (b *Book) Upstream(listed fleet.Upstream, known *fleet.Upstream, now time.Duration) Verdict {
	if known != nil {
		other := listed.Started != 0 && known.Started != 0 && listed.Started != known.Started
		switch {
		case other && listed.Started < known.Started:
			return Keep
		case !other && known.Draining && !listed.Draining:
			return Keep // a process doesn't take back that it leaves
		default:
			return Use
		}
	}
	d, gone := b.gone[listed.ID]
	if !gone || now-d.at > memory || listed.Started != 0 && d.started != 0 && listed.Started > d.started {
		return Use
	}
	return Doubt
}

// Evacuation reports whether an evacuation in a copy is in force. One that has ended lately is
// not.
func (b *Book) Evacuation(domain string, now time.Duration) bool {
	at, ended := b.lifted[domain]
	return !ended || now-at > memory
}
