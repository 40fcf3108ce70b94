package settings

import (
	"net/netip"
	"time"

	"github.com/citronscale/citronscale/ident"
)

// Formats of log lines.
const (
	LogJSON    = "json"
	LogConsole = "console"
)

// Defaults of optional fields.
const (
	DefaultMaxBodyBytes   = 16 << 20 // bytes of one request body
	DefaultMaxHeaderBytes = 32 << 10 // bytes of all headers of one request
	DefaultBufferBytes    = 64 << 20 // bytes of all buffered bodies and answers of the host
	DefaultMaxInFlight    = 4096     // requests of callers

	DefaultHeaderTimeout = 5 * time.Second
	DefaultReadTimeout   = 60 * time.Second
	DefaultWriteTimeout  = 10 * time.Second
	DefaultIdleTimeout   = 90 * time.Second

	DefaultLogFormat      = LogJSON
	DefaultLogLevel       = "info"
	DefaultRecordCapacity = 65536 // entries
	DefaultPolicy         = "cost-aware"
)

// Settings are the local settings of one host.
type Settings struct {
	File     string   `toml:"-"` // path that the settings were read from
	Host     Host     `toml:"host"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	TLS      TLS      `toml:"tls"`
	Limits   Limits   `toml:"limits"`
	Log      Log      `toml:"log"`
	Record   Record   `toml:"record"`

	Placement Placement `toml:"placement"`
}

// Host names the host and the failure domain that it runs in.
type Host struct {
	Name          ident.Host `toml:"name"`
	FailureDomain string     `toml:"failure_domain"`
}

// Listen holds the addresses of the three listeners.
type Listen struct {
	Callers   netip.AddrPort `toml:"callers"`
	Peers     netip.AddrPort `toml:"peers"` // also the address that peers dial
	Operators netip.AddrPort `toml:"operators"`
}

// Platform holds the addresses of the services of the platform. A host tries
// them in order and goes on to the next when one fails.
type Platform struct {
	Config   []netip.AddrPort `toml:"config"`
	HostList []netip.AddrPort `toml:"host_list"`
}

// TLS names the files for mutual TLS between peers and with operators, all in
// PEM. Either all three are set or none.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"` // signs the certificates of peers and operators
}

// Enabled reports whether the peer and operator listeners use TLS.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// Limits bounds the memory and the connection time that callers can use.
type Limits struct {
	MaxBodyBytes   int64    `toml:"max_body_bytes"`   // of one request
	MaxHeaderBytes int      `toml:"max_header_bytes"` // of one request
	BufferBytes    int64    `toml:"buffer_bytes"`     // of all requests of the host together
	MaxInFlight    int      `toml:"max_in_flight"`    // requests of callers
	HeaderTimeout  Duration `toml:"header_timeout"`   // until the headers have arrived
	ReadTimeout    Duration `toml:"read_timeout"`     // until the body has arrived
	WriteTimeout   Duration `toml:"write_timeout"`    // of one write to a caller
	IdleTimeout    Duration `toml:"idle_timeout"`     // of a connection between requests
}

// Log selects the format and the lowest level of log lines.
type Log struct {
	Format string `toml:"format"` // LogJSON or LogConsole
	Level  string `toml:"level"`  // debug, info, warn or error
}

// Record limits the record of the latest requests.
type Record struct {
	Capacity int `toml:"capacity"` // entries
}

// Placement selects the balancing policy. The values other than the defaults are
// baselines for measurements.
type Placement struct {
	Policy     string `toml:"policy"`     // a name that balancer.NewPicker accepts
	Leases     bool   `toml:"leases"`     // admit requests against leases from the owners of engines
	FairQueue  bool   `toml:"fair_queue"` // queue requests by team and class on the host
	Priorities bool   `toml:"priorities"` // send the class of a request to the engines
}

// Default returns the settings for fields that a file does not set. They are not
// valid on their own: the host, the listeners and the platform have no defaults.
func Default() *Settings {
	return &Settings{
		Limits: Limits{
			MaxBodyBytes:   DefaultMaxBodyBytes,
			MaxHeaderBytes: DefaultMaxHeaderBytes,
			BufferBytes:    DefaultBufferBytes,
			MaxInFlight:    DefaultMaxInFlight,
			HeaderTimeout:  Duration(DefaultHeaderTimeout),
			ReadTimeout:    Duration(DefaultReadTimeout),
			WriteTimeout:   Duration(DefaultWriteTimeout),
			IdleTimeout:    Duration(DefaultIdleTimeout),
		},
		Log:    Log{Format: DefaultLogFormat, Level: DefaultLogLevel},
		Record: Record{Capacity: DefaultRecordCapacity},

		Placement: Placement{Policy: DefaultPolicy, Leases: true, FairQueue: true, Priorities: true},
	}
}
