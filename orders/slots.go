package orders

import (
	"slices"
	"time"

	"github.com/citronscale/citronscale/ident"
)

// minSlotLength is the shortest slot length: each host plans at least once in it.
const minSlotLength = time.Second

// pullSchedule divides the pull rate of the weight store over time and hosts.
type pullSchedule struct {
	length time.Duration
	pulls  int64 // per slot
}

func newPullSchedule(pullsPerSecond float64) pullSchedule {
	length := max(minSlotLength, time.Duration(float64(time.Second)/pullsPerSecond))
	return pullSchedule{length: length, pulls: max(1, int64(pullsPerSecond*length.Seconds()))}
}

// at returns the number and the end of the slot that contains now.
func (s pullSchedule) at(now time.Time) (number int64, end time.Time) {
	number = now.UnixNano() / int64(s.length)
	return number, time.Unix(0, (number+1)*int64(s.length))
}

// share returns how many pulls of a slot are assigned to the host. Successive
// pulls are assigned to the sorted hosts in turn, also across slots.
func (s pullSchedule) share(number int64, self ident.Host, hosts []ident.Host) int64 {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	index, ok := slices.BinarySearch(sorted, self)
	if !ok {
		return 0
	}
	count := int64(len(sorted))
	first := number % count * (s.pulls % count) % count
	offset := (int64(index) - first + count) % count
	if offset >= s.pulls {
		return 0
	}
	return (s.pulls-offset-1)/count + 1
}
