package enginestub

import (
	"net/http"
	"strconv"
	"time"

	"github.com/citronscale/citronscale/internal/stub/stubhttp"
)

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
	AcceptedMS   int64  `json:"accepted_ms"`    // Unix milliseconds
	FirstTokenUS int64  `json:"first_token_us"` // from acceptance, in microseconds; zero if there is none yet
	StartedMS    int64  `json:"started_ms"`
	EndedMS      int64  `json:"ended_ms"`

	accepted time.Time
}

// newRun returns the record of an attempt that arrives now.
func newRun(attempt, kind string) *Run {
	now := time.Now()
	return &Run{Attempt: attempt, Kind: kind, AcceptedMS: now.UnixMilli(), accepted: now}
}

// Kinds of runs.
const (
	KindGenerate = "generate"
	KindPrefill  = "prefill"
)

// Runs returns a copy of the record of runs in the order of acceptance.
func (e *Engine) Runs() []Run {
	return e.runsSince(0)
}

// runsSince returns the runs accepted at a time in Unix milliseconds or later.
func (e *Engine) runsSince(acceptedMS int64) []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := []Run{}
	for _, run := range e.runs {
		if run.AcceptedMS >= acceptedMS {
			runs = append(runs, *run)
		}
	}
	return runs
}

func (e *Engine) controlLog(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64) // absent: all runs
	stubhttp.WriteJSON(w, e.runsSince(since))
}

func (e *Engine) addRun(run *Run) {
	if len(e.runs) >= maxRuns {
		e.runs = e.runs[len(e.runs)-maxRuns/2:]
	}
	e.runs = append(e.runs, run)
}
