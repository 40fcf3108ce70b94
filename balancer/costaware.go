package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronscale/citronscale/upstream"
)

// Options tune the policy CostAware.
type Options struct {
	Samples        int     // engines drawn at random for each decision
	AffinityBound  float64 // prefix affinity applies up to this multiple of the mean load
	AffinitySlack  float64 // plus this share of the engine's capacity
	NearEqual      float64 // loads that differ by less than this share count as equal
	RotationMargin float64 // advantage in score of the engine that is next in the rotation
}

// DefaultOptions returns the options in use unless the configuration says
// otherwise.
func DefaultOptions() Options {
	return Options{Samples: 3, AffinityBound: 1.25, AffinitySlack: 0.05, NearEqual: 0.02, RotationMargin: 0.1}
}

// CostAware compares a few engines drawn at random and the home engine of the
// prompt's prefix by the number of tokens that would delay the request there.
// Among nearly equal loads it prefers the failure domain of this host.
type CostAware struct {
	OwnDomain string
	Options   Options
}

// candidate is an engine under consideration.
type candidate struct {
	load     *Load
	cached   uint64 // tokens of the prompt in its prefix cache
	affinity bool   // this engine is the home of the prompt's prefix
	next     bool   // this engine is next in the rotation
	score    float64
}

// Pick implements Picker. It scans all loads for the prefix affinity and uses
// no rotation; a Set decides without the scan.
func (p *CostAware) Pick(_ time.Time, req *Request, loads []Load, rng *rand.Rand) []upstream.Name {
	var candidates []candidate
	for _, load := range sample(loads, req, p.Options.Samples, rng) {
		candidates = append(candidates, candidate{load: load})
	}
	if home := scanAffinity(req, loads); home != nil {
		candidates = addCandidate(candidates, candidate{load: home, affinity: true})
	}
	return p.order(req, meanAhead(req.Class, loads), candidates)
}

// addCandidate adds c or merges it with the candidate of the same engine.
func addCandidate(candidates []candidate, c candidate) []candidate {
	for i := range candidates {
		if candidates[i].load.Name == c.load.Name {
			candidates[i].cached = max(candidates[i].cached, c.cached)
			candidates[i].affinity = candidates[i].affinity || c.affinity
			return candidates
		}
	}
	return append(candidates, c)
}

// order sorts the candidates and returns the names of the best MaxCandidates.
func (p *CostAware) order(req *Request, mean float64, candidates []candidate) []upstream.Name {
	for i := range candidates {
		candidates[i].score = p.score(req, mean, &candidates[i])
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	p.preferOwnDomain(candidates)
	picked := make([]upstream.Name, 0, MaxCandidates)
	for _, c := range candidates[:min(len(candidates), MaxCandidates)] {
		picked = append(picked, c.load.Name)
	}
	return picked
}

// The bonus and the penalty order candidates in groups; they exceed any real load
// ratio.
const (
	affinityBonus   = -1e6
	overflowPenalty = 1e6
)

// shortfallWeight is the weight of a memory shortfall relative to the work ahead.
const shortfallWeight = 4

// score rates an engine for the request; lower is better. It sums the work served
// before or with the request, the cost of the request and the weighted memory
// shortfall, as shares of the capacity.
func (p *CostAware) score(req *Request, mean float64, c *candidate) float64 {
	capacity := float64(max(c.load.CapacityTokens, 1))
	ahead := c.load.ByClass.ahead(req.Class) / capacity
	cost := float64(req.Memory()-min(c.cached, uint64(req.PromptTokens))) / capacity
	shortfall := max(0, c.load.memoryLoad()+float64(req.Memory())/capacity-1)
	score := ahead + cost + shortfallWeight*shortfall
	if c.next {
		score -= p.Options.RotationMargin
	}
	if req.Memory() > c.load.CapacityTokens {
		return score + overflowPenalty
	}
	preferred := c.affinity || c.cached > 0
	if preferred && shortfall == 0 && ahead <= mean*p.Options.AffinityBound+p.Options.AffinitySlack {
		return score + affinityBonus*affinityWeight(req, c)
	}
	return score
}

// affinityWeight ranks preferred engines by the cached share of the prompt; a
// home engine that has nothing cached ranks last among them.
func affinityWeight(req *Request, c *candidate) float64 {
	cachedShare := float64(c.cached) / float64(max(req.PromptTokens, 1))
	return 1 + cachedShare
}

// preferOwnDomain moves an engine of this host's failure domain to the front if
// its score is nearly equal to the best.
func (p *CostAware) preferOwnDomain(candidates []candidate) {
	for i := range candidates {
		if candidates[i].score > candidates[0].score+p.Options.NearEqual {
			return
		}
		if candidates[i].load.FailureDomain == p.OwnDomain {
			best := candidates[i]
			copy(candidates[1:i+1], candidates[:i])
			candidates[0] = best
			return
		}
	}
}

// affinityLevel is the index in PrefixDigests of the digest that selects the home
// engine: prompts that share their first 8 blocks have the same home.
const affinityLevel = 3

// affinityDigest returns the digest that selects the home engine of req.
func affinityDigest(req *Request) (uint64, bool) {
	if len(req.PrefixDigests) == 0 {
		return 0, false
	}
	return req.PrefixDigests[min(affinityLevel, len(req.PrefixDigests)-1)], true
}

func scanAffinity(req *Request, loads []Load) *Load {
	digest, ok := affinityDigest(req)
	if !ok {
		return nil
	}
	var best *Load
	var bestWeight uint64
	for i := range loads {
		if !loads[i].usable(req) {
			continue
		}
		weight := mix(digest ^ nameHash(loads[i].Name))
		if best == nil || weight > bestWeight {
			best, bestWeight = &loads[i], weight
		}
	}
	return best
}

func nameHash(name upstream.Name) uint64 {
	return xxhash.Sum64String(string(name))
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// meanAhead returns the work on all engines that delays a request of the class,
// as a share of their total capacity.
func meanAhead(class Class, loads []Load) float64 {
	var sums ByClass
	var capacity uint64
	for i := range loads {
		if loads[i].Leaving || loads[i].Failed {
			continue
		}
		sums.add(&loads[i].ByClass)
		capacity += loads[i].CapacityTokens
	}
	return sums.ahead(class) / float64(max(capacity, 1))
}
