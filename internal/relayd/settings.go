package relayd

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/citronscale/citronscale/code"
)

// Settings are the local settings of one relay host.
type Settings struct {
	Host          string `toml:"host"`
	FailureDomain string `toml:"failure_domain"`
	LogLevel      string `toml:"log_level"` // debug, info, warn or error

	Listen   Listen   `toml:"listen"`
	Peers    Peers    `toml:"peers"`
	Machine  Machine  `toml:"machine"`
	Platform Platform `toml:"platform"`
	Stop     Stop     `toml:"stop"`
	Changes  Changes  `toml:"changes"`
	Keys     Keys     `toml:"keys"`
	Retries  Retries  `toml:"retries"`
	Hedging  Hedging  `toml:"hedging"`
	Cold     Cold     `toml:"cold"`

	Admission Admission `toml:"admission"`
}

// Listen holds the addresses of the listeners.
type Listen struct {
	Callers   netip.AddrPort `toml:"callers"`
	Readiness netip.AddrPort `toml:"readiness"`
	Operators netip.AddrPort `toml:"operators"` // dump and metrics
	Metrics   netip.AddrPort `toml:"metrics"`   // metrics alone, for collectors
}

// Peers holds the addresses of the peer protocol.
type Peers struct {
	Address netip.AddrPort   `toml:"address"` // of this host; the port is the same on all
	Seeds   []netip.AddrPort `toml:"seeds"`   // addresses of some hosts; only the IP is used
}

// Machine holds the resources that this host may use.
type Machine struct {
	MemoryMB float64 `toml:"memory_mb"`
	Cores    float64 `toml:"cores"`     // fractions are allowed
	LinkMbps float64 `toml:"link_mbps"` // of the network link
}

// capacity is a number by which hosts of a group choose the one that works for the
// others, in tenths of a core: the smaller of what its processor and its link suggest.
func (m Machine) capacity() uint32 {
	const mbpsPerCore = 200
	capacity := m.Cores
	if m.LinkMbps > 0 {
		capacity = min(capacity, m.LinkMbps/mbpsPerCore)
	}
	return uint32(10 * max(capacity, 0))
}

// Platform holds the address at which routes and upstreams are published.
type Platform struct {
	Store netip.AddrPort `toml:"store"`
}

// Stop limits the duration of a planned stop.
type Stop struct {
	GraceSeconds float64 `toml:"grace_s"` // from the signal until the process is killed
}

// Changes holds the time limits for published changes to take effect.
type Changes struct {
	ConfigMillis float64 `toml:"config_ms"` // until a new configuration is in force on all hosts
	DrainMillis  float64 `toml:"drain_ms"`  // until a leaving upstream gets no new requests
	// EvacuateMillis is the limit until the upstreams of an evacuated failure domain get
	// no new requests; 0: none.
	EvacuateMillis float64 `toml:"evacuate_ms"`
}

// Keys controls the checks of keys while the configuration can't be confirmed.
type Keys struct {
	FailClosed   bool    `toml:"fail_closed"`
	RevokeMillis float64 `toml:"revoke_ms"` // until a revoked key is refused on all hosts
}

// Retries holds the retry budget of all hosts together.
type Retries struct {
	Ratio         float64 `toml:"ratio"`    // retries per request
	Slack         float64 `toml:"slack"`    // retries per window in addition to the ratio
	WindowSeconds float64 `toml:"window_s"` // window over which both are counted
}

// Hedging controls second sends of slow requests.
type Hedging struct {
	Share    float64 `toml:"share"`    // most second sends as a share of the requests; 0: none
	Quantile float64 `toml:"quantile"` // of recent times, after which a second send is due
}

// Cold holds the bound on the requests of all hosts to a cold upstream in a second.
type Cold struct {
	Excess float64 `toml:"excess"` // times what its service publishes
	Slack  float64 `toml:"slack"`  // requests in addition
}

// Admission controls what happens to streams while room is scarce.
type Admission struct {
	Queue      bool `toml:"queue"`       // streams without room wait
	TeamShares bool `toml:"team_shares"` // teams over their fair share are refused
}

// Defaults of optional fields.
const (
	defaultMemoryMB      = 256
	defaultGraceSeconds  = 8.0
	defaultChangeMillis  = 2000
	defaultRevokeMillis  = 5000
	defaultRatio         = 0.1 // as retry.DefaultBudgetOptions
	defaultSlack         = 20
	defaultWindowSeconds = 10.0
	defaultQuantile      = 0.95 // a twentieth of the requests may be sent again
	// defaultExcess and defaultSlack let hosts that have just started send a few requests to
	// cold upstreams.
	defaultExcess    = 1.5
	defaultColdSlack = 5
)

