package limit

// itemHeap orders items by their virtual start; it implements heap.Interface.
type itemHeap []*Item

// Len implements sort.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h itemHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].ID < h[j].ID
}

// Swap implements sort.Interface.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
