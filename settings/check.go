package settings

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/citronscale/citronscale/ident"
)

var (
	logFormats = []string{LogJSON, LogConsole}
	logLevels  = []string{"debug", "info", "warn", "error"}
	policies   = []string{DefaultPolicy, "random", "round-robin", "least-in-flight", "better-of-two"}
)

// checker checks decoded settings and collects their faults.
type checker struct {
	entries entries
	faults  []Fault
}

func check(s *Settings, entries entries) []Fault {
	c := &checker{entries: entries}
	c.host(s.Host)
	c.listen(s.Listen, s.TLS)
	c.addresses("platform.config", s.Platform.Config)
	c.addresses("platform.host_list", s.Platform.HostList)
	c.tls(s.TLS)
	c.limits(s.Limits)
	c.oneOf("log.format", s.Log.Format, logFormats)
	c.oneOf("log.level", s.Log.Level, logLevels)
	c.oneOf("placement.policy", s.Placement.Policy, policies)
	c.atLeast("record.capacity", int64(s.Record.Capacity), 1)
	return c.faults
}

func (c *checker) add(field, format string, args ...any) {
	found, _ := c.entries.find(field)
	c.faults = append(c.faults, Fault{
		Line:    found.line,
		Field:   field,
		Value:   found.value,
		Problem: fmt.Sprintf(format, args...),
	})
}

func (c *checker) host(h Host) {
	c.name("host.name", string(h.Name))
	c.name("host.failure_domain", h.FailureDomain)
}

func (c *checker) name(field, value string) {
	if _, ok := c.entries.find(field); !ok {
		c.add(field, "is missing")
		return
	}
	if !ident.ValidName(value) {
		c.add(field, "must be 1 to %d lower-case letters, digits and inner hyphens", ident.MaxNameLength)
	}
}

func (c *checker) listen(l Listen, tls TLS) {
	c.address("listen.callers", l.Callers)
	c.address("listen.peers", l.Peers)
	c.address("listen.operators", l.Operators)
	if l.Peers.IsValid() && l.Peers.Addr().IsUnspecified() {
		c.add("listen.peers", "must be one address, because peers dial it")
	}
	if !tls.Enabled() {
		c.loopback("listen.peers", l.Peers)
		c.loopback("listen.operators", l.Operators)
	}
	c.distinct("listen.peers", l.Peers, "listen.callers", l.Callers)
	c.distinct("listen.operators", l.Operators, "listen.callers", l.Callers)
	c.distinct("listen.operators", l.Operators, "listen.peers", l.Peers)
}

func (c *checker) address(field string, address netip.AddrPort) {
	switch _, ok := c.entries.find(field); {
	case !ok:
		c.add(field, "is missing")
	case !address.IsValid():
		c.add(field, "must be IP:port")
	case address.Port() == 0:
		c.add(field, "must name a port other than 0")
	}
}

func (c *checker) addresses(field string, list []netip.AddrPort) {
	if len(list) == 0 {
		c.add(field, "must list at least one IP:port")
		return
	}
	for _, address := range list {
		if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() {
			c.add(field, "must list only addresses that can be dialed")
			return
		}
	}
}

func (c *checker) loopback(field string, address netip.AddrPort) {
	if address.IsValid() && !address.Addr().IsLoopback() {
		c.add(field, "must be a loopback address while tls.certificate is not set")
	}
}

func (c *checker) distinct(field string, a netip.AddrPort, otherField string, b netip.AddrPort) {
	if a.IsValid() && a == b {
		c.add(field, "must differ from %s", otherField)
	}
}

func (c *checker) tls(t TLS) {
	if t.Certificate == "" && t.Key == "" && t.CA == "" {
		return
	}
	c.requiredTLS("tls.certificate", t.Certificate)
	c.requiredTLS("tls.key", t.Key)
	c.requiredTLS("tls.ca", t.CA)
}

func (c *checker) requiredTLS(field, value string) {
	if value == "" {
		c.add(field, "must be set: certificate, key and ca belong together")
	}
}

func (c *checker) limits(l Limits) {
	c.atLeast("limits.max_body_bytes", l.MaxBodyBytes, 1)
	c.atLeast("limits.max_header_bytes", int64(l.MaxHeaderBytes), 1)
	c.atLeast("limits.max_in_flight", int64(l.MaxInFlight), 1)
	if l.BufferBytes < l.MaxBodyBytes {
		c.add("limits.buffer_bytes", "must be at least limits.max_body_bytes, which is %d", l.MaxBodyBytes)
	}
	c.positive("limits.header_timeout", l.HeaderTimeout)
	c.positive("limits.read_timeout", l.ReadTimeout)
	c.positive("limits.write_timeout", l.WriteTimeout)
	c.positive("limits.idle_timeout", l.IdleTimeout)
}

func (c *checker) atLeast(field string, value, least int64) {
	if value < least {
		c.add(field, "must be at least %d", least)
	}
}

func (c *checker) positive(field string, value Duration) {
	if value <= 0 {
		c.add(field, "must be longer than 0s")
	}
}

func (c *checker) oneOf(field, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.add(field, "must be one of %v", allowed)
	}
}
