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

// Part is the share of one engine.
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

// Plan divides a prompt over the fewest engines that have room for it, within
// one failure domain if it fits there, the own one first. The error carries
// code.PromptTooLong if all engines together are too small, and
// code.NoCapacity if they are too full.
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

// usable returns the whole blocks within fillShare of the given memory.
func usable(tokens uint64) uint64 {
	filled := uint64(fillShare * float64(tokens))
	return filled - filled%upstream.BlockTokens
}

// byDomain groups candidates by failure domain, the own one first.
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

// choose returns the fewest candidates with room for the request, the one with
// most room last, or nil.
func choose(promptTokens, maxTokens uint32, candidates []Candidate) []Candidate {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.FreeTokens, a.FreeTokens), cmp.Compare(a.Name, b.Name))
	})
	if len(sorted) == 0 || usable(sorted[0].FreeTokens) < uint64(maxTokens)+upstream.BlockTokens {
		return nil
	}
	var room uint64
	for i, c := range sorted {
		if usable(c.FreeTokens) == 0 {
			return nil
		}
		room += usable(c.FreeTokens)
		if room >= uint64(promptTokens)+uint64(maxTokens)+upstream.BlockTokens {
			members := sorted[:i+1]
			slices.Reverse(members)
			return members
		}
	}
	return nil
}

// divide gives each member a share of the prompt in proportion to its room.
func divide(promptTokens, maxTokens uint32, members []Candidate) *Placement {
	rooms := make([]uint64, len(members))
	var total uint64
	for i, m := range members {
		rooms[i] = usable(m.FreeTokens)
		if i == len(members)-1 {
			rooms[i] -= uint64(maxTokens)
		}
		total += rooms[i]
	}
	placement := &Placement{Parts: make([]Part, 0, len(members))}
	left := uint64(promptTokens)
	var offset uint64
	for i, m := range members {
		tokens := left
		if i < len(members)-1 {
			tokens = shareOf(left, rooms[i], total)
		}
		total -= rooms[i]
		placement.Parts = append(placement.Parts, Part{
			Member:  m.Name,
			Index:   uint32(i),
			Offset:  uint32(offset),
			Tokens:  uint32(tokens),
			Reserve: uint32(tokens),
		})
		offset += tokens
		left -= tokens
	}
	placement.Parts[len(members)-1].Reserve += maxTokens
	return placement
}

// shareOf returns the whole blocks of the share room/total of tokens, rounded
// up but within room.
func shareOf(tokens, room, total uint64) uint64 {
	share := tokens * room / total
	blocks := (share + upstream.BlockTokens - 1) / upstream.BlockTokens
	room -= room % upstream.BlockTokens
	return min(blocks*upstream.BlockTokens, room, tokens-tokens%upstream.BlockTokens)
}
