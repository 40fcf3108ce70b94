package host

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
	"github.com/citronscale/citronscale/keyed"
	"github.com/citronscale/citronscale/lease"
	"github.com/citronscale/citronscale/strike"
)

// TestPolicyTakesEffectWithoutRestart publishes a new revision to a running
// host and checks the parts that keep a copy of its values.
func TestPolicyTakesEffectWithoutRestart(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions())
	h := fleet.startReady("host-1")
	assert.Equal(t, lifetimeOf(t, h), 10*time.Minute)
	content := strike.DigestOf(testModel, "crashes engines")
	defer h.strikes.begin("engine-1", content)()
	h.strikes.crashed(time.Now(), "engine-1", 1)
	assert.Equal(t, h.strikes.judge(time.Now().Add(2*time.Second), content), strike.Spread)

	revision := fleet.publish("key_lifetime_ms = 120_000", "retry_ratio = 1", "lease_quantum_tokens = 5_000", "lease_ttl_ms = 4_000", "strike_lifetime_ms = 1_000")
	h.await("the new revision is in force", func() bool { return h.agreement.revision() == revision })
	h.await("keys have the new lifetime", func() bool { return lifetimeOf(t, h) == 2*time.Minute })
	assert.Equal(t, h.strikes.judge(time.Now().Add(2*time.Second), content), strike.Allow)
	assert.Equal(t, h.wantedTokens(20_000), uint32(5_000))
	assert.Equal(t, h.retryGain(), 1.0)
	h.await("leases have the new time to live", func() bool { return h.ttl() == 4*time.Second })
}

// lifetimeOf returns the lifetime of a key that the host issues, to the second.
func lifetimeOf(t *testing.T, h *testHost) time.Duration {
	t.Helper()
	keys, err := h.IssueKeys(testTeam, 1)
	assert.NilError(t, err)
	key, err := keyed.ParseKey(keys[0])
	assert.NilError(t, err)
	return time.Until(key.Expires).Round(10 * time.Second)
}

// wantedTokens returns the tokens that a holder requests ahead of need after it
// has used the given number.
func (h *testHost) wantedTokens(taken uint64) uint32 {
	p := h.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	key := lease.Key{Engine: "engine-of-the-test", Class: 1}
	now := time.Now()
	request := p.leases.Request(now, key, taken)
	p.leases.HandleResponse(key, request.GetSequence(), &peerv1.LeaseResponse{GrantedTokens: request.GetNeedTokens(), TtlMs: 2_000})
	permit, _ := p.leases.Take(now, key, taken)
	p.leases.Return(permit)
	return p.leases.Request(now, key, 0).GetHeldTokens()
}

// retryGain returns what one first attempt adds to an empty retry budget.
func (h *testHost) retryGain() float64 {
	p := h.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for p.retryBudget.Take(now) {
	}
	before := p.retryBudget.Level(now)
	p.retryBudget.RecordFirst(now)
	return p.retryBudget.Level(now) - before
}

// ttl returns the time to live of a lease on the only engine.
func (h *testHost) ttl() time.Duration {
	key := lease.Key{Engine: "engine-1", Class: 1}
	h.placement.mu.Lock()
	request := h.placement.leases.Request(time.Now(), key, 1)
	h.placement.mu.Unlock()
	return time.Duration(h.placement.handleLease(request).GetTtlMs()) * time.Millisecond
}

// TestCallTimeoutBoundsOneCall calls a service that never answers.
func TestCallTimeoutBoundsOneCall(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions(), "call_timeout_ms = 100")
	h := fleet.startReady("host-1")
	fleet.service.SetHang(true)
	response := h.post("/services/booking/stock", "{}", "Citron-Timeout", "20s")
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout, string(data))
	var problem struct {
		Code code.Code `json:"code"`
	}
	assert.NilError(t, json.Unmarshal(data, &problem), string(data))
	assert.Equal(t, problem.Code, code.UpstreamSilent)
	assert.Equal(t, len(fleet.service.Calls()), 1)
}