// LoadSettings reads and checks a settings file. Unknown fields
// are ignored, because the file may be written for a newer version.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, code.Wrap(err, code.SettingsInvalid)
	}
	s := &Settings{
		LogLevel: "info", Machine: Machine{MemoryMB: defaultMemoryMB}, Stop: Stop{GraceSeconds: defaultGraceSeconds},
		Changes: Changes{ConfigMillis: defaultChangeMillis, DrainMillis: defaultChangeMillis},
		Keys:    Keys{RevokeMillis: defaultRevokeMillis},
		Retries: Retries{Ratio: defaultRatio, Slack: defaultSlack, WindowSeconds: defaultWindowSeconds},
		Hedging: Hedging{Quantile: defaultQuantile},
		Cold:    Cold{Excess: defaultExcess, Slack: defaultColdSlack},
	}
	if err := toml.NewDecoder(bytes.NewReader(data)).Decode(s); err != nil {
		return nil, code.New(code.SettingsInvalid, "file %q: %w", path, err)
	}
	return s, s.check()
}

func (s *Settings) check() error {
	var errs []error
	addError := func(field string, value any, rule string) {
		errs = append(errs, code.New(code.SettingsInvalid, "%s = %v: %s", field, value, rule))
	}
	if s.Host == "" {
		addError("host", `""`, "must not be empty")
	}
	addresses := []struct {
		field   string
		address netip.AddrPort
	}{
		{"listen.callers", s.Listen.Callers},
		{"listen.readiness", s.Listen.Readiness},
		{"peers.address", s.Peers.Address},
		{"platform.store", s.Platform.Store},
	}
	for _, a := range addresses {
		if !a.address.IsValid() {
			addError(a.field, a.address, "must be IP:port")
		}
	}
	if s.Machine.MemoryMB <= 0 {
		addError("machine.memory_mb", s.Machine.MemoryMB, "must be positive")
	}
	if s.Stop.GraceSeconds < minGraceSeconds {
		addError("stop.grace_s", s.Stop.GraceSeconds, "must be at least 0.5")
	}
	if s.Changes.ConfigMillis <= 0 || s.Changes.DrainMillis <= 0 || s.Changes.EvacuateMillis < 0 {
		addError("changes", s.Changes, "config_ms and drain_ms must be positive, evacuate_ms must not be negative")
	}
	if s.Keys.RevokeMillis <= 0 {
		addError("keys.revoke_ms", s.Keys.RevokeMillis, "must be positive")
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 || s.Retries.WindowSeconds <= 0 {
		addError("retries", s.Retries, "ratio and slack must not be negative, window_s must be positive")
	}
	if !(s.Hedging.Share >= 0 && s.Hedging.Share <= 1) {
		addError("hedging.share", s.Hedging.Share, "must be from 0 to 1")
	}
	if !(s.Hedging.Quantile >= minQuantile && s.Hedging.Quantile <= maxQuantile) {
		addError("hedging.quantile", s.Hedging.Quantile, "must be from 0.5 to 0.999")
	}
	if s.Cold.Excess < 0 || s.Cold.Slack < 0 {
		addError("cold", s.Cold, "excess and slack must not be negative")
	}
	return code.Wrap(errors.Join(errs...), code.SettingsInvalid)
}

// minQuantile and maxQuantile bound the quantile of a second send: most requests must answer
// before it, and a host has too few requests to know higher ones.
const (
	minQuantile = 0.5
	maxQuantile = 0.999
)

// minGraceSeconds leaves time to finish the requests in flight.
const minGraceSeconds = 0.5

func (s *Settings) gracePeriod() time.Duration {
	return time.Duration(s.Stop.GraceSeconds * float64(time.Second))
}

func (s *Settings) retryWindow() time.Duration {
	return time.Duration(s.Retries.WindowSeconds * float64(time.Second))
}

// changeLimit returns the time within which every change must be in force.
func (s *Settings) changeLimit() time.Duration {
	limit := min(s.Changes.ConfigMillis, s.Changes.DrainMillis)
	if s.Changes.EvacuateMillis > 0 {
		limit = min(limit, s.Changes.EvacuateMillis)
	}
	return time.Duration(limit * float64(time.Millisecond))
}

// drainLimit returns the time after which a leaving upstream must get no new requests.
func (s *Settings) drainLimit() time.Duration {
	return time.Duration(s.Changes.DrainMillis * float64(time.Millisecond))
}

func (s *Settings) revocationLimit() time.Duration {
	return time.Duration(s.Keys.RevokeMillis * float64(time.Millisecond))
}

// alone reports whether no seed leads to another host.
func (s *Settings) alone() bool {
	return !slices.ContainsFunc(s.seeds(), func(seed netip.Addr) bool { return seed != s.Peers.Address.Addr() })
}

func (s *Settings) seeds() []netip.Addr {
	var seeds []netip.Addr
	for _, seed := range s.Peers.Seeds {
		seeds = append(seeds, seed.Addr())
	}
	return seeds
}
