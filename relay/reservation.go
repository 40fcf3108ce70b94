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
	// holdFor is how long an engine keeps memory aside without hearing of it
	// again: less than the time after which memory without a holder counts as
	// lost, four seconds after its last use, so that a host that dies loses none.
	holdFor = 3500 * time.Millisecond
	// renewEvery lets two renewals in a row fail.
	renewEvery = 1100 * time.Millisecond
	// releaseTries bounds how often a release is repeated; the memory then runs
	// out by itself after holdFor.
	releaseTries = 2
)

// held is a part of the memory of one engine.
type held struct {
	address, id string
	tokens      int
}

// reservation is the memory that one stream holds at its helpers.
type reservation struct {
	s    *Server
	held []held
	stop context.CancelFunc
	done sync.WaitGroup
}

// reserve sets the same number of tokens aside at all addresses, or at none.
func (s *Server) reserve(ctx context.Context, stream uint64, addresses []string, tokens int) (*reservation, error) {
	r := &reservation{s: s}
	for i, address := range addresses {
		id := s.options.Host + "-" + strconv.FormatInt(s.started, 36) + "-" + strconv.FormatUint(stream, 36) + "-" + strconv.Itoa(i)
		r.held = append(r.held, held{address: address, id: id, tokens: tokens})
	}
	renewing, stop := context.WithCancel(context.Background())
	r.stop = stop
	if err := r.renew(ctx); err != nil {
		r.release()
		return nil, err
	}
	r.done.Go(func() { r.keep(renewing) })
	return r, nil
}

// renew asks all engines at the same time.
func (r *reservation) renew(ctx context.Context) error {
	failed := make([]error, len(r.held))
	var wg sync.WaitGroup
	for i, h := range r.held {
		wg.Go(func() { failed[i] = r.s.memory.Reserve(ctx, h.address, h.id, h.tokens, holdFor) })
	}
	wg.Wait()
	return errors.Join(failed...)
}

func (r *reservation) keep(ctx context.Context) {
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := r.renew(ctx); err != nil && ctx.Err() == nil {
				r.s.log.Emit(event.UpstreamOrderFailed).Err(err).Msg("renew memory")
			}
		}
	}
}

// release gives the memory back. It does not wait for the engines.
func (r *reservation) release() {
	r.stop()
	go func() {
		r.done.Wait()
		for _, h := range r.held {
			r.releaseOne(h)
		}
	}()
}

func (r *reservation) releaseOne(h held) {
	var err error
	for range releaseTries {
		if err = r.s.memory.Release(context.Background(), h.address, h.id); err == nil {
			return
		}
	}
	r.s.log.Emit(event.UpstreamOrderFailed).Str("reservation", h.id).Str("address", h.address).Err(err).Msg("release memory")
}
