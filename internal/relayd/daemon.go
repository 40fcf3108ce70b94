package relayd

import (
	"context"
	"fmt"
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
	"github.com/citronscale/citronscale/hedge"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/metrics"
	"github.com/citronscale/citronscale/mirror"
	"github.com/citronscale/citronscale/pace"
	"github.com/citronscale/citronscale/peering"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/platform"
	"github.com/citronscale/citronscale/relay"
	"github.com/citronscale/citronscale/route"
	"github.com/citronscale/citronscale/standing"
	"github.com/citronscale/citronscale/throttle"
)

const (
	// memoryShare is the fraction of the configured memory that the Go memory
	// limit gets; the rest is for stacks, socket buffers and the program itself.
	memoryShare = 0.6
	// bufferShare is the fraction of the configured memory that may buffer request
	// bodies and answers.
	bufferShare = 0.2
	// confirmShare is the validity of one confirmation of the configuration as a
	// fraction of the key revocation limit; the rest is for requests in transit.
	confirmShare = 0.9
	// watchShare and watchChangeShare limit the wait time of a watch, as fractions of the
	// same limit and of the time in which a change must be in force. The host that reads
	// the platform confirms its configuration to its group, so its own confirmation must
	// be young, and the group must notice soon if it can't read any more.
	watchShare       = 0.2
	watchChangeShare = 0.25
	// takeoverMargin is how much older than usual a confirmation gets before another
	// host reads the platform.
	takeoverMargin = 100 * time.Millisecond
	// admitShare is the fraction of the grace period in which a leaving host still
	// admits new requests: the balancer needs about two seconds to detect that the
	// host is not ready.
	admitShare = 0.35
	// stopMargin is the part of the grace period that remains when the last
	// requests are cut.
	stopMargin = 300 * time.Millisecond
	megabyte   = 1 << 20
)

// Daemon runs one relay host.
type Daemon struct {
	settings *Settings
	path     string // of the settings file
	writer   *log.AsyncWriter
	log      *event.Logger

	routes     *route.Holder
	upstreams  *fleet.Set
	ledger     *place.Ledger
	quarantine *relay.Quarantine
	limits     *throttle.Book
	paces      *pace.Book
	standing   *standing.Book
	metrics    *metrics.Metrics
	feed       *platform.Feed
	node       *peering.Node
	relay      *relay.Server

	mu      sync.Mutex
	machine *chart.Machine
	ready   atomic.Bool
}

// New builds a daemon from its settings and connects its components.
func New(settings *Settings, path string, out io.Writer) (*Daemon, error) {
	debug.SetMemoryLimit(int64(memoryShare * settings.Machine.MemoryMB * megabyte))
	d := &Daemon{
		settings: settings, path: path, routes: &route.Holder{}, upstreams: fleet.NewSet(), ledger: place.NewLedger(), limits: newBook(settings),
		paces:    pace.NewBook(),
		standing: standing.NewBook(standing.Options{Drain: settings.drainLimit()}),
		machine:  chart.MustLoad(chart.Process).New(),
	}
	d.writer, d.log = newLogger(settings, out)
	var err error
	if d.metrics, err = metrics.New(); err != nil {
		return nil, err
	}
	if err := d.metrics.ObserveRelayGauges(d.gauges); err != nil {
		return nil, fmt.Errorf("register the gauges: %w", err)
	}
	watchWait := min(share(watchShare, settings.revocationLimit()), share(watchChangeShare, settings.changeLimit()))
	confirmWithin := share(confirmShare, settings.revocationLimit())
	readers := mirror.Readers(settings.changeLimit())
	d.feed = platform.NewFeed(platform.FeedOptions{
		Address: settings.Platform.Store.String(), WatchWait: watchWait, Validity: confirmWithin, Readers: readers,
		Takeover: platform.ConfirmationAge(watchWait) + takeoverMargin, Settle: watchWait,
	}, d.routes, d.upstreams, d.log, newRng())
	d.quarantine = relay.NewQuarantine(d.log, d.metrics, newRng())
	d.node, err = peering.Listen(
		peering.Options{
			Host: settings.Host, Local: settings.Peers.Address, Seeds: settings.seeds(),
			Capacity: settings.Machine.capacity(), Domain: settings.FailureDomain, Validity: confirmWithin,
			Readers: readers,
		},
		peering.Parts{
			Ledger: d.ledger, Upstreams: d.upstreams, Key: relay.EngineKey, Log: d.log, Rng: newRng(),
			SourceRecovered: d.feed.Retry, Vouched: d.feed.Vouched, Age: d.feed.Age, ConfigVersion: d.feed.ConfigVersion,
			SourceOutageAge: d.feed.OutageAge, Mirror: d.feed.Mirror(), Evidence: d.quarantine, Limits: d.limits, Paces: d.paces,
			Standing: d.standing,
		},
	)
	if err != nil {
		return nil, err
	}
	d.feed.Follow(d.node)
	d.relay = relay.New(relay.Options{
		Host: settings.Host, FailureDomain: settings.FailureDomain, FailClosed: settings.Keys.FailClosed,
		ConfirmWithin: confirmWithin,
		BufferBytes:   int64(bufferShare * settings.Machine.MemoryMB * megabyte),
		RetryRatio:    settings.Retries.Ratio, RetrySlack: settings.Retries.Slack,
		RetryWindow:  settings.retryWindow(),
		Hedging:      hedge.Options{Share: settings.Hedging.Share, Quantile: settings.Hedging.Quantile},
		WriteTimeout: writeTimeout,
		AdmitLeaving: time.Duration(admitShare * float64(settings.gracePeriod())),
		CutLeaving:   settings.gracePeriod() - stopMargin,
		QueueStreams: settings.Admission.Queue, TeamShares: settings.Admission.TeamShares,
	}, relay.Parts{
		Dialect: platform.Headers{}, Memory: platform.NewMemory(), Identifier: platform.NewIdentifier(), Routes: d.routes, Upstreams: d.upstreams, Ledger: d.ledger,
		Peers: d.node, Quarantine: d.quarantine, Limits: d.limits, Paces: d.paces, Standing: d.standing, Log: d.log, Metrics: d.metrics, Rng: newRng(),
	})
	return d, nil
}

