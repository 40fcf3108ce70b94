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
	Samples       int     // engines drawn at random for each decision
	AffinityBound float64 // an engine keeps its prefixes up to this multiple of the mean load
	AffinitySlack float64 // and this share of its capacity above that
	NearEqual     float64 // loads that differ by less than this share count as equal
	TurnMargin    float64 // share by which another engine must be better than the one whose turn it is
}

// DefaultOptions returns the options in use unless the configuration says
// otherwise.
func DefaultOptions() Options {
	return Options{Samples: 3, AffinityBound: 1.25, AffinitySlack: 0.05, NearEqual: 0.02, TurnMargin: 0.1}
}

// CostAware compares a few engines drawn at random and the engine that the
// prefix of the prompt belongs to, by the tokens that would delay the request
// there. The own failure domain wins between loads that are nearly equal.
type CostAware struct {
	OwnDomain string
	Options   Options
}

// candidate is an engine under consideration.
type candidate struct {
	load     *Load
	cached   uint64 // tokens of the prompt in its prefix cache
	affinity bool   // the prefix of the prompt belongs to this engine
	turn     bool   // it is the turn of this engine
	score    float64
}

// Pick implements Picker. It scans all loads for the prefix affinity and knows
// no turns; a Set decides without the scan.
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

// order sorts candidates and returns the names of the best.
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

// Penalties order candidates in groups; they exceed any real load ratio.
const (
	affinityBonus   = -1e6
	overflowPenalty = 1e6
)

// fullWeight is how much more memory that is lacking counts than work ahead.
const fullWeight = 4

// score rates an engine for the request; lower is better. It is the work that
// is served before it or with it, its own cost and the memory it would have to
// wait for, as shares of the capacity.
func (p *CostAware) score(req *Request, mean float64, c *candidate) float64 {
	capacity := float64(max(c.load.CapacityTokens, 1))
	ahead := c.load.ByClass.ahead(req.Class) / capacity
	cost := float64(req.Memory()-min(c.cached, uint64(req.PromptTokens))) / capacity
	lacking := max(0, c.load.memory()+float64(req.Memory())/capacity-1)
	score := ahead + cost + fullWeight*lacking
	if c.turn {
		score -= p.Options.TurnMargin
	}
	if req.Memory() > c.load.CapacityTokens {
		return score + overflowPenalty
	}
	prefers := c.affinity || c.cached > 0
	if prefers && lacking == 0 && ahead <= mean*p.Options.AffinityBound+p.Options.AffinitySlack {
		return score + affinityBonus*affinityWeight(req, c)
	}
	return score
}

// affinityWeight ranks the engine that holds most of the prompt first and the
// engine that should take it up last.
func affinityWeight(req *Request, c *candidate) float64 {
	held := float64(c.cached) / float64(max(req.PromptTokens, 1))
	return 1 + held
}

// preferOwnDomain moves an engine of the own failure domain to the front if it
// is nearly as good as the best.
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

// affinityLevel is the entry of PrefixDigests that decides which engine a
// prompt belongs to: prompts that share their first 8 blocks go together.
const affinityLevel = 3

// affinityDigest returns the digest that decides which engine req belongs to.
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

// meanAhead is the work of all engines that delays a request of the class, as a
// share of their capacity.
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
