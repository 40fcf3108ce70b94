package keyed

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/testseed"
)

const historySteps = 150

var allFaults = faults{kill: true, freeze: true, cut: true, lose: true, duplicate: true, clocks: true, hostile: true, service: true, slow: true, full: true}

// TestRunsAtMostOnce guards against a call that runs twice. It sends copies with
// the same keys through three hosts under all faults. The record of the service
// is the oracle.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runHistory(t, testseed.Drawn{T: t}, allFaults)
	})
}

// TestRunsAtMostOnceSeeded runs many seeded histories, which reach longer sequences
// of faults than the drawn ones.
func TestRunsAtMostOnceSeeded(t *testing.T) {
	const histories = 3000
	for seed := range uint64(histories) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runHistory(t, testseed.Seeded(seed), allFaults)
		})
	}
}

func runHistory(t assert.TestingT, choose testseed.Chooser, f faults) *simulation {
	w := newSimulation(t, choose, f)
	for range historySteps {
		w.step()
	}
	w.finishAndCheck()
	return w
}

// TestOutcomeSharesByFault prints how often callers receive each outcome under each
// fault. Run it with -v to see the table.
func TestOutcomeSharesByFault(t *testing.T) {
	const histories = 300
	rows := []struct {
		name string
		f    faults
	}{
		{"none", faults{}},
		{"kill and restart", faults{kill: true}},
		{"freeze and late wake-up", faults{freeze: true}},
		{"partition", faults{cut: true}},
		{"lost forwards", faults{lose: true}},
		{"duplicated forwards", faults{duplicate: true}},
		{"clock steps", faults{clocks: true}},
		{"service refuses or loses", faults{service: true}},
		{"slow hosts", faults{slow: true}},
		{"full table", faults{full: true}},
		{"kill and partition", faults{kill: true, cut: true}},
		{"all", allFaults},
	}
	var table strings.Builder
	table.WriteString("\n| fault | answers | faults per 100 answers | answered or ran | not run | may have run | issuer lost | outcome unknown |\n|---|---|---|---|---|---|---|---|\n")
	for _, row := range rows {
		total := map[code.Code]int{}
		injected := 0
		for seed := range uint64(histories) {
			w := runHistory(t, testseed.Seeded(seed), row.f)
			injected += w.injected
			for result, count := range w.answers {
				total[result] += count
			}
		}
		table.WriteString(shareRow(row.name, total, injected))
	}
	t.Log(table.String())
}

func shareRow(name string, total map[code.Code]int, injected int) string {
	var sum float64
	byOutcome := map[code.Outcome]float64{}
	for result, count := range total {
		sum += float64(count)
		if result == code.OK {
			byOutcome[code.Ran] += float64(count)
			continue
		}
		byOutcome[result.Outcome()] += float64(count)
	}
	share := func(count float64) string { return fmt.Sprintf("%.1f %%", 100*count/sum) }
	return fmt.Sprintf("| %s | %.0f | %.0f | %s | %s | %s | %s | %s |\n", name, sum, 100*float64(injected)/sum, share(byOutcome[code.Ran]), share(byOutcome[code.NotRun]),
		share(byOutcome[code.MayHaveRun]), share(float64(total[code.KeyIssuerLost])), share(float64(total[code.KeyOutcomeUnknown])))
}

func testIssuer(secret int) *Issuer {
	return New(Options{
		Host: "host-1", Incarnation: 7, Secret: Secret{byte(secret)}, Lifetime: testLifetime,
		MaxKeys: testMaxKeys, MaxTeamKeys: testMaxKeys, MaxOutcomeBytes: testMaxBytes, MaxAnswerBytes: testMaxBytes,
	})
}

// TestInvalidKeysAreRefused checks the result code for each kind of invalid key.
func TestInvalidKeysAreRefused(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	issuer := testIssuer(1)
	keys, err := issuer.Issue(now, "team-1", 1)
	assert.NilError(t, err)
	key := keys[0]
	otherSecret, err := testIssuer(2).Issue(now, "team-1", 1)
	assert.NilError(t, err)
	cases := []struct {
		name, team, key string
		after           time.Duration
		want            code.Code
	}{
		{"good", "team-1", key, 0, code.OK},
		{"made by the caller", "team-1", "6fa459ea-ee8a-3ca4-894e-db77e160355e", 0, code.KeyNotIssued},
		{"other secret", "team-1", otherSecret[0], 0, code.KeyNotIssued},
		{"other team", "team-2", key, 0, code.KeyForeign},
		{"expired", "team-1", key, testLifetime, code.KeyExpired},
		{"other incarnation", "team-1", strings.Replace(key, ".7.", ".6.", 1), 0, code.KeyIssuerLost},
		{"other host", "team-1", strings.Replace(key, "host-1", "host-2", 1), 0, code.KeyIssuerLost},
		{"too long", "team-1", key + strings.Repeat("a", MaxKeyLength), 0, code.KeyNotIssued},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := issuer.Verify(now.Add(c.after), c.team, c.key)
			assert.Equal(t, code.Of(err), c.want)
			issuer.latestTime = now
		})
	}
}

// FuzzParseKey passes arbitrary texts to ParseKey and Verify, because keys come
// from callers.
func FuzzParseKey(f *testing.F) {
	keys, err := testIssuer(1).Issue(time.UnixMilli(1_000_000), "team-1", 1)
	assert.NilError(f, err)
	f.Add(keys[0])
	f.Add("ck1......")
	f.Add("ck1.host-1.0.0.0.AAAAAAAAAAA.AAAAAAAAAAAAAAAAAAAAAAAA")
	issuer := testIssuer(3)
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		if err == nil {
			assert.Equal(t, key.String(), text)
		}
		_, err = issuer.Verify(time.UnixMilli(1_000_000), "team-1", text)
		assert.Assert(t, err != nil, "a key that was never issued is accepted")
	})
}

func BenchmarkBegin(b *testing.B) {
	issuer := New(Options{
		Host: "host-1", Incarnation: 7, Secret: Secret{1}, Lifetime: testLifetime,
		MaxKeys: 1 << 20, MaxTeamKeys: 1 << 20, MaxOutcomeBytes: 1 << 20, MaxAnswerBytes: 1 << 16,
	})
	now := time.UnixMilli(1_000_000)
	for n := uint64(1); b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		keys, _ := issuer.Issue(now, "team-1", 1)
		decision := issuer.Begin(now, Call{Request: ident.Request{Sequence: n}, Team: "team-1", Key: keys[0], Deadline: now.Add(time.Second)})
		_ = issuer.Sending(now, decision.Ticket)
		_ = issuer.Finish(now, decision.Ticket, Outcome{Code: code.OK})
	}
}

// TestLifetimeChangeKeepsIssuedKeys checks that a change of the lifetime does
// not affect keys issued before: an expired key that became valid again could run
// its call twice.
func TestLifetimeChangeKeepsIssuedKeys(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	issuer := testIssuer(1)
	before, err := issuer.Issue(now, "team-1", 1)
	assert.NilError(t, err)
	issuer.SetLifetime(2 * testLifetime)
	after, err := issuer.Issue(now, "team-1", 1)
	assert.NilError(t, err)

	now = now.Add(testLifetime - time.Millisecond)
	_, err = issuer.Verify(now, "team-1", before[0])
	assert.NilError(t, err)
	now = now.Add(time.Millisecond)
	_, err = issuer.Verify(now, "team-1", before[0])
	assert.Equal(t, code.Of(err), code.KeyExpired)
	issuer.SetLifetime(time.Millisecond)
	_, err = issuer.Verify(now, "team-1", after[0])
	assert.NilError(t, err)
}
