package place

import "github.com/citronscale/citronscale/costmodel"

// UsableMemory returns the tokens of an engine's memory that plans may use.
func UsableMemory(costs *costmodel.Costs) int {
	return int(memoryShare * float64(costs.MemoryTokens))
}

// MainTokens returns the tokens that a stream keeps in the memory of the engine that
// decodes it, given the number of engines of the service.
func MainTokens(costs *costmodel.Costs, r Request, engines int) int {
	holders, share := holdersFor(costs, r, engines)
	return r.Prompt + r.Answer - holders*share
}
