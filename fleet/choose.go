package fleet

import (
	"math/rand/v2"
	"slices"
)

const (
	// failureCost is the cost of a failure rate of 1, and of an upstream with all
	// slots in use.
	failureCost = 8.0
	// warmUpCost is added for an upstream that is slow after its start.
	warmUpCost = 1.0
	// remoteCost is added for an upstream in another failure domain. It decides
	// only between upstreams of about equal cost.
	remoteCost = 0.25
)

// Choose selects the upstream of a plain service for one request by its load per
// slot, its recent failures and its recent times. It skips the upstreams in tried, and returns
// false if no other exists.
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
	c := float64(v.InFlight) / slots * failureCost
	if v.Pace > 1 { // the time until this request and those in flight are answered
		c = (float64(v.InFlight+1)*v.Pace - 1) / slots * failureCost
	}
	c += v.FailureRate * failureCost
	if v.Avoided {
		c += 2 * failureCost
	}
	if v.WarmUp > 0 {
		c += warmUpCost
	} else {
		c += warmUpCost * v.Returning
	}
	if v.FailureDomain != domain {
		c += remoteCost
	}
	return c
}
