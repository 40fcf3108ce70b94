package host

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/upstream"
)

var errConnectionBroke = errors.New("unexpected EOF")

// scriptedEngine fails its first reports and then reports an incarnation.
type scriptedEngine struct {
	failures    []error
	incarnation uint64
}

func (e *scriptedEngine) Report(context.Context) (*upstream.Report, error) {
	if len(e.failures) > 0 {
		err := e.failures[0]
		e.failures = e.failures[1:]
		return nil, err
	}
	return &upstream.Report{Incarnation: e.incarnation}, nil
}

// After a stream has broken, the probe may fail on another connection that the
// crash broke. If that failure ended the probe, the crash would go undetected
// and the content would get no strike.
func TestProbeDistinguishesCrashFromBrokenConnection(t *testing.T) {
	broken := &upstream.Error{Upstream: "engine-1", Sent: upstream.SentSome, Err: errConnectionBroke}
	refusing := &upstream.Error{Upstream: "engine-1", Sent: upstream.SentNothing, Err: errConnectionBroke}
	const before = 7
	cases := []struct {
		name   string
		engine scriptedEngine
		want   bool
	}{
		{"restarted", scriptedEngine{incarnation: 8}, true},
		{"alive", scriptedEngine{incarnation: before}, false},
		{"refuses", scriptedEngine{failures: []error{refusing}}, true},
		{"kept connection broke, restarted", scriptedEngine{failures: []error{broken}, incarnation: 8}, true},
		{"kept connection broke, refuses", scriptedEngine{failures: []error{broken, refusing}}, true},
		{"kept connection broke, alive", scriptedEngine{failures: []error{broken}, incarnation: before}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			report, refused := reportOrRefusal(ctx, "engine-1", &c.engine)
			assert.Equal(t, crashed(before, report, refused), c.want)
		})
	}
}
