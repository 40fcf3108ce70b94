package limit

import "time"

// Serve removes an item that Peek returned and that has been placed since. It
// returns false if the item is no longer queued.
func (q *FairQueue) Serve(now time.Time, id uint64) bool {
	item := q.items[id]
	if item == nil {
		return false
	}
	queue := &q.classes[item.Class]
	q.advance(now)
	queue.virtual = max(queue.virtual, item.start)
	q.countStreak(item)
	q.remove(item)
	q.drain.Add(float64(item.Tokens))
	return true
}
