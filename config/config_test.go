package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/code"
	_ "github.com/citronscale/citronscale/internal/testseed"
)

const sample = `format = 1

[defaults]
tokens_per_second = 20_000
short_share = 0.3

[teams]
shop = "%s"
depot = "%s"

[models.manifest]
version = "v3"
replicas = 20
withdrawn = ["v2"]

[services.booking]
non_idempotent = ["POST /bookings", "* /hold/*"]

[[exception]]
scope = "team:shop"
field = "tokens_per_second"
value = 90_000
reason = "all shops open at nine"

[[exception]]
scope = "upstream:engine-4"
field = "accept_work"
value = false
reason = "memory fault, to be replaced"
`

func sampleDocument() string {
	return fmt.Sprintf(sample, HashToken("shop-token"), HashToken("depot-token"))
}

func mustParse(t *testing.T, text string) *Config {
	t.Helper()
	c, err := Parse(7, []byte(text))
	assert.NilError(t, err)
	return c
}

func TestParseAppliesDefaultsAndExceptions(t *testing.T) {
	c := mustParse(t, sampleDocument())
	assert.Equal(t, c.Revision, uint64(7))
	assert.Equal(t, c.Digest, Digest([]byte(sampleDocument())))
	assert.Equal(t, c.Team("shop").TokensPerSecond, uint32(90_000))
	assert.Equal(t, c.Team("depot").TokensPerSecond, uint32(20_000))
	assert.Equal(t, c.Team("shop").MaxDeadline, c.Team("depot").MaxDeadline)
	assert.Equal(t, c.Fleet().ShortShare, 0.3)
	assert.Assert(t, !c.Upstream("engine-4").AcceptWork)
	assert.Assert(t, c.Upstream("engine-5").AcceptWork)
	assert.DeepEqual(t, c.Models["manifest"].Withdrawn, []string{"v2"})
}

func TestAuthenticate(t *testing.T) {
	c := mustParse(t, sampleDocument())
	team, ok := c.Authenticate("depot-token")
	assert.Assert(t, ok)
	assert.Equal(t, team, "depot")
	for _, token := range []string{"", "depot", "depot-token ", HashToken("depot-token")} {
		_, ok = c.Authenticate(token)
		assert.Assert(t, !ok, token)
	}
}

// Guards against a document whose last team was removed and that then admits everybody.
func TestDocumentWithoutTeamsAuthenticatesNobody(t *testing.T) {
	for _, text := range []string{"format = 1", "format = 1\n[teams]", "format = 1\nteams = {}"} {
		c := mustParse(t, text)
		for _, token := range []string{"", "shop-token"} {
			_, ok := c.Authenticate(token)
			assert.Assert(t, !ok, "document %q, token %q", text, token)
		}
	}
}

// Guards against callers without a token that run as a team with the digest of an empty one.
func TestMissingTokenAuthenticatesNobody(t *testing.T) {
	_, ok := mustParse(t, fmt.Sprintf("format = 1\n[teams]\nshop = %q", HashToken(""))).Authenticate("")
	assert.Assert(t, !ok)
}

func TestNonIdempotentCalls(t *testing.T) {
	s := mustParse(t, sampleDocument()).Services["booking"]
	assert.Assert(t, s.IsNonIdempotent("POST", "/bookings"))
	assert.Assert(t, !s.IsNonIdempotent("GET", "/bookings"))
	assert.Assert(t, s.IsNonIdempotent("PUT", "/hold/room-1"))
	assert.Assert(t, !s.IsNonIdempotent("POST", "/bookings/1"))
}

func TestExplainReturnsOriginAndReason(t *testing.T) {
	found := make(map[string]Value)
	for _, v := range mustParse(t, sampleDocument()).Explain() {
		found[v.Scope+" "+v.Field] = v
	}
	assert.Equal(t, found["fleet short_share"].Origin, OriginDefault)
	assert.Equal(t, found["fleet queue_time_ms"].Origin, OriginBuiltIn)
	assert.DeepEqual(t, found["team:shop tokens_per_second"], Value{
		Scope: "team:shop", Field: "tokens_per_second", Value: "90000",
		Origin: OriginException, Reason: "all shops open at nine",
	})
	assert.Equal(t, found["upstream:engine-4 accept_work"].Value, "false")
}

