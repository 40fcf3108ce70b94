package enginestub

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

const maxBodyBytes = 32 << 20

// Handler returns the HTTP face of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginewire.PathGenerate, e.handleGenerate)
	mux.HandleFunc("POST "+enginewire.PathReserve, e.handleReserve)
	mux.HandleFunc("POST "+enginewire.PathPrefill, e.handlePrefill)
	mux.HandleFunc("POST "+enginewire.PathRelease, e.handleFree)
	mux.HandleFunc("POST "+enginewire.PathCancel, e.handleFree)
	mux.HandleFunc("POST "+enginewire.PathOrder, e.handleOrder)
	mux.HandleFunc("GET "+enginewire.PathReport, e.handleReport)
	mux.HandleFunc("GET "+enginewire.PathExport, e.handleExport)
	mux.HandleFunc("GET /control/log", e.controlLog)
	mux.HandleFunc("GET /control/orders", func(w http.ResponseWriter, _ *http.Request) { stubhttp.WriteJSON(w, e.Orders()) })
	mux.HandleFunc("GET /control/state", func(w http.ResponseWriter, _ *http.Request) { stubhttp.WriteJSON(w, e.State()) })
	mux.HandleFunc("POST /control/leaving", stubhttp.Control("on", e.SetLeaving))
	mux.HandleFunc("POST /control/silent", stubhttp.Control("on", e.Gate.SetSilent))
	mux.HandleFunc("POST /control/mute-connections", stubhttp.Do(e.Gate.MuteConnections))
	mux.HandleFunc("POST /control/freeze", stubhttp.Control("on", e.SetFrozen))
	mux.HandleFunc("POST /control/restart", stubhttp.Do(e.Restart))
	mux.HandleFunc("POST /control/crash", stubhttp.Do(e.crash))
	return mux
}

func (e *Engine) crash() {
	e.mu.Lock()
	crash := e.options.Crash
	e.mu.Unlock()
	if crash != nil {
		crash()
	}
}

// readMessage decodes the body of a request, or answers that it can't.
func readMessage(w http.ResponseWriter, r *http.Request, message any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := decoder.Decode(message); err != nil {
		refuse(w, &refusal{upstream.RefusedBadRequest, err.Error()})
		return false
	}
	return true
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, refused *refusal) {
	status := http.StatusServiceUnavailable
	switch refused.reason {
	case upstream.RefusedBadRequest, upstream.RefusedUnknownModel:
		status = http.StatusBadRequest
	case upstream.RefusedFenced:
		status = http.StatusConflict
	}
	w.Header().Set(enginewire.HeaderNotRun, string(refused.reason))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(enginewire.Problem{Detail: refused.detail}) // the reader may be gone
}

func answer(w http.ResponseWriter, refused *refusal) {
	if refused != nil {
		refuse(w, refused)
		return
	}
	stubhttp.WriteJSON(w, struct{}{})
}

func (e *Engine) handleReserve(w http.ResponseWriter, r *http.Request) {
	var message enginewire.Reserve
	if readMessage(w, r, &message) {
		answer(w, e.reserve(ident.Attempt(message.Attempt), message.Tokens))
	}
}

func (e *Engine) handleFree(w http.ResponseWriter, r *http.Request) {
	var message enginewire.Subject
	if readMessage(w, r, &message) {
		e.free(ident.Attempt(message.Attempt))
		answer(w, nil)
	}
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var message enginewire.Order
	if readMessage(w, r, &message) {
		answer(w, e.obey(&message))
	}
}

func (e *Engine) handleReport(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get(enginewire.ParameterAfter), 10, 64) // absent: all events
	stubhttp.WriteJSON(w, e.report(time.Now(), after))
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	attempt, err := ident.ParseAttempt(r.URL.Query().Get(enginewire.ParameterAttempt))
	if err != nil {
		refuse(w, &refusal{upstream.RefusedBadRequest, err.Error()})
		return
	}
	export, ok := e.exported(attempt)
	if !ok {
		http.Error(w, "the attempt holds no part here", http.StatusNotFound)
		return
	}
	stubhttp.WriteJSON(w, export)
}
