package gang

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/code"
	_ "github.com/citronscale/citronscale/internal/testseed"
	"github.com/citronscale/citronscale/upstream"
)

func TestPlanDividesThePromptWithinFreeMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := make([]Candidate, rapid.IntRange(1, 8).Draw(t, "engines"))
		free := make(map[upstream.Name]uint64)
		for i := range candidates {
			capacity := rapid.Uint64Range(0, 400_000).Draw(t, "capacity")
			candidates[i] = Candidate{
				Name:           upstream.Name(fmt.Sprintf("engine-%d", i)),
				FailureDomain:  fmt.Sprintf("domain-%d", i%3),
				CapacityTokens: capacity,
				FreeTokens:     rapid.Uint64Range(0, capacity).Draw(t, "free"),
			}
			free[candidates[i].Name] = candidates[i].FreeTokens
		}
		prompt := rapid.Uint32Range(1, 1_000_000).Draw(t, "prompt")
		answer := rapid.Uint32Range(1, 10_000).Draw(t, "answer")
		placement, err := Plan(prompt, answer, candidates, "domain-1")
		if err != nil {
			c := code.Of(err)
			assert.Assert(t, c == code.NoCapacity || c == code.PromptTooLong, "%v", err)
			return
		}
		var offset uint32
		for i, part := range placement.Parts {
			assert.Equal(t, part.Index, uint32(i))
			assert.Equal(t, part.Offset, offset)
			assert.Assert(t, uint64(part.Reserve) <= free[part.Member], "%+v", part)
			assert.Assert(t, i == len(placement.Parts)-1 || part.Tokens%upstream.BlockTokens == 0)
			delete(free, part.Member)
			offset += part.Tokens
		}
		assert.Equal(t, offset, prompt)
		lead := placement.Lead()
		assert.Equal(t, lead.Reserve, lead.Tokens+answer)
	})
}

func TestPlanPrefersTheOwnFailureDomain(t *testing.T) {
	var candidates []Candidate
	for i := range 9 {
		candidates = append(candidates, Candidate{
			Name:           upstream.Name(fmt.Sprintf("engine-%d", i)),
			FailureDomain:  fmt.Sprintf("domain-%d", i%3),
			CapacityTokens: 400_000,
			FreeTokens:     400_000 - uint64(i),
		})
	}
	domains := func(prompt uint32) map[string]bool {
		placement, err := Plan(prompt, 1000, candidates, "domain-2")
		assert.NilError(t, err)
		seen := make(map[string]bool)
		for _, part := range placement.Parts {
			for _, c := range candidates {
				if c.Name == part.Member {
					seen[c.FailureDomain] = true
				}
			}
		}
		return seen
	}
	assert.DeepEqual(t, domains(1_000_000), map[string]bool{"domain-2": true})
	assert.Assert(t, len(domains(1_500_000)) > 1)
	_, err := Plan(4_000_000, 1000, candidates, "domain-2")
	assert.Equal(t, code.Of(err), code.PromptTooLong)
	for i := range candidates {
		candidates[i].FreeTokens = 100_000
	}
	_, err = Plan(1_000_000, 1000, candidates, "domain-2")
	assert.Equal(t, code.Of(err), code.NoCapacity)
}