func TestFaultsNameLineFieldAndValue(t *testing.T) {
	exception := func(lines ...string) string {
		return "format = 1\n[teams]\na = \"AAAAAAAAAAAAAAAAAAAAAA\"\n[[exception]]\n" + strings.Join(lines, "\n")
	}
	cases := []struct {
		text         string
		line         int
		field, value string
		problem      string
	}{
		{"format = 2", 1, "format", "2", "format 1"},
		{"", 0, "format", "0", "format 1"},
		{"format = 1\n[defaults]\nshort_shar = 0.1", 3, "defaults.short_shar", "0.1", "not a known field"},
		{"format = 1\n[defaults]\nshort_share = 2", 3, "defaults.short_share", "2", "from 0 to 0.9"},
		{"format = 1\n[defaults]\nqueue_time_ms = 1.5", 3, "defaults.queue_time_ms", "1.5", "an integer"},
		{"format = 1\n[defaults]\nshort_max_tokens = 200000", 3, "defaults.short_max_tokens", "200000", "exceeds field"},
		{"format = 1\n[teams]\na = \"x\"", 3, "teams.a", "x", "base64url"},
		{"format = 1\n[teams]\na = \"AAAAAAAAAAAAAAAAAAAAAA\"\nb = \"AAAAAAAAAAAAAAAAAAAAAA\"", 4, "teams.b", "AAAAAAAAAAAAAAAAAAAAAA", "team a"},
		{"format = 1\n[teams]\na = \"AAAAAAAAAAAAAAAAAAAAAA\"\na = \"BAAAAAAAAAAAAAAAAAAAAA\"", 4, "teams.a", "BAAAAAAAAAAAAAAAAAAAAA", "set twice"},
		{"format = 1\n" + numberedLines(maxKeys, "x%d = 1\n"), 0, "", "6001", "more than 6000 keys"},
		{"teams = {a = \"x\"}\nformat = 1", 1, "teams.a", "x", "base64url"},
		{"format = 1\n[models.m]\nversion = \"v1\"\nwithdrawn = [\"v1\"]", 3, "models.m.version", "v1", "withdrawn"},
		{"format = 1\n[models.m]\nversion = \"v1\"\nverson = \"v1\"", 4, "models.m.verson", `"v1"`, "not a known field"},
		{"format = 1\n[teams]\na = 3", 3, "teams.a", "3", "can't be read"},
		{"format = 1\n[services.s]\nnon_idempotent = [\"book\"]", 3, "services.s.non_idempotent", "book", "METHOD /path"},
		{exception(`scope = "team:a"`, `field = "weight"`, `value = 2`), 4, "exception.0.reason", "", "reason"},
		{exception(`scope = "team:a"`, `field = "weight"`, `value = 2`, `reason = "because"`), 8, "exception.0.reason", "because", "at least 10"},
		{exception(`scope = "team:b"`, `field = "weight"`, `value = 2`, `reason = "a long reason"`), 5, "exception.0.scope", "team:b", "lacks"},
		{exception(`scope = "team:a"`, `field = "short_share"`, `value = 0.2`, `reason = "a long reason"`), 6, "exception.0.field", "short_share", "allows no exception"},
		{exception(`scope = "team:a"`, `field = "weight"`, `value = "2"`, `reason = "a long reason"`), 7, "exception.0.value", "2", "a number"},
		{exception(`scope = "team:a"`, `field = "default_deadline_ms"`, `value = 700_000`, `reason = "a long reason"`), 4, "exception.0.default_deadline_ms", "700000", "exceeds field"},
	}
	for _, c := range cases {
		_, err := Parse(3, []byte(c.text))
		var list *FaultList
		assert.Assert(t, errors.As(err, &list), "document %q: %v", c.text, err)
		assert.Equal(t, len(list.Faults), 1, "document %q: %v", c.text, err)
		fault := list.Faults[0]
		assert.Equal(t, fault.Line, c.line, "document %q: %v", c.text, err)
		assert.Equal(t, fault.Field, c.field, "document %q", c.text)
		assert.Equal(t, fault.Value, c.value, "document %q", c.text)
		assert.Assert(t, strings.Contains(fault.Problem, c.problem), "document %q: %v", c.text, err)
		assert.Assert(t, code.Has(err, code.ConfigInvalid))
	}
}

