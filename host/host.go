package host

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/directory"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/buffer"
	"github.com/citronscale/citronscale/lease"
	"github.com/citronscale/citronscale/membership"
	"github.com/citronscale/citronscale/metrics"
	"github.com/citronscale/citronscale/settings"
	"github.com/citronscale/citronscale/tlsfiles"
)

// Host is one entry host process.
type Host struct {
	settings    *settings.Settings
	self        ident.Host
	incarnation ident.Incarnation
	log         *event.Logger
	metrics     *metrics.Metrics
	pool        *buffer.Pool
	lifecycle   *lifecycle
	agreement   *agreement
	clients     *clients
	directory   *directory.Directory
	fetching    atomic.Bool // a configuration is being fetched from a peer
	platform    *platformReader
	hosts       hostList
	placement   *placement
	tls         *tlsfiles.Pair // nil without certificates
	peers       *peerClients
	strikes     *strikes
	planner     *planner
	records     *records
	issuer      *issuer
	policy      policyGate
	listeners   []*listener
}

// New provisions a host. It opens no listener and starts no goroutine.
func New(s *settings.Settings, log *event.Logger) (*Host, error) {
	if err := chart.LoadAll(); err != nil {
		return nil, err
	}
	instruments, err := metrics.New()
	if err != nil {
		return nil, err
	}
	incarnation := ident.Incarnation(time.Now().UnixNano())
	placement, err := newPlacement(lease.Holder{Host: s.Host.Name, Incarnation: incarnation}, s, time.Now())
	if err != nil {
		return nil, err
	}
	pair, err := openTLS(s.TLS, log)
	if err != nil {
		return nil, err
	}
	self := membership.Self{
		Host: s.Host.Name, Incarnation: incarnation,
		PeerAddress: s.Listen.Peers.String(), FailureDomain: s.Host.FailureDomain,
	}
	pool := buffer.NewPool(s.Limits.BufferBytes)
	upstreams := newClients(pool)
	h := &Host{
		settings:    s,
		self:        s.Host.Name,
		incarnation: incarnation,
		log:         log,
		metrics:     instruments,
		pool:        pool,
		lifecycle:   newLifecycle(log),
		agreement:   newAgreement(self, time.Now()),
		placement:   placement,
		tls:         pair,
		peers:       newPeerClients(clientTLS(pair), instruments),
		strikes:     newStrikes(),
		planner:     newPlanner(time.Now()),
		clients:     upstreams,
		directory:   directory.New(upstreams),
		platform:    newPlatformReader(s.Platform),
		records:     newRecords(s.Host.Name, incarnation, s.Record.Capacity),
		issuer:      newIssuer(s.Host.Name, incarnation, initialKeyLifetime),
	}
	if err := instruments.ObserveGauges(h.gauges); err != nil {
		return nil, err
	}
	return h, nil
}

// Run opens the listeners and serves until ctx ends and the planned stop that
// follows is complete. An error means that the host could not start or that a
// listener failed.
func (h *Host) Run(ctx context.Context) error {
	if err := h.open(); err != nil {
		return err
	}
	defer h.Cleanup()
	h.log.Emit(event.ProcessStarting).Str("host", string(h.self)).
		Stringer("callers", h.settings.Listen.Callers).Stringer("peers", h.settings.Listen.Peers).
		Stringer("operators", h.settings.Listen.Operators).Msg("")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, work := errgroup.WithContext(work)
	for _, l := range h.listeners {
		group.Go(l.serve)
	}
	for _, loop := range h.loops() {
		group.Go(func() error {
			loop(work)
			return nil
		})
	}
	group.Go(func() error {
		defer cancel()
		h.awaitStop(ctx, work)
		return nil
	})
	return group.Wait()
}

// loops returns the periodic jobs of the host.
func (h *Host) loops() []func(context.Context) {
	return []func(context.Context){
		h.watchConfig,
		h.pollHostList,
		h.updateOwnedEngines,
		h.manageOwnedEngines,
		h.sampleEngines,
		h.renewLeases,
		h.sendHeartbeats,
	}
}

func (h *Host) open() error {
	limits := gateway.Limits{
		MaxBodyBytes: h.settings.Limits.MaxBodyBytes,
		ReadTimeout:  h.settings.Limits.ReadTimeout.Std(),
		WriteTimeout: h.settings.Limits.WriteTimeout.Std(),
	}
	addresses := h.settings.Listen
	specs := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		tls     *tls.Config
	}{
		{listenerCallers, addresses.Callers, gateway.New(h, limits, h.pool, h.log), nil},
		{listenerPeers, addresses.Peers, h.peerHandler(), serverTLS(h.tls)},
		{listenerOperators, addresses.Operators, h.operatorHandler(), serverTLS(h.tls)},
	}
	for _, spec := range specs {
		l, err := h.openListener(spec.name, spec.address, spec.handler, spec.tls)
		if err != nil {
			return err
		}
		h.listeners = append(h.listeners, l)
	}
	return nil
}

// awaitStop waits until ctx ends or a listener fails. After the end of ctx it
// carries out the planned stop and shuts the listeners down.
func (h *Host) awaitStop(ctx, work context.Context) {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return
	}
	h.lifecycle.leave(time.Now(), h.leavingGrace())
	ticker := time.NewTicker(idleCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-h.lifecycle.idle:
			h.shutdown()
			return
		case <-work.Done():
			return
		case now := <-ticker.C:
			h.lifecycle.checkIdle(now)
		}
	}
}

const (
	idleCheckPeriod = 50 * time.Millisecond
	shutdownMargin  = 5 * time.Second
)

func (h *Host) leavingGrace() time.Duration {
	cfg, ok := h.agreement.config()
	if !ok {
		return 0
	}
	return cfg.Fleet().LeavingGrace
}

// shutdown closes the listeners. It waits for request bodies and answers that
// are still in transfer, at most for the read timeout, the write timeout and a
// margin.
func (h *Host) shutdown() {
	limits := h.settings.Limits
	timeout := limits.ReadTimeout.Std() + limits.WriteTimeout.Std() + shutdownMargin
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, l := range h.listeners {
		l.shutdown(ctx)
	}
}

// Cleanup closes the listeners and connections that Run left open. It may be
// called more than once.
func (h *Host) Cleanup() {
	for _, l := range h.listeners {
		_ = l.server.Close()
	}
	h.platform.close()
	h.peers.close()
	h.clients.engines.Close()
}
