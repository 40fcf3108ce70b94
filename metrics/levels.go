package metrics

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
)

// Gauges are the values of the gauges of a host at one time.
type Gauges struct {
	RequestsInFlight int
	TokensInFlight   uint64 // prompt and answer tokens of the requests in flight
	ConfigRevision   uint64
	ConfigAge        time.Duration // since the revision came into force here
	BufferUsed       int64         // bytes
	BufferLimit      int64         // bytes
	Peers            []PeerCount
	UpstreamsUp      int
	UpstreamsKnown   int
}

// RelayGauges are the values of the gauges of a relay host at one time.
type RelayGauges struct {
	EvacuatedDomains int
	ColdUpstreams    int // whose service bounds the requests to cold ones
	SourceEra        uint64
	SourceRestores   int64 // times that the source came back from an older copy
	FormerEraAnswers int64
	ConfigRejected   bool // the newest published configuration
	ConfigInPart     bool // the one in force is not all that was published
}

// ObserveRelayGauges registers read as the source of the gauges of a relay host. The
// function is called at each scrape and must not block for long. The daemon calls
// ObserveRelayGauges once.
func (m *Metrics) ObserveRelayGauges(read func() RelayGauges) error {
	if m == nil {
		return nil
	}
	g := m.relay
	_, err := m.gauges.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		now := read()
		o.ObserveInt64(g.evacuated, int64(now.EvacuatedDomains))
		o.ObserveInt64(g.cold, int64(now.ColdUpstreams))
		o.ObserveInt64(g.era, int64(now.SourceEra))
		o.ObserveInt64(g.restores, now.SourceRestores)
		o.ObserveInt64(g.formerEra, now.FormerEraAnswers)
		o.ObserveInt64(g.rejected, oneIf(now.ConfigRejected))
		o.ObserveInt64(g.inPart, oneIf(now.ConfigInPart))
		return nil
	}, g.evacuated, g.cold, g.era, g.restores, g.formerEra, g.rejected, g.inPart)
	return err
}

func oneIf(holds bool) int64 {
	if holds {
		return 1
	}
	return 0
}

// PeerCount is the number of peers in one state.
type PeerCount struct {
	State peerv1.HostState
	Count int
}

// gauges are the instruments that are read at each scrape.
type gauges struct {
	meter          metric.Meter
	requests       metric.Int64ObservableGauge
	tokens         metric.Int64ObservableGauge
	revision       metric.Int64ObservableGauge
	age            metric.Float64ObservableGauge
	bufferUsed     metric.Int64ObservableGauge
	bufferLimit    metric.Int64ObservableGauge
	peers          metric.Int64ObservableGauge
	upstreamsUp    metric.Int64ObservableGauge
	upstreamsKnown metric.Int64ObservableGauge
}

func (b *builder) gauges() *gauges {
	return &gauges{
		meter:          b.meter,
		requests:       b.gauge("requests_in_flight", "", "Requests of callers in flight."),
		tokens:         b.gauge("tokens_in_flight", "", "Prompt and answer tokens of the requests in flight."),
		revision:       b.gauge("config_revision", "", "Configuration revision in force."),
		age:            b.secondsGauge("config_age", "Time since the revision came into force."),
		bufferUsed:     b.gauge("buffer_used", "By", "Bytes of bodies and answers held in buffers."),
		bufferLimit:    b.gauge("buffer_limit", "By", "Bytes of bodies and answers that may be held in buffers."),
		peers:          b.gauge("peers", "", "Peer hosts by the state that this host sees."),
		upstreamsUp:    b.gauge("upstreams_up", "", "Upstreams that answer their reports."),
		upstreamsKnown: b.gauge("upstreams_known", "", "Upstreams on the host list."),
	}
}

// ObserveGauges registers read as the source of the gauges. The function is called at
// each scrape, from several goroutines, and must not block for long. The host
// calls ObserveGauges once.
func (m *Metrics) ObserveGauges(read func() Gauges) error {
	if m == nil {
		return nil
	}
	g := m.gauges
	_, err := g.meter.RegisterCallback(
		func(_ context.Context, o metric.Observer) error {
			g.observe(o, read())
			return nil
		},
		g.requests, g.tokens, g.revision, g.age, g.bufferUsed, g.bufferLimit, g.peers, g.upstreamsUp, g.upstreamsKnown,
	)
	return err
}

func (g *gauges) observe(o metric.Observer, now Gauges) {
	o.ObserveInt64(g.requests, int64(now.RequestsInFlight))
	o.ObserveInt64(g.tokens, int64(now.TokensInFlight))
	o.ObserveInt64(g.revision, int64(now.ConfigRevision))
	o.ObserveFloat64(g.age, now.ConfigAge.Seconds())
	o.ObserveInt64(g.bufferUsed, now.BufferUsed)
	o.ObserveInt64(g.bufferLimit, now.BufferLimit)
	o.ObserveInt64(g.upstreamsUp, int64(now.UpstreamsUp))
	o.ObserveInt64(g.upstreamsKnown, int64(now.UpstreamsKnown))
	for _, peers := range now.Peers {
		state := metric.WithAttributes(attribute.String("state", stateName(peers.State)))
		o.ObserveInt64(g.peers, int64(peers.Count), state)
	}
}