func TestParseListsAllFaults(t *testing.T) {
	_, err := Parse(3, []byte("format = 1\n[defaults]\nb = 1\na = 2\nweight = 0"))
	var list *FaultList
	assert.Assert(t, errors.As(err, &list))
	assert.Equal(t, len(list.Faults), 3)
	assert.Equal(t, list.Faults[0].Field, "defaults.b")
}

// Hosts must agree on whether a document is valid. This test parses each mutated
// document twice and expects the same configuration, or the same faults in the
// same order.
func TestParseIsDeterministic(t *testing.T) {
	lines := strings.SplitAfter(sampleDocument(), "\n")
	rapid.Check(t, func(t *rapid.T) {
		mutated := make([]string, 0, len(lines))
		for _, line := range lines {
			switch rapid.IntRange(0, 12).Draw(t, "mutation") {
			case 0:
			case 1:
				mutated = append(mutated, line, line)
			case 2:
				mutated = append(mutated, strings.ReplaceAll(line, "0", "x"))
			default:
				mutated = append(mutated, line)
			}
		}
		text := strings.Join(mutated, "")
		first, firstErr := Parse(1, []byte(text))
		second, secondErr := Parse(1, []byte(text))
		assert.Equal(t, fmt.Sprint(firstErr), fmt.Sprint(secondErr))
		if firstErr == nil {
			assert.DeepEqual(t, first.Explain(), second.Explain())
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(sampleDocument())
	f.Add("format = 1\n[defaults]\nweight = nan")
	f.Add("format = 1\nexception = [{scope = \"team:a\"}]")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse(1, []byte(text))
		if err == nil {
			c.Explain()
			return
		}
		var list *FaultList
		assert.Assert(t, errors.As(err, &list))
		assert.Assert(t, len(list.Faults) > 0)
		for _, fault := range list.Faults {
			assert.Assert(t, fault.Line >= 0 && fault.Line <= strings.Count(text, "\n")+1)
		}
	})
}

// BenchmarkParseManyFaults guards against time that grows with the square of the
// number of faults.
func BenchmarkParseManyFaults(b *testing.B) {
	for _, size := range []int{1_000, 4_000} {
		text := "format = 1\n[defaults]\n" + numberedLines(size, "unknown-%d = 1\n")
		strict := "format = 1\n[models.m]\n" + numberedLines(size, "unknown-%d = 1\n")
		b.Run(fmt.Sprintf("defaults=%d", size), func(b *testing.B) { parseRepeatedly(b, text) })
		b.Run(fmt.Sprintf("strict=%d", size), func(b *testing.B) { parseRepeatedly(b, strict) })
	}
}

func BenchmarkParseTeams(b *testing.B) {
	for _, teams := range []int{10, 2_100, 21_000} {
		text := teamDocument(teams)
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			b.ReportMetric(float64(len(text)), "document-bytes")
			parseRepeatedly(b, text)
		})
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, teams := range []int{10, 2_100, 21_000} {
		c, err := Parse(1, []byte(teamDocument(teams)))
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				c.Authenticate("token-7")
			}
		})
	}
}

func parseRepeatedly(b *testing.B, text string) {
	for b.Loop() {
		_, _ = Parse(1, []byte(text))
	}
}

func numberedLines(n int, format string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

// teamDocument returns a document with the given number of teams and one
// exception per hundred of them.
func teamDocument(teams int) string {
	var b strings.Builder
	b.WriteString("format = 1\n[models.manifest]\nversion = \"v1\"\nreplicas = 20\n[teams]\n")
	for i := range teams {
		fmt.Fprintf(&b, "team-%d = %q\n", i, HashToken(fmt.Sprintf("token-%d", i)))
	}
	for i := 0; i < teams; i += 100 {
		fmt.Fprintf(&b, "[[exception]]\nscope = \"team:team-%d\"\nfield = \"weight\"\nvalue = 2\nreason = \"opens early each day\"\n", i)
	}
	return b.String()
}
