package fleet

import (
	"math/rand/v2"
	"slices"
)

const (
	// failingCost is how many requests in flight a share of failures of one
	// weighs as much as.
	failingCost = 8.0
	// warmUpCost is the same for an upstream that is slow after its start.
	warmUpCost = 1.0
	// remoteCost prefers the own failure domain among equals.
	remoteCost = 0.25
)

// Choose picks the upstream of a plain service for one request: the one with
// the least load of its slots and the fewest recent failures. Upstreams that
// tried names are left out unless no other is left. It returns false if there
// is none.
func Choose(views []View, domain string, tried []string, rng *rand.Rand) (View, bool) {
	best := -1
	bestCost := 0.0
	for i := range views {
		if slices.Contains(tried, views[i].ID) {
			continue
		}
		cost := cost(&views[i], domain) + rng.Float64()*remoteCost
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return View{}, false
	}
	return views[best], true
}

func cost(v *View, domain string) float64 {
	slots := float64(max(v.Slots, 1))
	c := float64(v.InFlight) / slots * failingCost
	c += v.Failing * failingCost
	if v.Avoided {
		c += 2 * failingCost
	}
	if v.WarmUp > 0 {
		c += warmUpCost
	}
	if v.FailureDomain != domain {
		c += remoteCost
	}
	return c
}
