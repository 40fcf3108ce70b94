package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/strike"
)

// A crash is noticed twice: by the attempt that broke, and by the next report of
// the restarted engine. What began there in between did not run beside the
// content that crashed it.
func TestCrashStrikesOnlyWhatRanThen(t *testing.T) {
	now := time.Now()
	guilty, innocent := strike.DigestOf("model", "crashes"), strike.DigestOf("model", "harmless")
	s := newStrikes()
	for _, incarnation := range []uint64{7, 8} {
		assert.Assert(t, s.judge(now, guilty) != strike.Refuse)
		assert.Assert(t, s.startTrial(guilty, strike.Isolate))
		end := s.begin("engine-2", guilty)
		assert.Equal(t, s.crashed(now, "engine-2", incarnation), 1)
		end()
		s.endTrial(guilty)
		endInnocent := s.begin("engine-2", innocent)
		assert.Equal(t, s.crashed(now, "engine-2", incarnation), 0)
		endInnocent()
	}
	assert.Equal(t, s.judge(now, guilty), strike.Refuse)
	assert.Equal(t, s.judge(now, innocent), strike.Allow)
}
