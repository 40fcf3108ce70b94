package relay

import (
	"context"
	"testing"
	"time"

	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/route"
)

// Guards against a process that ends when it is suspended while an attempt starts: the
// timer fires before it is stored.
func TestTimerIsStoredBeforeItFires(t *testing.T) {
	for range 200 {
		x := &exchange{route: &route.Route{Kind: route.AtMostOnce}, deadlineAt: boottime.Now() + time.Hour}
		checked := make(chan struct{}, 1)
		_, cancel := context.WithCancel(t.Context())
		a := &attempt{x: x, cancel: cancel, takeFailOver: func() bool {
			select {
			case checked <- struct{}{}:
			default: // it may fire once more
			}
			return false
		}}
		a.startTimer(0)
		<-checked
		a.timer.Stop()
		cancel()
	}
}
