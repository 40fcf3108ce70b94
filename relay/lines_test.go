package relay

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/event"
)

func TestLogLinesAreLimitedAndDropsReported(t *testing.T) {
	var out bytes.Buffer
	logger := event.NewLogger(&log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &out}})
	l := newLineLimiter()
	start := time.Unix(100, 0)
	allowed := 0
	for n := range 1000 {
		if l.allow(true, start.Add(time.Duration(n)*time.Millisecond), logger) {
			allowed++
		}
	}
	assert.Assert(t, allowed >= answeredLinesPerSecond && allowed <= 2*answeredLinesPerSecond, "%d lines in a second", allowed)
	assert.Assert(t, l.allow(false, start.Add(time.Second), logger), "failures have a limit of their own")
	assert.Assert(t, strings.Contains(out.String(), `"name":"lines dropped"`), out.String())
}
