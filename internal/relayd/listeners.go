package relayd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/hedge"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/relay"
)

const (
	// headerTimeout and idleTimeout apply to callers. The published limits may
	// change while connections are open. These values are well above them, so that
	// no caller within the published limits is disconnected.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	writeTimeout  = 10 * time.Second
	// maxHeaderBytes is several times the published limit.
	maxHeaderBytes = 64 << 10
)

type listeners struct {
	callers   *http.Server
	auxiliary []*http.Server
	log       *event.Logger
}

// listen opens all listeners and starts to serve them.
func (d *Daemon) listen() (*listeners, error) {
	l := &listeners{log: d.log}
	readiness := http.NewServeMux()
	readiness.HandleFunc("/ready", d.serveReadiness)
	operators := http.NewServeMux()
	operators.Handle("/metrics", d.metrics.Handler())
	operators.HandleFunc("/dump", d.serveDump)
	operators.HandleFunc("GET /explain", d.serveExplain)
	l.callers = &http.Server{
		Handler: d.relay, ConnContext: relay.ConnContext,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	if err := l.serve(l.callers, d.settings.Listen.Callers); err != nil {
		return nil, err
	}
	for _, endpoint := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{d.settings.Listen.Readiness, readiness},
		{d.settings.Listen.Operators, operators},
		{d.settings.Listen.Metrics, operators},
	} {
		if !endpoint.address.IsValid() {
			continue
		}
		server := &http.Server{Handler: endpoint.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
		l.auxiliary = append(l.auxiliary, server)
		if err := l.serve(server, endpoint.address); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *listeners) serve(server *http.Server, address netip.AddrPort) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			l.log.Emit(event.ListenerFailed).Stringer("address", address).Err(err).Msg("")
		}
	}()
	return nil
}

// close waits for the requests in flight until the deadline, then closes their
// connections.
func (l *listeners) close(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := l.callers.Shutdown(ctx); err != nil {
		l.log.Emit(event.RequestsCut).Err(err).Msg("")
		_ = l.callers.Close() // the process ends
	}
	for _, server := range l.auxiliary {
		_ = server.Close() // the process ends
	}
}

// dump is the JSON form of the process state for operators.
type dump struct {
	Host      string        `json:"host"`
	State     string        `json:"state"`
	Ready     bool          `json:"ready"`
	Version   uint64        `json:"config_version"`
	ConfigAge time.Duration `json:"config_age_ns"`
	SourceEra uint64        `json:"source_era"` // 0 if the platform tells none
	// ConfigRead tells whether the newest published configuration was read, ConfigWhole whether
	// all of it was.
	ConfigRead  bool `json:"config_read"`
	ConfigWhole bool `json:"config_whole"`

	InFlight  int64    `json:"in_flight"`
	Hosts     int      `json:"hosts"`
	Group     int      `json:"group"`  // number of the group in the failure domain
	Groups    int      `json:"groups"` // of the failure domain; 0 if all hosts are one group
	Rank      int      `json:"rank"`   // in the group; the first ranks read the platform for the others
	Upstreams []string `json:"upstreams"`
	Evacuated []string `json:"evacuated"` // failure domains
	Streams   any      `json:"streams"`

	Quarantines []relay.QuarantineEntry `json:"quarantines"` // combinations of prompt parts that are refused
	Limits      []relay.LimitEntry      `json:"limits"`      // upstreams that name the rate of requests that they take, or are cold
	Paces       []relay.PaceEntry       `json:"paces"`       // engines that are slower than published
	Hedging     *hedge.State            `json:"hedging"`     // null if it is off
	Standings   []relay.StandingEntry   `json:"standings"`   // upstreams that said that they leave, or asked for a pause

	Admission relay.AdmissionEntry `json:"admission"` // streams that wait for room, and the work of the teams
}

func (d *Daemon) serveDump(w http.ResponseWriter, _ *http.Request) {
	now := boottime.Now()
	d.mu.Lock()
	state := string(d.machine.State())
	d.mu.Unlock()
	out := dump{
		Host: d.settings.Host, State: state, Ready: d.ready.Load(), ConfigAge: d.routes.Age(now), SourceEra: d.feed.Eras().Era,
		InFlight: d.relay.InFlight(), Hosts: d.node.Hosts(), Upstreams: d.upstreams.IDs(), Evacuated: d.upstreams.Evacuated(), Streams: d.ledger.All(now),
		Quarantines: d.quarantine.Entries(now), Limits: d.relay.Limits(now), Admission: d.relay.Admission(now), Standings: d.relay.Standings(now),
		Hedging: d.relay.Hedging(now),
	}
	out.Group, out.Groups = d.node.Group()
	out.Rank = d.node.Rank()
	out.ConfigRead, out.ConfigWhole = d.feed.ConfigReading()
	out.Paces = d.relay.Paces(now)
	if table := d.routes.Table(); table != nil {
		out.Version = table.Version()
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		d.log.Emit(event.OutputFailed).Err(err).Msg("write a dump")
	}
}
