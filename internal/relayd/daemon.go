package relayd

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/metrics"
	"github.com/citronscale/citronscale/peering"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/platform"
	"github.com/citronscale/citronscale/relay"
	"github.com/citronscale/citronscale/route"
)

const (
	// memoryShare of the machine is left to the Go heap; the rest is for stacks,
	// socket buffers and the program itself.
	memoryShare = 0.6
	// bufferShare of the machine may hold bodies and answers.
	bufferShare = 0.2
	// confirmShare of the time after which a revoked key must be refused is how
	// long one confirmation holds; the rest is for requests on their way.
	confirmShare = 0.9
	// watchShare of the same time is how long a watch waits: an answer must come
	// before the confirmation of the one before it runs out.
	watchShare = 0.5
	// settleShare of the time in which a change has to be in force is how long
	// changes are collected; the rest is for the read and for a slow machine.
	settleShare = 0.4
	// admitShare of the grace is how long a leaving host takes new requests: the
	// balancer needs about two seconds to see that it is not ready.
	admitShare = 0.35
	// stopMargin is what remains of the grace when the last requests are cut.
	stopMargin = 300 * time.Millisecond
	megabyte   = 1 << 20
)

// Daemon is one relay host.
type Daemon struct {
	settings *Settings
	path     string // of the settings file
	writer   *log.AsyncWriter
	log      *event.Logger

	routes    *route.Holder
	upstreams *fleet.Set
	ledger    *place.Ledger
	metrics   *metrics.Metrics
	feed      *platform.Feed
	node      *peering.Node
	relay     *relay.Server

	mu      sync.Mutex
	machine *chart.Machine
	ready   atomic.Bool
}

// New connects the parts of a daemon.
func New(settings *Settings, path string, out io.Writer) (*Daemon, error) {
	debug.SetMemoryLimit(int64(memoryShare * settings.Machine.MemoryMB * megabyte))
	d := &Daemon{
		settings: settings, path: path, routes: &route.Holder{}, upstreams: fleet.NewSet(), ledger: place.NewLedger(),
		machine: chart.MustLoad(chart.Process).New(),
	}
	d.writer, d.log = newLogger(settings, out)
	var err error
	if d.metrics, err = metrics.New(); err != nil {
		return nil, err
	}
	d.node, err = peering.Listen(
		peering.Options{Host: settings.Host, Local: settings.Peers.Address, Seeds: settings.seeds()},
		peering.Parts{
			Ledger: d.ledger, Upstreams: d.upstreams, Key: relay.EngineKey, Log: d.log, Rng: newRng(),
			SourceRecovered: func() { d.feed.Retry() },
		},
	)
	if err != nil {
		return nil, err
	}
	d.feed = platform.NewFeed(platform.FeedOptions{
		Address: settings.Platform.Store.String(), WatchWait: time.Duration(watchShare * float64(settings.revoke())),
		Settle: time.Duration(settleShare * float64(settings.change())), StoreRecovered: d.node.AnnounceSourceRecovered,
	}, d.routes, d.upstreams, d.log, newRng())
	d.relay = relay.New(relay.Options{
		Host: settings.Host, FailureDomain: settings.FailureDomain, FailClosed: settings.Keys.FailClosed,
		ConfirmWithin: time.Duration(confirmShare * float64(settings.revoke())),
		BufferBytes:   int64(bufferShare * settings.Machine.MemoryMB * megabyte),
		RetryRatio:    settings.Retries.Ratio, RetrySlack: settings.Retries.Slack,
		RetryWindow:  settings.retryWindow(),
		AdmitLeaving: time.Duration(admitShare * float64(settings.grace())),
	}, relay.Parts{
		Dialect: platform.Headers{}, Memory: platform.NewMemory(), Routes: d.routes, Upstreams: d.upstreams, Ledger: d.ledger,
		Peers: d.node, Log: d.log, Metrics: d.metrics, Rng: newRng(),
	})
	return d, nil
}

func newRng() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// newLogger returns a logger that never blocks: lines that the reader of the
// output does not take in time are dropped.
func newLogger(settings *Settings, out io.Writer) (*log.AsyncWriter, *event.Logger) {
	const pendingLines = 4096 // a few seconds of the busiest host
	writer := &log.AsyncWriter{ChannelSize: pendingLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: out}}
	logger := &log.Logger{Level: log.ParseLevel(settings.LogLevel), TimeField: "time", TimeFormat: log.TimeFormatUnixMs, Writer: writer}
	logger.Context = log.NewContext(nil).Str("host", settings.Host).Value()
	return writer, event.NewLogger(logger)
}

// Run serves until ctx ends, then stops as planned. Each value of hangup makes it
// read its settings again.
func (d *Daemon) Run(ctx context.Context, hangup <-chan os.Signal) error {
	defer func() { _ = d.writer.Close() }() // nothing is left to log to
	d.log.Emit(event.ProcessStarting).Str("failure_domain", d.settings.FailureDomain).Msg("")
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { d.feed.Run(background) })
	wg.Go(func() { d.node.Run(background) })
	wg.Go(func() { d.reloadOnHangup(background, hangup) })
	d.awaitReady(ctx)
	<-ctx.Done()
	d.stop(listeners)
	cancel()
	wg.Wait()
	return nil
}

// awaitReady makes the host ready once routes and upstreams are known.
func (d *Daemon) awaitReady(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.feed.Loaded():
		d.fire(chart.ProcessConfigured, event.ProcessReady)
		d.ready.Store(true)
	}
}

func (d *Daemon) fire(e chart.Event, line event.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, err := d.machine.Fire(e)
	d.log.Emit(line).Str("state", string(state)).Err(err).Msg("")
}

// stop lets what is in flight end, within the grace.
func (d *Daemon) stop(l *listeners) {
	began := time.Now()
	d.ready.Store(false)
	d.fire(chart.ProcessStop, event.ProcessLeaving)
	d.relay.Leave()
	d.node.Leave()
	until := began.Add(d.settings.grace() - stopMargin)
	admit := began.Add(time.Duration(admitShare * float64(d.settings.grace())))
	const poll = 50 * time.Millisecond
	for time.Now().Before(until) {
		if time.Now().After(admit) && d.relay.InFlight() == 0 {
			break
		}
		time.Sleep(poll)
	}
	l.close(until.Add(stopMargin / 2))
	d.fire(chart.ProcessIdle, event.ProcessStopped)
}

// reloadOnHangup reads the settings again on SIGHUP. Only the seeds can change
// while the process runs.
func (d *Daemon) reloadOnHangup(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			d.reload()
		}
	}
}

func (d *Daemon) reload() {
	settings, err := LoadSettings(d.path)
	if err != nil {
		d.log.Emit(event.SettingsInvalid).Str("file", d.path).Err(err).Msg("")
		return
	}
	d.node.SetSeeds(settings.seeds())
	d.log.Emit(event.SettingsReloaded).Str("file", d.path).Int("seeds", len(settings.Peers.Seeds)).Msg("")
}

// serveReadiness answers the balancer.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.Load() || d.settings.Keys.FailClosed && !d.relay.Fresh() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
