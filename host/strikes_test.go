package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/strike"
)

// A crash is detected twice: by the attempt that failed, and by the next report
// of the restarted engine. Content that started in between did not run during
// the crash and must get no strike.
func TestCrashStrikesOnlyRunningContent(t *testing.T) {
	now := time.Now()
	crashing, harmless := strike.DigestOf("model", "crashes"), strike.DigestOf("model", "harmless")
	s := newStrikes()
	for _, incarnation := range []uint64{7, 8} {
		assert.Assert(t, s.judge(now, crashing) != strike.Refuse)
		assert.Assert(t, s.startTrial(crashing, strike.Isolate))
		end := s.begin("engine-2", crashing)
		assert.Equal(t, s.crashed(now, "engine-2", incarnation), 1)
		end()
		s.endTrial(crashing)
		endHarmless := s.begin("engine-2", harmless)
		assert.Equal(t, s.crashed(now, "engine-2", incarnation), 0)
		endHarmless()
	}
	assert.Equal(t, s.judge(now, crashing), strike.Refuse)
	assert.Equal(t, s.judge(now, harmless), strike.Allow)
}
