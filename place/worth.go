package place

import "github.com/citronscale/citronscale/costmodel"

// Worthwhile reports whether the value of an answer covers the cost of its plan
// and of the engine time that it takes from other streams. Only prompts that
// don't fit one engine are checked: they take so much time that many other
// streams miss their goals.
func Worthwhile(costs *costmodel.Costs, engines []Engine, r Request, plan Plan) bool {
	if plan.Holders == 0 {
		return true
	}
	price := engineSecondCost + busySecondCost*busyShare(engines)
	return plan.Cost+price*costs.Prefill(r.Prompt, 1)/secondMillis <= Value(r.Prompt)
}

// busyShare returns the share of engines that are busy with prefill. An engine
// counts in proportion to its remaining prefill time, and fully from one second.
func busyShare(engines []Engine) float64 {
	busy := 0.0
	for i := range engines {
		if load := engines[i].Load; load != nil {
			busy += min((load.HelperMillis+load.OwnMillis)/secondMillis, 1)
		}
	}
	return busy / float64(max(len(engines), 1))
}

const secondMillis = 1000.0
