package host

import (
	"sync"
	"time"
)

// policyGate serializes the application of configuration changes, so that an
// older one never overwrites a newer one.
type policyGate struct {
	mu sync.Mutex
}

// applyPolicy copies values of the configuration in force to the parts that
// keep a copy. All other parts read the configuration when they need it.
func (h *Host) applyPolicy() {
	h.policy.mu.Lock()
	defer h.policy.mu.Unlock()
	cfg, ok := h.agreement.config()
	if !ok {
		return
	}
	fleet := cfg.Fleet()
	h.issuer.setLifetime(fleet.KeyLifetime)
	h.strikes.setDecay(fleet.StrikeLifetime)
	h.placement.setPolicy(fleet.RetryRatio, uint64(fleet.LeaseQuantum))
}

func (s *strikes) setDecay(decay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.SetDecay(decay)
}

func (p *placement) setPolicy(retryRatio float64, leaseQuantum uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget.SetRatio(retryRatio)
	p.leases.SetMaxWant(leaseQuantum)
}
