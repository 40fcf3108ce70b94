package enginestub

// maxRuns bounds the record of runs.
const maxRuns = 200_000

// Run is the record of one attempt that the engine accepted.
type Run struct {
	Attempt      string `json:"attempt"`
	Kind         string `json:"kind"` // generate or prefill
	Incarnation  uint64 `json:"incarnation"`
	PromptDigest uint64 `json:"prompt_digest"`
	PromptTokens uint32 `json:"prompt_tokens"`
	CachedTokens uint32 `json:"cached_tokens"`
	FirstOffset  uint64 `json:"first_offset"`
	SentOffset   uint64 `json:"sent_offset"` // tokens up to here were written to the reader
	Version      string `json:"version"`
	Started      bool   `json:"started"` // entered the batch
	Whole        bool   `json:"whole"`   // the end marker was written
	Cancelled    bool   `json:"cancelled"`
	AcceptedMS   int64  `json:"accepted_ms"` // Unix milliseconds
	StartedMS    int64  `json:"started_ms"`
	EndedMS      int64  `json:"ended_ms"`
}

// Kinds of runs.
const (
	KindGenerate = "generate"
	KindPrefill  = "prefill"
)

// Runs returns a copy of the record of runs in the order of acceptance.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, 0, len(e.runs))
	for _, run := range e.runs {
		runs = append(runs, *run)
	}
	return runs
}

func (e *Engine) addRun(run *Run) {
	if len(e.runs) >= maxRuns {
		e.runs = e.runs[len(e.runs)-maxRuns/2:]
	}
	e.runs = append(e.runs, run)
}
