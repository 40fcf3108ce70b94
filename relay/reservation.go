package relay

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/citronscale/citronscale/event"
)

const (
	// reservationTTL is the time after which a reservation expires unless it is
	// renewed. Memory without a holder counts as leaked four seconds after its
	// last use; reservationTTL is shorter, so that a host that crashes leaks none.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval is the interval of renewals. A reservation outlasts two failed
	// renewals in a row.
	renewInterval = 1100 * time.Millisecond
	// releaseAttempts is the number of attempts to release a reservation. If all
	// fail, the reservation expires after reservationTTL.
	releaseAttempts = 2
)

// memoryPart is the reserved memory of one engine.
type memoryPart struct {
	address, id string
	tokens      int
}

// reservation is the memory that is reserved for one stream at its helpers.
type reservation struct {
	s     *Server
	parts []memoryPart
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// reserve reserves the same number of tokens at all addresses. If one fails, it
// releases all and returns an error.
func (s *Server) reserve(ctx context.Context, stream uint64, addresses []string, tokens int) (*reservation, error) {
	r := &reservation{s: s}
	for i, address := range addresses {
		id := s.options.Host + "-" + strconv.FormatInt(s.started, 36) + "-" + strconv.FormatUint(stream, 36) + "-" + strconv.Itoa(i)
		r.parts = append(r.parts, memoryPart{address: address, id: id, tokens: tokens})
	}
	renewCtx, stop := context.WithCancel(context.Background())
	r.stop = stop
	if err := r.renew(ctx); err != nil {
		r.release()
		return nil, err
	}
	r.done.Go(func() { r.renewLoop(renewCtx) })
	return r, nil
}

// renew renews the memory of all engines concurrently.
func (r *reservation) renew(ctx context.Context) error {
	errs := make([]error, len(r.parts))
	var wg sync.WaitGroup
	for i, part := range r.parts {
		wg.Go(func() { errs[i] = r.s.memory.Reserve(ctx, part.address, part.id, part.tokens, reservationTTL) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (r *reservation) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := r.renew(ctx); err != nil && ctx.Err() == nil {
				r.s.log.Emit(event.UpstreamOrderFailed).Err(err).Msg("renew memory reservation")
			}
		}
	}
}

// release releases the memory in the background and returns at once.
func (r *reservation) release() {
	r.stop()
	go func() {
		r.done.Wait()
		for _, part := range r.parts {
			r.releasePart(part)
		}
	}()
}

func (r *reservation) releasePart(part memoryPart) {
	var err error
	for range releaseAttempts {
		if err = r.s.memory.Release(context.Background(), part.address, part.id); err == nil {
			return
		}
	}
	r.s.log.Emit(event.UpstreamOrderFailed).Str("reservation", part.id).Str("address", part.address).Err(err).Msg("release memory reservation")
}
