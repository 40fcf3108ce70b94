package route

import (
	"sync"
	"time"
)

// Holder holds the current table and the time as of which it was last confirmed
// as the newest. Times are readings of a clock that includes suspended time.
type Holder struct {
	mu        sync.RWMutex
	table     *Table
	confirmed time.Duration // 0 before the first confirmation
}

// Accept replaces the current table if t has a higher version and reports
// whether it did. The table was the newest published one at asOf.
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

// Table returns the current table, or nil if none was accepted yet.
func (h *Holder) Table() *Table {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.table
}

// Age returns the time since the current table was last confirmed. A table that was
// never confirmed is older than any limit, also on a machine that has just booted.
func (h *Holder) Age(now time.Duration) time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.confirmed == 0 {
		return neverConfirmed
	}
	return now - h.confirmed
}

const neverConfirmed = 24 * time.Hour
