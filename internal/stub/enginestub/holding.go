package enginestub

import (
	"fmt"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

// holding is KV memory that an attempt reserved, and the part of a prompt that
// was computed into it.
type holding struct {
	attempt ident.Attempt
	tokens  uint32
	export  *enginewire.Export // nil until the part is computed
}

// unused returns the reserved tokens that hold no part.
func (h *holding) unused() uint32 {
	if h.export == nil {
		return h.tokens
	}
	return h.tokens - h.export.Tokens
}

// reserve sets memory aside. Reserving again with the same size is harmless.
func (e *Engine) reserve(attempt ident.Attempt, tokens uint32) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := attempt.String()
	if held, ok := e.holdings[key]; ok && held.tokens == tokens {
		return nil
	} else if ok {
		return &refusal{upstream.RefusedBadRequest, "the attempt holds a reservation of another size"}
	}
	if e.leaving {
		return &refusal{upstream.RefusedLeaving, "the engine is leaving"}
	}
	if e.used+uint64(tokens) > e.options.CapacityTokens {
		return &refusal{upstream.RefusedMemory, fmt.Sprintf("%d of %d tokens are in use", e.used, e.options.CapacityTokens)}
	}
	e.used += uint64(tokens)
	e.holdings[key] = &holding{attempt: attempt, tokens: tokens}
	return nil
}

// startPrefill queues the computation of a part into reserved memory.
func (e *Engine) startPrefill(message *enginewire.Prefill) (*job, *refusal) {
	j := newPrefillJob(message)
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.holdings[j.key]
	if !ok {
		return nil, &refusal{upstream.RefusedMemory, "the attempt holds no reservation"}
	}
	if held.export != nil || e.jobs[j.key] != nil {
		return nil, &refusal{upstream.RefusedBadRequest, "the attempt holds a part already"}
	}
	if j.prefillLeft > held.tokens {
		return nil, &refusal{upstream.RefusedBadRequest, fmt.Sprintf("the part has %d tokens and the reservation %d", j.prefillLeft, held.tokens)}
	}
	if message.Model != e.options.Model {
		return nil, &refusal{upstream.RefusedUnknownModel, fmt.Sprintf("the engine serves %q", e.options.Model)}
	}
	j.run.Incarnation = e.incarnation
	e.enqueue(j)
	return j, nil
}

// export keeps a computed part. The caller holds the lock.
func (e *Engine) export(j *job) {
	delete(e.jobs, j.key)
	j.run.Whole = true
	if held, ok := e.holdings[j.key]; ok {
		held.export = &enginewire.Export{Part: j.part, Tokens: j.run.PromptTokens, Blocks: j.blocks}
	}
}

// free ends all work of an attempt and frees all its memory.
func (e *Engine) free(attempt ident.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := attempt.String()
	if j, ok := e.jobs[key]; ok {
		e.remove(j)
		j.end(stateCancelled, "cancelled")
	}
	if held, ok := e.holdings[key]; ok {
		delete(e.holdings, key)
		e.used -= uint64(held.tokens)
		e.signal()
	}
}

// exported returns the part that the attempt holds.
func (e *Engine) exported(attempt ident.Attempt) (enginewire.Export, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.holdings[attempt.String()]
	if !ok || held.export == nil {
		return enginewire.Export{}, false
	}
	return *held.export, true
}
