package host

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	operatorv1 "github.com/citronscale/citronscale/api/operator/v1"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
)

var snakeCase = regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)

// checkNames fails for each member name that is not in snake case.
func checkNames(t *testing.T, path string, value any) {
	t.Helper()
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			assert.Assert(t, snakeCase.MatchString(name), "%s.%s", path, name)
			checkNames(t, path+"."+name, inner)
		}
	case []any:
		for i, inner := range v {
			checkNames(t, fmt.Sprintf("%s[%d]", path, i), inner)
		}
	}
}

// TestDumpHoldsEveryPartAndNoSecret dumps a host with one stream in flight, one
// queued request and one used key.
func TestDumpHoldsEveryPartAndNoSecret(t *testing.T) {
	options := enginestub.DefaultOptions()
	options.CapacityTokens = 4_000
	fleet := newFleet(t, options, "queue_time_ms = 20_000")
	h := fleet.startReady("host-1")
	keys, err := h.IssueKeys(testTeam, 1)
	assert.NilError(t, err)
	booked := h.post("/services/booking/bookings", `{"pallet":7}`, "Idempotency-Key", keys[0])
	assert.NilError(t, booked.Body.Close())
	assert.Equal(t, booked.StatusCode, http.StatusOK)
	first := h.post("/v1/completions", completionOf(100, 3_000, true))
	defer func() { _ = first.Body.Close() }()
	ended := make(chan string, 1)
	go func() {
		second, err := h.send("/v1/completions", strings.NewReader(completionOf(100, 3_000, true)), "Citron-Timeout", "20s")
		if err != nil {
			ended <- err.Error()
			return
		}
		ended <- fmt.Sprintf("status %d, code %s", second.StatusCode, second.Header.Get("Citron-Code"))
		_ = second.Body.Close()
	}()
	h.await("a request is queued", func() bool { return len(h.dump(time.Now()).Queues) == 1 })
	h.await("the owned engine has a charged account", func() bool {
		owned := h.dump(time.Now()).Owned
		return len(owned) == 1 && owned[0].ChargedTokens > 0
	})

	answer, err := (&operatorService{host: h.Host}).Dump(t.Context(), connect.NewRequest(&operatorv1.DumpRequest{}))
	assert.NilError(t, err)
	var parts map[string]any
	assert.NilError(t, json.Unmarshal(answer.Msg.GetJson(), &parts))
	checkNames(t, "dump", parts)
	for _, name := range []string{"members", "upstreams", "owned_engines", "leases", "queues", "teams"} {
		list, _ := parts[name].([]any)
		if len(list) > 0 {
			continue
		}
		select {
		case result := <-ended:
			t.Fatalf("%s is empty; the queued request has ended: %s", name, result)
		default:
			t.Fatalf("%s is empty; the queued request has not ended; %+v in flight", name, h.dump(time.Now()).InFlight)
		}
	}
	d := h.dump(time.Now())
	assert.Equal(t, d.InFlight.Requests, 2)
	assert.Equal(t, d.Keys.Used, 1)
	assert.Assert(t, d.Keys.AnswerBytes > 0)
	assert.Assert(t, d.Retries.Budget > 0)
	text := string(answer.Msg.GetJson())
	for _, secret := range []string{testToken, keys[0], "pallet pallet"} {
		assert.Assert(t, !strings.Contains(text, secret))
	}
}

// TestOwnHostHasNoMessageAge guards against a growing age of the host's own
// record, for which no messages arrive.
func TestOwnHostHasNoMessageAge(t *testing.T) {
	fleet := newFleet(t, enginestub.DefaultOptions())
	h := fleet.startReady("host-1")
	answer, err := (&operatorService{host: h.Host}).Hosts(t.Context(), connect.NewRequest(&operatorv1.HostsRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Msg.GetHosts()), 1)
	assert.Equal(t, answer.Msg.GetHosts()[0].GetHeardMsAgo(), uint64(0))
}
