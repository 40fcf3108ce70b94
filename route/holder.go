package route

import (
	"sync"
	"time"
)

// Holder keeps the table in force and the time at which it was last known to
// be the newest. Times are readings of a clock that counts suspended time.
type Holder struct {
	mu        sync.RWMutex
	table     *Table
	confirmed time.Duration
}

// Accept puts a table in force if it is newer than the one before, and reports
// whether it did. The table was the newest one at asOf.
func (h *Holder) Accept(t *Table, asOf time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil && t.Version() < h.table.Version() {
		return false
	}
	newer := h.table == nil || t.Version() > h.table.Version()
	if newer {
		h.table = t
	}
	h.confirmed = max(h.confirmed, asOf)
	return newer
}

// Confirm records that no newer configuration was published before asOf.
func (h *Holder) Confirm(asOf time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed = max(h.confirmed, asOf)
}

// Table returns the table in force, or nil before the first.
func (h *Holder) Table() *Table {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.table
}

// Age returns how long ago the table in force was confirmed.
func (h *Holder) Age(now time.Duration) time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return now - h.confirmed
}
