package strike

import (
	"container/list"
	"time"
)

// startCache holds the latest starts of the identifiers that started last.
type startCache struct {
	size    int
	entries map[uint64]*list.Element
	order   *list.List // of Start, the latest first
}

func newStartCache(size int) *startCache {
	return &startCache{size: size, entries: map[uint64]*list.Element{}, order: list.New()}
}

func (c *startCache) put(id uint64, at time.Duration) {
	if e, ok := c.entries[id]; ok {
		e.Value = Start{id, max(at, e.Value.(Start).At)}
		c.order.MoveToFront(e)
		return
	}
	c.entries[id] = c.order.PushFront(Start{id, at})
	if c.order.Len() > c.size {
		last := c.order.Back()
		delete(c.entries, c.order.Remove(last).(Start).ID)
	}
}

func (c *startCache) get(id uint64) (time.Duration, bool) {
	e, ok := c.entries[id]
	if !ok {
		return 0, false
	}
	return e.Value.(Start).At, true
}
