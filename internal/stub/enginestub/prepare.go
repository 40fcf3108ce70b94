package enginestub

import (
	"fmt"
	"slices"
	"strings"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

// maxAnswerTokens bounds the length of an answer.
const maxAnswerTokens = 1 << 20

func newPrefillJob(message *enginewire.Prefill) *job {
	attempt := ident.Attempt(message.Attempt)
	j := newJob(KindPrefill, attempt, message.Priority)
	j.part = message.Part
	j.crashes = strings.Contains(message.Prompt, CrashMarker)
	j.blocks = upstream.BlockDigests(message.Prompt)
	j.digest = upstream.CombineDigests(j.blocks)
	j.prefillLeft = upstream.CountTokens(message.Prompt)
	if message.Part == 0 {
		j.prefixes = upstream.PrefixDigests(message.Prompt)
	}
	j.run.PromptDigest = j.digest
	j.run.PromptTokens = j.prefillLeft
	return j
}

// newGenerateJob returns the job of a request whose members hold the given
// parts.
func newGenerateJob(message *enginewire.Generate, parts []enginewire.Export) *job {
	j := newJob(KindGenerate, ident.Attempt(message.Attempt), message.Priority)
	j.crashes = strings.Contains(message.Prompt, CrashMarker)
	tail := upstream.CountTokens(message.Prompt)
	total := tail
	for _, part := range parts {
		j.blocks = append(j.blocks, part.Blocks...)
		total += part.Tokens
	}
	j.blocks = append(j.blocks, upstream.BlockDigests(message.Prompt)...)
	j.digest = upstream.CombineDigests(j.blocks)
	if len(parts) == 0 {
		j.prefixes = upstream.PrefixDigests(message.Prompt)
	}
	j.limit, j.reason = AnswerLength(j.digest, message.MaxTokens)
	j.generated = message.ResumeOffset
	j.prefillLeft = tail + uint32(message.ResumeOffset)
	j.tokens = tail + message.MaxTokens
	j.run.PromptDigest = j.digest
	j.run.PromptTokens = total
	j.run.FirstOffset = message.ResumeOffset
	j.run.SentOffset = message.ResumeOffset
	return j
}

func newJob(kind string, attempt ident.Attempt, priority int) *job {
	key := attempt.String()
	return &job{
		attempt:  attempt,
		key:      key,
		kind:     kind,
		priority: priority,
		changed:  make(chan struct{}, 1),
		run:      newRun(key, kind),
	}
}

// checkGenerate refuses what the engine can't run at any time.
func checkGenerate(message *enginewire.Generate, j *job) *refusal {
	if message.MaxTokens == 0 || message.MaxTokens > maxAnswerTokens {
		return &refusal{upstream.RefusedBadRequest, fmt.Sprintf("max_tokens is not between 1 and %d", maxAnswerTokens)}
	}
	if j.run.PromptTokens != message.PromptTokens {
		detail := fmt.Sprintf("the prompt and its parts have %d tokens, not %d", j.run.PromptTokens, message.PromptTokens)
		return &refusal{upstream.RefusedBadRequest, detail}
	}
	if message.ResumeOffset > j.limit {
		return &refusal{upstream.RefusedBadRequest, "the resume offset is past the end of the answer"}
	}
	if message.ResumeText != AnswerText(j.digest, 0, message.ResumeOffset) {
		return &refusal{upstream.RefusedBadRequest, "the resume text is not the answer up to the resume offset"}
	}
	return nil
}

// startGenerate queues a request.
func (e *Engine) startGenerate(message *enginewire.Generate, j *job) *refusal {
	if refused := checkGenerate(message, j); refused != nil {
		return refused
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.checkState(message, j); refused != nil {
		return refused
	}
	if held, ok := e.holdings[j.key]; ok {
		j.tokens -= min(j.tokens, held.unused())
	}
	if uint64(j.tokens) > e.options.CapacityTokens {
		detail := fmt.Sprintf("the request needs %d tokens and the engine has %d", j.tokens, e.options.CapacityTokens)
		return &refusal{upstream.RefusedMemory, detail}
	}
	j.run.Incarnation = e.incarnation
	e.enqueue(j)
	return nil
}

// checkState refuses what the engine can't run now. The caller holds the lock.
func (e *Engine) checkState(message *enginewire.Generate, j *job) *refusal {
	switch {
	case e.jobs[j.key] != nil:
		return &refusal{upstream.RefusedBadRequest, "the attempt is running already"}
	case e.leaving:
		return &refusal{upstream.RefusedLeaving, "the engine is leaving"}
	case message.Model != e.options.Model:
		return &refusal{upstream.RefusedUnknownModel, fmt.Sprintf("the engine serves %q", e.options.Model)}
	case e.orders.version == "":
		return &refusal{upstream.RefusedLoading, "the engine has no version loaded"}
	case len(e.waiting) >= e.options.MaxWaiting:
		return &refusal{upstream.RefusedBusy, fmt.Sprintf("%d requests are waiting", len(e.waiting))}
	default:
		return nil
	}
}

func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, compareJobs)
}
