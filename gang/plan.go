package gang

import (
	"cmp"
	"slices"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/upstream"
)

// Candidate is an engine that can take a part of a prompt. Sizes are in tokens.
type Candidate struct {
	Name           upstream.Name
	FailureDomain  string
	CapacityTokens uint64
	FreeTokens     uint64
}

// Part is the part of a prompt that one engine computes.
type Part struct {
	Member  upstream.Name
	Index   uint32 // in prompt order, from 0
	Offset  uint32 // tokens of the prompt before this part
	Tokens  uint32 // of the prompt
	Reserve uint32 // memory to reserve: Tokens, and the answer at the lead
}

// Placement divides a prompt. Parts are in prompt order; the last is the lead's.
type Placement struct {
	Parts []Part
}

// Lead returns the part of the engine that generates the answer.
func (p *Placement) Lead() Part {
	return p.Parts[len(p.Parts)-1]
}

// fillShare is the part of the free memory of an engine that a plan uses.
const fillShare = 0.9

// Plan divides a prompt over the fewest engines with enough free memory, within
// one failure domain if it fits there; ownDomain is tried first. The error carries
// code.PromptTooLong if the capacity of all engines together is too small, and
// code.NoCapacity if their free memory is.
func Plan(promptTokens, maxTokens uint32, candidates []Candidate, ownDomain string) (*Placement, error) {
	groups := byDomain(candidates, ownDomain)
	groups = append(groups, candidates)
	for _, group := range groups {
		if members := choose(promptTokens, maxTokens, group); members != nil {
			return divide(promptTokens, maxTokens, members), nil
		}
	}
	var capacity uint64
	for _, c := range candidates {
		capacity += usable(c.CapacityTokens)
	}
	need := uint64(promptTokens) + uint64(maxTokens)
	if capacity < need {
		return nil, code.New(code.PromptTooLong, "request needs %d tokens, the engines have %d", need, capacity)
	}
	return nil, code.New(code.NoCapacity, "request needs %d tokens, which are not free at once", need)
}

// usable returns the tokens of the full blocks within fillShare of the given memory.
func usable(tokens uint64) uint64 {
	filled := uint64(fillShare * float64(tokens))
	return filled - filled%upstream.BlockTokens
}

// byDomain groups candidates by failure domain, ownDomain first.
func byDomain(candidates []Candidate, ownDomain string) [][]Candidate {
	domains := make(map[string][]Candidate)
	for _, c := range candidates {
		domains[c.FailureDomain] = append(domains[c.FailureDomain], c)
	}
	names := make([]string, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(compareBool(b == ownDomain, a == ownDomain), cmp.Compare(a, b))
	})
	groups := make([][]Candidate, 0, len(names)+1)
	for _, name := range names {
		groups = append(groups, domains[name])
	}
	return groups
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// choose returns the fewest candidates with enough free memory for the request,
// the one with the most free memory last, or nil.
func choose(promptTokens, maxTokens uint32, candidates []Candidate) []Candidate {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.FreeTokens, a.FreeTokens), cmp.Compare(a.Name, b.Name))
	})
	if len(sorted) == 0 || usable(sorted[0].FreeTokens) < uint64(maxTokens)+upstream.BlockTokens {
		return nil
	}
	var available uint64
	for i, c := range sorted {
		if usable(c.FreeTokens) == 0 {
			return nil
		}
		available += usable(c.FreeTokens)
		if available >= uint64(promptTokens)+uint64(maxTokens)+upstream.BlockTokens {
			members := sorted[:i+1]
			slices.Reverse(members)
			return members
		}
	}
	return nil
}

// divide gives each member a share of the prompt in proportion to its usable free
// memory.
func divide(promptTokens, maxTokens uint32, members []Candidate) *Placement {
	available := make([]uint64, len(members))
	var total uint64
	for i, m := range members {
		available[i] = usable(m.FreeTokens)
		if i == len(members)-1 {
			available[i] -= uint64(maxTokens)
		}
		total += available[i]
	}
	placement := &Placement{Parts: make([]Part, 0, len(members))}
	remaining := uint64(promptTokens)
	var offset uint64
	for i, m := range members {
		tokens := remaining
		if i < len(members)-1 {
			tokens = shareOf(remaining, available[i], total)
		}
		total -= available[i]
		placement.Parts = append(placement.Parts, Part{
			Member:  m.Name,
			Index:   uint32(i),
			Offset:  uint32(offset),
			Tokens:  uint32(tokens),
			Reserve: uint32(tokens),
		})
		offset += tokens
		remaining -= tokens
	}
	placement.Parts[len(members)-1].Reserve += maxTokens
	return placement
}

// shareOf returns the share available/total of tokens, rounded up to full blocks
// but within available.
func shareOf(tokens, available, total uint64) uint64 {
	share := tokens * available / total
	blocks := (share + upstream.BlockTokens - 1) / upstream.BlockTokens
	available -= available % upstream.BlockTokens
	return min(blocks*upstream.BlockTokens, available, tokens-tokens%upstream.BlockTokens)
}
