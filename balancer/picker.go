package balancer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/citronscale/citronscale/upstream"
)

// MaxCandidates is the largest number of engines that Pick returns.
const MaxCandidates = 3

// Picker chooses engines for one request among those that serve its model.
type Picker interface {
	// Pick returns at most MaxCandidates engines, best first. It returns none
	// if no engine may be used.
	Pick(now time.Time, req *Request, loads []Load, rng *rand.Rand) []upstream.Name
}

// NewPicker returns the policy with the given name: random, round-robin,
// least-in-flight, better-of-two or cost-aware.
func NewPicker(name, ownDomain string) (Picker, error) {
	switch name {
	case "random":
		return Random{}, nil
	case "round-robin":
		return &RoundRobin{}, nil
	case "least-in-flight":
		return LeastInFlight{}, nil
	case "better-of-two":
		return BetterOfTwo{}, nil
	case "cost-aware":
		return &CostAware{OwnDomain: ownDomain, Options: DefaultOptions()}, nil
	default:
		return nil, fmt.Errorf("balancing policy %q does not exist", name)
	}
}

// Random picks engines with equal probability.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(_ time.Time, req *Request, loads []Load, rng *rand.Rand) []upstream.Name {
	return names(sample(loads, req, MaxCandidates, rng))
}

// RoundRobin picks engines in turn.
type RoundRobin struct {
	next int
}

// Pick implements Picker.
func (p *RoundRobin) Pick(_ time.Time, req *Request, loads []Load, _ *rand.Rand) []upstream.Name {
	var picked []upstream.Name
	for i := range loads {
		load := &loads[(p.next+i)%len(loads)]
		if load.usable(req) && len(picked) < MaxCandidates {
			picked = append(picked, load.Name)
		}
	}
	p.next++
	return picked
}

// LeastInFlight picks the engine with the fewest requests in flight from this
// host.
type LeastInFlight struct{}

// Pick implements Picker.
func (LeastInFlight) Pick(_ time.Time, req *Request, loads []Load, rng *rand.Rand) []upstream.Name {
	var best *Load
	ties := 0
	for i := range loads {
		load := &loads[i]
		if !load.usable(req) {
			continue
		}
		switch {
		case best == nil || load.OwnRequests < best.OwnRequests:
			best, ties = load, 1
		case load.OwnRequests == best.OwnRequests:
			ties++
			if rng.IntN(ties) == 0 {
				best = load
			}
		}
	}
	if best == nil {
		return nil
	}
	return []upstream.Name{best.Name}
}

// BetterOfTwo draws two engines and prefers the one with the lower load: the last
// report plus the work in flight from this host, as a share of the capacity.
// Hosts also fall back to it while the owner of an engine can't be reached.
type BetterOfTwo struct{}

// Pick implements Picker.
func (BetterOfTwo) Pick(_ time.Time, req *Request, loads []Load, rng *rand.Rand) []upstream.Name {
	drawn := sample(loads, req, 2, rng)
	if len(drawn) == 2 && reportedRatio(drawn[1]) < reportedRatio(drawn[0]) {
		drawn[0], drawn[1] = drawn[1], drawn[0]
	}
	return names(drawn)
}

// reportedRatio counts work of this host twice if the report includes it already.
func reportedRatio(l *Load) float64 {
	return float64(l.UsedTokens+l.QueuedTokens+l.OwnTokens) / float64(max(l.CapacityTokens, 1))
}

// sample draws up to n distinct usable engines.
func sample(loads []Load, req *Request, n int, rng *rand.Rand) []*Load {
	drawn := make([]*Load, 0, n)
	if len(loads) == 0 {
		return drawn
	}
	for range drawsPerSample * n {
		if len(drawn) == n {
			return drawn
		}
		drawn = appendUsable(drawn, &loads[rng.IntN(len(loads))], req)
	}
	start := rng.IntN(len(loads))
	for i := range loads {
		if len(drawn) == n {
			return drawn
		}
		drawn = appendUsable(drawn, &loads[(start+i)%len(loads)], req)
	}
	return drawn
}

// drawsPerSample is the number of random draws per requested engine before sample
// falls back to a scan.
const drawsPerSample = 4

func appendUsable(drawn []*Load, load *Load, req *Request) []*Load {
	if !load.usable(req) {
		return drawn
	}
	for _, previous := range drawn {
		if previous.Name == load.Name {
			return drawn
		}
	}
	return append(drawn, load)
}

func names(loads []*Load) []upstream.Name {
	list := make([]upstream.Name, len(loads))
	for i, load := range loads {
		list[i] = load.Name
	}
	return list
}
