package host

import (
	"errors"
	"sync"

	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/directory"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/platform"
)

// agreement holds the configuration in force.
type agreement struct {
	mu      sync.Mutex
	inForce *config.Config
	log     *event.Logger
}

func newAgreement(log *event.Logger) *agreement {
	return &agreement{log: log}
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
	h.agreement.mu.Unlock()
	h.log.Emit(event.ConfigAccepted).Uint64("revision", cfg.Revision).Msg("")
	h.lifecycle.configured()
}

// noteUpstreams logs new states of upstreams.
func (h *Host) noteUpstreams(changes []directory.Change) {
	for _, change := range changes {
		if e, ok := upstreamEvents[change.State]; ok {
			h.log.Emit(e).Str("upstream", string(change.Name)).Bool("restarted", change.Restarted).Msg("")
		}
	}
}
