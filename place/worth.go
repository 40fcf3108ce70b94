package place

import "github.com/citronscale/citronscale/costmodel"

// Worthwhile reports whether a plan is worth the time that it takes from the
// streams of others. Only prompts that one engine can't hold are weighed: they
// take so much that many others miss their goals.
func Worthwhile(laws *costmodel.Laws, engines []Engine, r Request, plan Plan) bool {
	if plan.Holders == 0 {
		return true
	}
	price := timeCost + busyCost*busyShare(engines)
	return plan.Harm+price*laws.Read(r.Prompt, 1)/second <= Weight(r.Prompt)
}

// busyShare returns the share of the engines that read, an engine with a second
// or more to read counting whole.
func busyShare(engines []Engine) float64 {
	busy := 0.0
	for i := range engines {
		if load := engines[i].Load; load != nil {
			busy += min((load.HelpLeft+load.ReadLeft)/second, 1)
		}
	}
	return busy / float64(max(len(engines), 1))
}

// second is in milliseconds.
const second = 1000.0
