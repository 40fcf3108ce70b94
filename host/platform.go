package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/settings"
	"github.com/citronscale/citronscale/source"
	"github.com/citronscale/citronscale/source/httpsource"
)

const (
	watchWait      = 20 * time.Second       // longest wait of one watch of the configuration
	sourceBackoff  = time.Second            // mean pause after a failed read of the platform
	minReadPause   = 100 * time.Millisecond // mean pause after a successful read
	hostListPeriod = 2 * time.Second        // mean time between two reads of the host list
)

// platformReader reads the platform at the first address that answers.
type platformReader struct {
	config   []*httpsource.Source
	hostList []*httpsource.Source
	failures atomic.Uint32 // counts failures; selects the next address
}

func newPlatformReader(p settings.Platform) *platformReader {
	return &platformReader{config: newSources(p.Config), hostList: newSources(p.HostList)}
}

func newSources(addresses []netip.AddrPort) []*httpsource.Source {
	sources := make([]*httpsource.Source, 0, len(addresses))
	for _, address := range addresses {
		sources = append(sources, httpsource.New(address.String()))
	}
	return sources
}

// Read implements source.ConfigSource.
func (p *platformReader) Read(ctx context.Context, afterRevision uint64, wait time.Duration) (source.Document, error) {
	document, err := p.selectSource(p.config).Read(ctx, afterRevision, wait)
	p.countFailure(err)
	return document, err
}

// Hosts implements source.HostList.
func (p *platformReader) Hosts(ctx context.Context) ([]source.Entry, error) {
	list, err := p.selectSource(p.hostList).Hosts(ctx)
	p.countFailure(err)
	return list, err
}

func (p *platformReader) selectSource(sources []*httpsource.Source) *httpsource.Source {
	return sources[int(p.failures.Load())%len(sources)]
}

func (p *platformReader) countFailure(err error) {
	if err != nil && !errors.Is(err, source.ErrUnchanged) {
		p.failures.Add(1)
	}
}

func (p *platformReader) close() {
	for _, sources := range [][]*httpsource.Source{p.config, p.hostList} {
		for _, source := range sources {
			source.Close()
		}
	}
}

// watchConfig polls the configuration service for new revisions, with a long
// wait if this host watches for its failure domain and rarely otherwise.
func (h *Host) watchConfig(ctx context.Context) {
	down := false
	for ctx.Err() == nil {
		wait := watchWait
		if !h.agreement.watches() {
			ctxtime.Sleep(ctx, jitter(unwatchedReadPeriod))
			wait = 0
		}
		requestedAt := time.Now()
		knownRevision := h.agreement.highestRevisionSeen()
		document, err := h.platform.Read(ctx, knownRevision, wait)
		failed := err != nil && !errors.Is(err, source.ErrUnchanged)
		if failed != down && ctx.Err() == nil {
			h.logSourceChange(failed, err)
		}
		down = failed
		switch {
		case failed:
			ctxtime.Sleep(ctx, jitter(sourceBackoff))
		case err == nil:
			h.offerConfig(document, sourceService)
			ctxtime.Sleep(ctx, jitter(minReadPause))
		case document.Revision < knownRevision:
			h.log.Emit(event.ConfigOlder).Uint64("revision", document.Revision).Uint64("known", knownRevision).Msg("")
			ctxtime.Sleep(ctx, jitter(sourceBackoff))
		case time.Since(requestedAt) < wait/2:
			ctxtime.Sleep(ctx, jitter(sourceBackoff)) // limits the rate of reads if the service answers without waiting
		}
	}
}

const sourceService = "service"

func (h *Host) logSourceChange(down bool, err error) {
	if down {
		h.log.Emit(event.ConfigSourceDown).Err(err).Msg("")
		return
	}
	h.log.Emit(event.ConfigSourceBack).Msg("")
}

// pollHostList reads the host list periodically. If the platform can't be read
// and the list is too old, it fetches the list of a peer.
func (h *Host) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := h.platform.Hosts(ctx)
		switch {
		case err == nil:
			h.useHostList(list, time.Now())
		case h.hosts.age(time.Now()) > maxHostListAge:
			h.fetchHosts(ctx)
		}
		ctxtime.Sleep(ctx, jitter(hostListPeriod))
	}
}

// useHostList applies a host list that was read from the platform at readAt,
// unless a newer one is in use.
func (h *Host) useHostList(list []source.Entry, readAt time.Time) {
	if !h.hosts.replace(list, readAt) {
		return
	}
	now := time.Now()
	h.applyUpstreamChanges(h.directory.UpdateList(now, list))
	h.agreement.useHostList(now, list)
	h.placement.putEngines(h.directory.Engines())
}

// jitter returns a random duration with the given mean, so that hosts that
// failed at the same time don't retry at the same time.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)))
}
