package host

import (
	"errors"
	"sync"
	"time"

	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/platform"
	"github.com/citronscale/citronscale/reclaim"
	"github.com/citronscale/citronscale/upstream"
)

// agreement holds what this host shares with the others: the configuration in
// force and the membership.
type agreement struct {
	self    ident.Host
	mu      sync.Mutex
	inForce *config.Config
	since   time.Time // when the configuration came into force here
}

func newAgreement(self ident.Host) *agreement {
	return &agreement{self: self}
}

// config returns the configuration in force.
func (a *agreement) config() (*config.Config, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inForce, a.inForce != nil
}

// revision returns the revision in force, zero if there is none.
func (a *agreement) revision() uint64 {
	cfg, ok := a.config()
	if !ok {
		return 0
	}
	return cfg.Revision
}

// age returns how long the configuration has been in force here.
func (a *agreement) age(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inForce == nil {
		return 0
	}
	return now.Sub(a.since)
}

// owner returns the host that owns an engine.
func (a *agreement) owner(upstream.Name) ident.Host {
	return a.self
}

// reclaimView returns the membership as the reclaim package needs it.
func (a *agreement) reclaimView() reclaim.View {
	return reclaim.NewView(nil)
}

// offerConfig judges a document from the service or a peer.
func (h *Host) offerConfig(document platform.Document) {
	cfg, err := config.Parse(document.Revision, document.Data)
	var faults *config.FaultList
	if errors.As(err, &faults) {
		h.log.Emit(event.ConfigRejected).Uint64("revision", document.Revision).Err(err).Msg("")
		return
	}
	h.agreement.mu.Lock()
	h.agreement.inForce = cfg
	h.agreement.since = time.Now()
	h.agreement.mu.Unlock()
	h.log.Emit(event.ConfigAccepted).Uint64("revision", cfg.Revision).Msg("")
	h.lifecycle.configured()
}
