package peering

import "time"

// position orders the datagrams of one host.
type position struct {
	incarnation uint32 // shortened
	sequence    uint64
	receivedAt  time.Duration
}

// on returns the position as if it had been received with another one.
func (p position) on(other position) position {
	p.receivedAt = other.receivedAt
	return p
}

// before reports whether q is newer. The incarnation is the wall-clock time of
// the start of a host, and the clock may be set back while it restarts; so a
// lower incarnation is accepted after two heartbeat intervals without a datagram.
func (p position) before(q position) bool {
	if p.incarnation == q.incarnation {
		return p.sequence < q.sequence
	}
	return p.incarnation < q.incarnation || q.receivedAt-p.receivedAt > 2*heartbeatInterval
}
