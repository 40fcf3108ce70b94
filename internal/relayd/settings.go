package relayd

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
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
}

// Listen holds the addresses of the listeners.
type Listen struct {
	Callers   netip.AddrPort `toml:"callers"`
	Readiness netip.AddrPort `toml:"readiness"`
	Operators netip.AddrPort `toml:"operators"` // dump and metrics
	Metrics   netip.AddrPort `toml:"metrics"`   // metrics alone, for collectors
}

// Peers says where other hosts are met.
type Peers struct {
	Address netip.AddrPort   `toml:"address"` // of this host; the port is the same on all
	Seeds   []netip.AddrPort `toml:"seeds"`   // any address of some hosts; only the IP counts
}

// Machine is what this host may use.
type Machine struct {
	MemoryMB float64 `toml:"memory_mb"`
}

// Platform says where routes and upstreams are published.
type Platform struct {
	Store netip.AddrPort `toml:"store"`
}

// Stop bounds a planned stop.
type Stop struct {
	GraceSeconds float64 `toml:"grace_s"` // until the process is killed
}

// Changes says how soon what the platform publishes is in force.
type Changes struct {
	ConfigMillis float64 `toml:"config_ms"` // a new configuration is in force on all hosts after this
	DrainMillis  float64 `toml:"drain_ms"`  // an upstream that leaves gets nothing new after this
}

// Keys says what holds when the configuration can't be confirmed.
type Keys struct {
	FailClosed   bool    `toml:"fail_closed"`
	RevokeMillis float64 `toml:"revoke_ms"` // a revoked key is refused everywhere after this
}

// Retries bound the repeats of all hosts together.
type Retries struct {
	Ratio         float64 `toml:"ratio"`    // of the requests
	Slack         float64 `toml:"slack"`    // beside the ratio, in each window
	WindowSeconds float64 `toml:"window_s"` // over which both are counted
}

// Defaults of fields that a file may leave out.
const (
	defaultMemoryMB      = 256
	defaultGraceSeconds  = 8.0
	defaultChangeMillis  = 2000
	defaultRevokeMillis  = 5000
	defaultRatio         = 0.1 // as retry.DefaultBudgetOptions
	defaultSlack         = 20
	defaultWindowSeconds = 10.0
)

// LoadSettings reads and checks a settings file. Fields that it does not know
// are ignored, because the file may be made for a newer version.
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
	}
	if err := toml.NewDecoder(bytes.NewReader(data)).Decode(s); err != nil {
		return nil, code.New(code.SettingsInvalid, "file %q: %w", path, err)
	}
	return s, s.check()
}

func (s *Settings) check() error {
	var faults []error
	fault := func(field string, value any, want string) {
		faults = append(faults, code.New(code.SettingsInvalid, "%s = %v: %s", field, value, want))
	}
	if s.Host == "" {
		fault("host", `""`, "must not be empty")
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
			fault(a.field, a.address, "must be IP:port")
		}
	}
	if s.Machine.MemoryMB <= 0 {
		fault("machine.memory_mb", s.Machine.MemoryMB, "must be positive")
	}
	if s.Stop.GraceSeconds < leastGraceSeconds {
		fault("stop.grace_s", s.Stop.GraceSeconds, "must be at least 0.5")
	}
	if s.Changes.ConfigMillis <= 0 || s.Changes.DrainMillis <= 0 {
		fault("changes", s.Changes, "config_ms and drain_ms must be positive")
	}
	if s.Keys.RevokeMillis <= 0 {
		fault("keys.revoke_ms", s.Keys.RevokeMillis, "must be positive")
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 || s.Retries.WindowSeconds <= 0 {
		fault("retries", s.Retries, "ratio and slack must not be negative, window_s must be positive")
	}
	return code.Wrap(errors.Join(faults...), code.SettingsInvalid)
}

// leastGraceSeconds leaves time to end what is in flight.
const leastGraceSeconds = 0.5

func (s *Settings) grace() time.Duration {
	return time.Duration(s.Stop.GraceSeconds * float64(time.Second))
}

func (s *Settings) retryWindow() time.Duration {
	return time.Duration(s.Retries.WindowSeconds * float64(time.Second))
}

// change is the time in which every change has to be in force.
func (s *Settings) change() time.Duration {
	return time.Duration(min(s.Changes.ConfigMillis, s.Changes.DrainMillis) * float64(time.Millisecond))
}

func (s *Settings) revoke() time.Duration {
	return time.Duration(s.Keys.RevokeMillis * float64(time.Millisecond))
}

func (s *Settings) seeds() []netip.Addr {
	var seeds []netip.Addr
	for _, seed := range s.Peers.Seeds {
		seeds = append(seeds, seed.Addr())
	}
	return seeds
}
