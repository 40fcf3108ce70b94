package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
	_ "github.com/citronscale/citronscale/internal/testseed"
	"github.com/citronscale/citronscale/upstream"
)

func TestWorkloadFilesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../workloads/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 1)
	for _, path := range paths {
		if filepath.Base(path) == "fleet.toml" {
			continue
		}
		w, err := Load(path)
		assert.NilError(t, err)
		assert.Equal(t, w.Name+".toml", filepath.Base(path))
	}
}

func TestTeamsOfWorkloadsAuthenticate(t *testing.T) {
	data, err := os.ReadFile("../../workloads/fleet.toml")
	assert.NilError(t, err)
	published, err := config.Parse(1, data)
	assert.NilError(t, err)
	teams, err := ReadTeams("../../workloads/teams.txt")
	assert.NilError(t, err)
	assert.Equal(t, len(teams), 10)
	for _, team := range teams {
		name, ok := published.Authenticate(team.Token)
		assert.Assert(t, ok)
		assert.Equal(t, name, team.Name)
	}
}

func TestFaultyWorkloadsAreRefused(t *testing.T) {
	good := `format = 1
name = "w"
duration = "1s"
team_weights = [1]
alone = ["s"]
[[stream]]
name = "s"
rate = 1
prompt_tokens = { min = 10, max = 20 }
max_tokens = { min = 1, max = 2 }
timeout = "1s"
`
	_, err := Parse([]byte(good))
	assert.NilError(t, err)
	for old, bad := range map[string]string{
		`format = 1`:         `format = 2`,
		`alone = ["s"]`:      `alone = ["other"]`,
		`team_weights = [1]`: `team_weights = []`,
		`max = 20`:           `max = 9`,
		`timeout = "1s"`:     `timeout = "soon"`,
		`rate = 1`:           `rat = 1`,
	} {
		_, err := Parse([]byte(strings.Replace(good, old, bad, 1)))
		assert.Assert(t, err != nil, bad)
	}
}

func testWorkload() *Workload {
	return &Workload{
		Format:      1,
		Name:        "test",
		Duration:    Duration(20 * time.Second),
		TeamWeights: []int{3, 1},
		Streams: []Stream{
			{
				Name:         "short",
				Rate:         10,
				Steps:        []Step{{At: Duration(10 * time.Second), Rate: 100}},
				PromptTokens: Range{600, 1000},
				MaxTokens:    Range{1, 8},
				Timeout:      Duration(5 * time.Second),
				Prefixes:     Prefixes{Count: 2, Tokens: 512},
			},
			{
				Name:         "long",
				Rate:         1,
				PromptTokens: Range{5000, 9000},
				MaxTokens:    Range{1, 8},
				Timeout:      Duration(5 * time.Second),
				Teams:        []int{1},
			},
		},
	}
}

func TestArrivalsFollowFromSeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := testWorkload()
		seed := rapid.Uint64().Draw(t, "seed")
		arrivals := w.Arrivals(seed, 1)
		assert.Assert(t, slices.Equal(arrivals, w.Arrivals(seed, 1)))
		last := time.Duration(0)
		for i, arrival := range arrivals {
			stream := w.Streams[arrival.Stream]
			assert.Equal(t, arrival.Index, i)
			assert.Assert(t, arrival.At >= last && arrival.At < time.Duration(w.Duration))
			assert.Assert(t, arrival.PromptTokens >= stream.PromptTokens.Min && arrival.PromptTokens <= stream.PromptTokens.Max)
			assert.Assert(t, arrival.MaxTokens >= stream.MaxTokens.Min && arrival.MaxTokens <= stream.MaxTokens.Max)
			assert.Assert(t, stream.hasTeam(arrival.Team))
			last = arrival.At
		}
		alone := w.Only(arrivals, []string{"short"})
		w.Streams = w.Streams[:1]
		for i, arrival := range w.Arrivals(seed, 1) {
			arrival.Index = alone[i].Index
			assert.Equal(t, arrival, alone[i])
		}
	})
}

func TestArrivalsFollowRateAndWeights(t *testing.T) {
	w := testWorkload()
	w.Streams = w.Streams[:1]
	var before, after, firstTeam int
	for _, arrival := range w.Arrivals(1, 10) {
		if arrival.At < 10*time.Second {
			before++
		} else {
			after++
		}
		if arrival.Team == 0 {
			firstTeam++
		}
	}
	// Six standard deviations around 1,000 and 10,000 arrivals, three in four
	// of them of the first team.
	assert.Assert(t, before > 810 && before < 1190, "%d", before)
	assert.Assert(t, after > 9400 && after < 10600, "%d", after)
	share := float64(firstTeam) / float64(before+after)
	assert.Assert(t, share > 0.72 && share < 0.78, "%f", share)
}

