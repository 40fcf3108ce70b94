package hedge

import (
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is a group of requests that take about the same time to their first byte or event.
type Class struct {
	Route string
	Size  int // from SizeClass
}

// SizeClass returns the class of a prompt: the number of binary digits of its tokens. Calls
// without a prompt have class 0.
func SizeClass(promptTokens int) int {
	return bits.Len(uint(max(promptTokens, 0)))
}

// minTokens returns the smallest prompt of a size class.
func minTokens(size int) int {
	if size == 0 {
		return 0
	}
	return 1 << (size - 1)
}

const (
	// windowLength and windows make times be forgotten after 45 to 60 seconds.
	windowLength = 15 * time.Second
	windows      = 4
	// resolution, longestTime and significantDigits are those of the histograms. A class
	// takes about 60 KB with them.
	resolution        = 100 * time.Microsecond
	longestTime       = time.Minute
	significantDigits = 2
	// minSamples is the least number of times that tell a quantile. High quantiles need more:
	// at least one time must lie beyond them.
	minSamples = 20
	// minDelay is the least delay of a second send. It is a few round trips to another
	// failure domain: below it, the cancellation of the slower send comes too late to save
	// work.
	minDelay = 5 * time.Millisecond
	// refreshInterval is how long a delay is used before it is computed again.
	refreshInterval = 250 * time.Millisecond
)

// times holds the recent times of one class.
type times struct {
	histogram *hdrhistogram.WindowedHistogram
	windowAt  time.Duration // start of the current window
	samples   int64         // when the delay was computed
	delay     time.Duration // 0 if there are too few samples
	delayAt   time.Duration // when it was computed
}

func newTimes(now time.Duration) *times {
	return &times{
		histogram: hdrhistogram.NewWindowed(windows, 1, int64(longestTime/resolution), significantDigits),
		windowAt:  now, delayAt: now - refreshInterval,
	}
}

func (t *times) turn(now time.Duration) {
	for turned := 0; now-t.windowAt >= windowLength; turned++ {
		if turned == windows {
			t.windowAt = now // all windows are empty
			return
		}
		t.histogram.Rotate()
		t.windowAt += windowLength
	}
}

func (t *times) record(took, now time.Duration) {
	t.turn(now)
	value := min(max(int64(took/resolution), 1), int64(longestTime/resolution))
	_ = t.histogram.Current.RecordValue(value) // it is within the range of the histogram
}

// refresh computes the delay anew if it is old.
func (t *times) refresh(quantile float64, now time.Duration) {
	if now-t.delayAt < refreshInterval {
		return
	}
	t.turn(now)
	t.delayAt = now
	merged := t.histogram.Merge()
	t.samples, t.delay = merged.TotalCount(), 0
	if float64(t.samples) >= max(minSamples, 1/(1-quantile)) {
		const percent = 100
		t.delay = max(time.Duration(merged.ValueAtPercentile(percent*quantile))*resolution, minDelay)
	}
}
