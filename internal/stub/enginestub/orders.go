package enginestub

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/citronscale/citronscale/internal/stub/platformstub"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

const pullRetryInterval = 500 * time.Millisecond

// orderState is what the engine was told to serve and what it serves.
type orderState struct {
	version   string // loaded; empty while none is
	loading   string // version that is being loaded
	role      string
	adapters  []string
	withdrawn []string
	fence     uint64
	history   []OrderRecord
}

// OrderRecord is one order that the engine received.
type OrderRecord struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Obeyed  bool   `json:"obeyed"`
	TimeMS  int64  `json:"time_ms"` // Unix milliseconds
}

func newOrderState(options Options) orderState {
	return orderState{version: options.Version, role: upstream.RoleMixed}
}

// Orders returns the orders that this incarnation received.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord{}, e.orders.history...)
}

// obey takes an order. An engine that checks fencing numbers refuses one with
// a lower number than it has seen; another obeys any order.
func (e *Engine) obey(order *enginewire.Order) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.options.ChecksFence && order.Fence < e.orders.fence
	e.orders.history = append(e.orders.history, OrderRecord{
		Fence:   order.Fence,
		Version: order.Version,
		Role:    order.Role,
		Obeyed:  !old,
		TimeMS:  time.Now().UnixMilli(),
	})
	if old {
		return &refusal{upstream.RefusedFenced, fmt.Sprintf("fencing number %d is lower than %d", order.Fence, e.orders.fence)}
	}
	if order.Model != e.options.Model {
		return &refusal{upstream.RefusedUnknownModel, fmt.Sprintf("the engine serves %q", e.options.Model)}
	}
	e.orders.fence = order.Fence
	e.orders.adapters = order.Adapters
	e.orders.withdrawn = order.Withdrawn
	if order.Role != "" {
		e.orders.role = order.Role
	}
	e.setVersion(order.Version)
	return nil
}

// setVersion begins to load a version unless it is loaded or being loaded. The
// caller holds the lock.
func (e *Engine) setVersion(version string) {
	if version == "" || version == e.orders.loading {
		return
	}
	if version == e.orders.version {
		e.orders.loading = ""
		return
	}
	e.orders.loading = version
	e.stopped.Add(1)
	go e.load(version, e.incarnation)
}

// load pulls the weights of a version and then serves it, unless another order
// came in the meantime.
func (e *Engine) load(version string, incarnation uint64) {
	defer e.stopped.Done()
	for !e.pull(version) {
		if !e.sleep(pullRetryInterval) || !e.isLoading(version, incarnation) {
			return
		}
	}
	if !e.sleep(e.options.LoadTime) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.loading == version && e.incarnation == incarnation {
		e.orders.version = version
		e.orders.loading = ""
	}
}

func (e *Engine) isLoading(version string, incarnation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.loading == version && e.incarnation == incarnation
}

// sleep reports false if the engine was closed.
func (e *Engine) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-e.closed:
		return false
	}
}

// pull asks the weight store for a version.
func (e *Engine) pull(version string) bool {
	if e.options.WeightStore == "" {
		return true
	}
	query := url.Values{}
	query.Set("engine", e.options.Name)
	query.Set("model", e.options.Model)
	query.Set("version", version)
	resp, err := e.peers.Get("http://" + e.options.WeightStore + platformstub.PathWeights + "?" + query.Encode())
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
