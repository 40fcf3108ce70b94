package metrics

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
)

// Levels are figures of a host at one moment.
type Levels struct {
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

// PeerCount is the number of peers in one state.
type PeerCount struct {
	State peerv1.HostState
	Count int
}

// levels are the instruments that are read when Prometheus asks.
type levels struct {
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

func (b *builder) levels() *levels {
	return &levels{
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

// Observe makes read the source of the levels. The read function is called
// for each scrape, from several goroutines, and must not block for long. The
// host calls Observe once.
func (m *Metrics) Observe(read func() Levels) error {
	if m == nil {
		return nil
	}
	l := m.levels
	_, err := l.meter.RegisterCallback(
		func(_ context.Context, o metric.Observer) error {
			l.observe(o, read())
			return nil
		},
		l.requests, l.tokens, l.revision, l.age, l.bufferUsed, l.bufferLimit, l.peers, l.upstreamsUp, l.upstreamsKnown,
	)
	return err
}

func (l *levels) observe(o metric.Observer, now Levels) {
	o.ObserveInt64(l.requests, int64(now.RequestsInFlight))
	o.ObserveInt64(l.tokens, int64(now.TokensInFlight))
	o.ObserveInt64(l.revision, int64(now.ConfigRevision))
	o.ObserveFloat64(l.age, now.ConfigAge.Seconds())
	o.ObserveInt64(l.bufferUsed, now.BufferUsed)
	o.ObserveInt64(l.bufferLimit, now.BufferLimit)
	o.ObserveInt64(l.upstreamsUp, int64(now.UpstreamsUp))
	o.ObserveInt64(l.upstreamsKnown, int64(now.UpstreamsKnown))
	for _, peers := range now.Peers {
		state := metric.WithAttributes(attribute.String("state", stateName(peers.State)))
		o.ObserveInt64(l.peers, int64(peers.Count), state)
	}
}
