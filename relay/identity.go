package relay

import (
	"context"
	"time"

	"github.com/citronscale/citronscale/fleet"
)

// Identity is what a process says of itself.
type Identity struct {
	// Known tells that the process has the identifier that discovery gave for it.
	Known bool
	// Started is the start of the process in Unix milliseconds of its own clock, or 0 if it
	// doesn't say. A process may take over the identifier of the one before.
	Started int64
	// Cold is the rest of its warm-up, 0 if it is warm or doesn't say.
	Cold time.Duration
}

// Identifier asks processes who they are.
type Identifier interface {
	// Identify asks the process at the address of an upstream. It fails if no process with
	// the identifier of the upstream answers there. A process that tells its start is asked
	// for its identifier only if the start of the one before it isn't known.
	Identify(ctx context.Context, u fleet.Upstream, healthPath string, startKnown bool) (Identity, error)
}
