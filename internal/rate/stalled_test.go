package rate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A backlog that has just formed says little about the rate: the first requests would be
// refused before anything can have drained.
func TestNewBacklogIsNoStandstill(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	var d Drain
	d.Advance(start, true)
	d.Advance(start.Add(100*time.Millisecond), true)
	wait := d.Time(1000, time.Hour)
	assert.Assert(t, wait >= 90*time.Millisecond && wait <= 200*time.Millisecond, "%v after 100 ms", wait)
	for second := range 60 {
		d.Advance(start.Add(time.Duration(second+1)*time.Second), true)
	}
	wait = d.Time(1000, time.Hour)
	assert.Assert(t, wait >= 5*time.Second, "%v after a minute", wait)
}
