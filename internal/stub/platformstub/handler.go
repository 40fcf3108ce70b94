package platformstub

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/source/httpsource"
)

const maxControlBytes = 16 << 20

// Handler returns the HTTP face of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpsource.PathConfig, p.handleConfig)
	mux.HandleFunc("GET "+httpsource.PathHosts, p.handleHosts)
	mux.HandleFunc("GET "+PathWeights, p.handleWeights)
	mux.HandleFunc("POST /control/publish", p.controlPublish)
	mux.HandleFunc("POST /control/restore", p.controlRestore)
	mux.HandleFunc("POST /control/stale", stubhttp.Control("on", p.SetStale))
	mux.HandleFunc("POST /control/down", stubhttp.Control("on", p.SetDown))
	mux.HandleFunc("POST /control/silent", stubhttp.Control("on", p.Gate.SetSilent))
	mux.HandleFunc("POST /control/mute-connections", stubhttp.Do(p.Gate.MuteConnections))
	mux.HandleFunc("POST /control/lag", stubhttp.Control("duration", p.SetLag))
	mux.HandleFunc("POST /control/pull-rate", stubhttp.Control("pulls-per-second", p.SetPullRate))
	mux.HandleFunc("PUT /control/hosts", controlBody(p.SetHosts))
	mux.HandleFunc("PUT /control/entry", controlBody(p.SetEntry))
	mux.HandleFunc("DELETE /control/entry", p.controlRemoveEntry)
	mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) { stubhttp.WriteJSON(w, p.Stats()) })
	mux.HandleFunc("GET /control/pulls", func(w http.ResponseWriter, _ *http.Request) { stubhttp.WriteJSON(w, p.Pulls()) })
	return mux
}

func (p *Platform) handleConfig(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.stats.ConfigReads++
	p.mu.Unlock()
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(httpsource.ParameterAfter), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("parameter %q: %v", httpsource.ParameterAfter, err), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get(httpsource.ParameterWait))
	if err != nil {
		http.Error(w, fmt.Sprintf("parameter %q: %v", httpsource.ParameterWait, err), http.StatusBadRequest)
		return
	}
	document, up := p.waitNewer(r.Context(), after, wait)
	if !up {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(httpsource.HeaderRevision, strconv.FormatUint(document.Revision, 10))
	if document.Revision <= after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/toml")
	_, _ = w.Write(document.Data) // the reader may be gone
}

func (p *Platform) handleHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.stats.HostListReads++
	down := p.down
	list := p.visibleList(time.Now())
	p.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	stubhttp.WriteJSON(w, list)
}

func (p *Platform) controlPublish(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var revision uint64
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, err = strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	stubhttp.WriteJSON(w, Stats{Revision: p.Publish(revision, data)})
}

func (p *Platform) controlRestore(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.Restore(revision) {
		http.Error(w, fmt.Sprintf("revision %d was never published", revision), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) controlRemoveEntry(w http.ResponseWriter, r *http.Request) {
	p.RemoveEntry(r.URL.Query().Get("name"))
	w.WriteHeader(http.StatusNoContent)
}

// controlBody adapts set to a control call with a JSON body.
func controlBody[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
		w.WriteHeader(http.StatusNoContent)
	}
}