func TestPromptsHaveTheirLengthAndShareTheirPrefix(t *testing.T) {
	w := testWorkload()
	byPrefix := make(map[int]string)
	seen := make(map[string]bool)
	for _, arrival := range w.Arrivals(1, 1)[:50] {
		prompt := w.Prompt(arrival, 1)
		assert.Equal(t, upstream.CountTokens(prompt), arrival.PromptTokens)
		assert.Assert(t, !seen[prompt])
		seen[prompt] = true
		if arrival.Prefix == noPrefix {
			continue
		}
		prefix := prompt[:512*bytesPerToken]
		if known, ok := byPrefix[arrival.Prefix]; ok {
			assert.Equal(t, prefix, known)
		}
		byPrefix[arrival.Prefix] = prefix
	}
	assert.Equal(t, len(byPrefix), 2)
	assert.Assert(t, byPrefix[0] != byPrefix[1])
}

// fakeHost answers completions in the way that the max_tokens of a request
// choose.
const (
	answerWhole = iota + 1
	answerOfAnother
	answerWithoutEnd
	answerProblemInStream
	answerRefusal
	answerKinds
)

func fakeHost(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	data, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(data, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Citron-Request-Id", "host-1.7.1")
	switch body.MaxTokens {
	case answerRefusal:
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"code":1010,"detail":"no room"}`)
		return
	case answerOfAnother:
		body.Prompt += "x"
	}
	text := enginestub.Answer(body.Prompt, body.MaxTokens)
	for len(text) > 0 {
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", text[:4])
		text = text[4:]
	}
	switch body.MaxTokens {
	case answerProblemInStream:
		_, _ = io.WriteString(w, "data: {\"code\":2005,\"detail\":\"upstream lost\"}\n\n")
	case answerWhole, answerOfAnother:
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"\"}],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", body.MaxTokens)
	}
}

func TestRunnerJudgesAnswers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(fakeHost))
	defer server.Close()
	caller := NewCaller()
	defer caller.Close()
	w := testWorkload()
	runner := &Runner{
		Workload: w,
		Seed:     1,
		Model:    "m",
		Teams:    AssignTeams([]Team{{Name: "alpha", Token: "a"}}, 2),
		Hosts:    []string{strings.TrimPrefix(server.URL, "http://")},
		Caller:   caller,
	}
	var arrivals []Arrival
	for kind := answerWhole; kind < answerKinds; kind++ {
		arrivals = append(arrivals, Arrival{PromptTokens: 600, MaxTokens: uint32(kind), Prefix: noPrefix, PromptSeed: uint64(kind)})
	}
	results := runner.Run(t.Context(), arrivals)
	for i, want := range []struct {
		code  code.Code
		whole bool
		wrong bool
	}{
		{code.OK, true, false},
		{code.OK, false, true},
		{NoAnswer, false, false},
		{code.AnswerIncomplete, false, false},
		{code.NoCapacity, false, false},
	} {
		got := results[i]
		assert.Equal(t, got.Answer.Code, want.code, "%d: %s", i, got.Answer.Detail)
		assert.Equal(t, got.Whole, want.whole, "%d", i)
		assert.Equal(t, got.Wrong, want.wrong, "%d", i)
	}
	report := NewReport(runner, 1, results, time.Second)
	row := report.Classes[0]
	assert.Equal(t, row.Sent, 5)
	assert.Equal(t, row.Whole, 1)
	assert.Equal(t, row.Refused, 1)
	assert.Equal(t, row.Failed, 3)
	assert.Equal(t, report.Wrong, 1)
	assert.Equal(t, report.GoodputPerS, 1.0)
	assert.NilError(t, report.WriteText(io.Discard))
	_, err := WritePlots(t.TempDir(), w, results)
	assert.NilError(t, err)
}

func TestPlotsOfOneShortTime(t *testing.T) {
	answer := &Answer{FirstToken: 400 * time.Microsecond, Gaps: []time.Duration{300 * time.Microsecond}}
	results := []Result{{Answer: answer, Whole: true}}
	_, err := WritePlots(t.TempDir(), testWorkload(), results)
	assert.NilError(t, err)
}

func TestFreshPromptsShareNothing(t *testing.T) {
	runner := &Runner{Workload: testWorkload(), Seed: 1}
	fresh := runner.WithFreshPrompts()
	for _, arrival := range runner.Workload.Arrivals(1, 1)[:20] {
		a, b := runner.Workload.Prompt(arrival, runner.Seed), runner.Workload.Prompt(arrival, fresh.Seed)
		assert.Equal(t, len(a), len(b))
		assert.Assert(t, a[:64] != b[:64])
	}
}

func TestFairnessIndex(t *testing.T) {
	assert.Equal(t, fairness([]TeamRow{{Sent: 1, InTimeShare: 0.5}, {Sent: 1, InTimeShare: 0.5}, {}}), 1.0)
	assert.Equal(t, fairness([]TeamRow{{Sent: 1, InTimeShare: 1}, {Sent: 1}}), 0.5)
}
