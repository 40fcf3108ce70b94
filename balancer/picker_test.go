package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/upstream"
)

var epoch = time.Unix(1_700_000_000, 0)

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

func fleet(n int) []Load {
	loads := make([]Load, n)
	for i := range loads {
		loads[i] = Load{
			Name:           upstream.Name(fmt.Sprintf("engine-%04d", i)),
			FailureDomain:  fmt.Sprintf("domain-%d", i%3),
			CapacityTokens: 1 << 20,
			AsOf:           epoch,
		}
	}
	return loads
}

func TestEveryPolicySkipsUnusableEngines(t *testing.T) {
	for _, name := range []string{"random", "round-robin", "least-in-flight", "better-of-two", "cost-aware"} {
		policy, err := NewPicker(name, "domain-0")
		assert.NilError(t, err)
		loads := fleet(4)
		loads[0].Leaving = true
		loads[1].Failed = true
		req := &Request{PromptTokens: 5000, PrefixDigests: []uint64{1, 2}, Avoid: []upstream.Name{loads[2].Name}}
		rng := newRand()
		for range 100 {
			assert.DeepEqual(t, policy.Pick(epoch, req, loads, rng), []upstream.Name{loads[3].Name})
		}
		loads[3].Failed = true
		assert.Equal(t, len(policy.Pick(epoch, req, loads, rng)), 0, name)
		assert.Equal(t, len(policy.Pick(epoch, req, nil, rng)), 0, name)
	}
	_, err := NewPicker("best", "")
	assert.ErrorContains(t, err, `"best" does not exist`)
}

func TestRoundRobinTakesTurns(t *testing.T) {
	policy := &RoundRobin{}
	loads := fleet(3)
	var first []upstream.Name
	for range 4 {
		first = append(first, policy.Pick(epoch, &Request{}, loads, nil)[0])
	}
	assert.DeepEqual(t, first, []upstream.Name{loads[0].Name, loads[1].Name, loads[2].Name, loads[0].Name})
}

func TestCostAwarePrefersOwnDomainOnlyBetweenNearlyEqualLoads(t *testing.T) {
	policy := &CostAware{OwnDomain: "domain-1", Options: DefaultOptions()}
	loads := fleet(2)
	req := &Request{PromptTokens: 1000, MaxTokens: 100, Class: ClassShort}
	assert.Equal(t, policy.Pick(epoch, req, loads, newRand())[0], loads[1].Name)
	loads[1].ByClass[ClassShort] = loads[1].CapacityTokens / 10
	assert.Equal(t, policy.Pick(epoch, req, loads, newRand())[0], loads[0].Name)
}

func TestCostAwareKeepsPrefixTogetherUnlessLoaded(t *testing.T) {
	policy := &CostAware{Options: DefaultOptions()}
	loads := fleet(20)
	for i := range loads {
		loads[i].ByClass[ClassMedium] = loads[i].CapacityTokens / 2
	}
	req := &Request{PromptTokens: 20_000, Class: ClassMedium, PrefixDigests: []uint64{1, 2, 3, 4, 5}}
	rng := newRand()
	home := policy.Pick(epoch, req, loads, rng)[0]
	samePrefix := *req
	samePrefix.PrefixDigests = []uint64{1, 2, 3, 4, 99}
	for range 50 {
		assert.Equal(t, policy.Pick(epoch, &samePrefix, loads, rng)[0], home)
	}
	at := slices.IndexFunc(loads, func(l Load) bool { return l.Name == home })
	loads[at].ByClass[ClassMedium] += loads[at].CapacityTokens / 4
	for range 50 {
		assert.Assert(t, policy.Pick(epoch, req, loads, rng)[0] != home)
	}
}

func TestCostAwareRanksTooSmallEnginesLast(t *testing.T) {
	policy := &CostAware{Options: DefaultOptions()}
	loads := fleet(2)
	loads[0].CapacityTokens = 1000
	loads[1].UsedTokens = loads[1].CapacityTokens
	picked := policy.Pick(epoch, &Request{PromptTokens: 2000}, loads, newRand())
	assert.DeepEqual(t, picked, []upstream.Name{loads[1].Name, loads[0].Name})
}

func TestCostAwareDiscountsLongWorkForShortRequests(t *testing.T) {
	policy := &CostAware{Options: DefaultOptions()}
	loads := fleet(2)
	loads[0].ByClass[ClassLong] = loads[0].CapacityTokens / 4
	loads[1].ByClass[ClassShort] = loads[1].CapacityTokens / 8
	for class, want := range map[Class]int{ClassShort: 0, ClassLong: 1} {
		picked := policy.Pick(epoch, &Request{PromptTokens: 2000, Class: class}, loads, newRand())
		assert.Equal(t, picked[0], loads[want].Name, class.String())
	}
}

func TestClassify(t *testing.T) {
	bounds := Bounds{ShortTokens: 10, MediumTokens: 100}
	for tokens, want := range map[uint32]Class{10: ClassShort, 11: ClassMedium, 100: ClassMedium, 101: ClassLong} {
		assert.Equal(t, Classify(tokens, bounds), want)
		assert.Equal(t, ClassOf(want.Wire()), want)
		assert.Equal(t, ClassOfPriority(want.Priority()), want)
	}
}