func newBook(settings *Settings) *throttle.Book {
	return throttle.NewBookWith(throttle.Options{
		Excess: settings.Cold.Excess, Slack: settings.Cold.Slack, Alone: settings.alone(), Seed: rand.Uint64(),
	})
}

// gauges returns the values that are read at each scrape of the metrics.
func (d *Daemon) gauges() metrics.RelayGauges {
	eras := d.feed.Eras()
	read, whole := d.feed.ConfigReading()
	return metrics.RelayGauges{
		EvacuatedDomains: len(d.upstreams.Evacuated()), ColdUpstreams: d.upstreams.Cold(boottime.Now()),
		SourceEra: eras.Era, SourceRestores: eras.Changes, FormerEraAnswers: eras.Ignored,
		ConfigRejected: !read, ConfigInPart: read && !whole,
	}
}

func share(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}

func newRng() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// newLogger returns a logger that never blocks: lines are dropped while the reader of
// the output is too slow.
func newLogger(settings *Settings, out io.Writer) (*log.AsyncWriter, *event.Logger) {
	const pendingLines = 4096 // a few seconds of output of the busiest host
	writer := &log.AsyncWriter{ChannelSize: pendingLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: out}}
	logger := &log.Logger{Level: log.ParseLevel(settings.LogLevel), TimeField: "time", TimeFormat: log.TimeFormatUnixMs, Writer: writer}
	logger.Context = log.NewContext(nil).Str("host", settings.Host).Value()
	return writer, event.NewLogger(logger)
}

// Run serves until ctx ends, then performs a planned stop. Each signal on hangup
// reloads the settings.
func (d *Daemon) Run(ctx context.Context, hangup <-chan os.Signal) error {
	defer func() { _ = d.writer.Close() }() // a failure to close can't be logged any more
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

// awaitReady marks the host as ready once routes and upstreams are loaded.
func (d *Daemon) awaitReady(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.feed.Loaded():
		d.fire(chart.ProcessConfigured, event.ProcessReady)
		d.ready.Store(true)
	}
}

func (d *Daemon) fire(transition chart.Event, logged event.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, err := d.machine.Fire(transition)
	d.log.Emit(logged).Str("state", string(state)).Err(err).Msg("")
}

// stop waits for the requests in flight to end, within the grace period.
func (d *Daemon) stop(l *listeners) {
	start := time.Now()
	d.ready.Store(false)
	d.fire(chart.ProcessStop, event.ProcessLeaving)
	d.relay.Leave()
	d.node.Leave()
	deadline := start.Add(d.settings.gracePeriod() - stopMargin)
	admitUntil := start.Add(time.Duration(admitShare * float64(d.settings.gracePeriod())))
	const poll = 50 * time.Millisecond
	for time.Now().Before(deadline) {
		if time.Now().After(admitUntil) && d.relay.InFlight() == 0 {
			break
		}
		time.Sleep(poll)
	}
	l.close(deadline.Add(stopMargin / 2))
	d.fire(chart.ProcessIdle, event.ProcessStopped)
}

// reloadOnHangup reloads the settings on SIGHUP. Only the seeds can change at run
// time.
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

// serveReadiness answers the readiness checks of the balancer.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.Load() || d.settings.Keys.FailClosed && !d.relay.Fresh() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
