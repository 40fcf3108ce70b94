package servicestub

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

const maxBodyBytes = 16 << 20

// headerKey is the header that names a call that may not be repeated.
const headerKey = "Idempotency-Key"

// Call is the record of one call that ran.
type Call struct {
	Number     uint64 `json:"number"` // counts the calls from 1
	Attempt    string `json:"attempt"`
	Key        string `json:"key"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyDigest uint64 `json:"body_digest"`
	BodyBytes  int    `json:"body_bytes"`
	TimeMS     int64  `json:"time_ms"` // Unix milliseconds
	Answered   bool   `json:"answered"`
}

// Receipt is the answer to a call.
type Receipt struct {
	Service    string `json:"service"`
	Number     uint64 `json:"number"`
	Key        string `json:"key,omitempty"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyDigest uint64 `json:"body_digest"`
}

// Service is the stand-in.
type Service struct {
	Gate *stubhttp.Gate // makes the service go silent before it runs a call

	name        string
	crash       func()
	mu          sync.Mutex
	calls       []Call
	delay       time.Duration
	closeBefore bool // cut the connection after running, before the answer
	hang        bool // run the call and never answer
	leaving     bool
	crashNext   bool
}

// New returns a service. crash ends the process; it is called by the control
// call of that name after the call was recorded as run.
func New(name string, crash func()) *Service {
	return &Service{Gate: stubhttp.NewGate(), name: name, crash: crash}
}

// SetDelay sets the time between running a call and its answer.
func (s *Service) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// SetCloseBeforeAnswer makes the service run calls and cut their connections.
func (s *Service) SetCloseBeforeAnswer(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeBefore = on
}

// SetHang makes the service run calls and never answer them.
func (s *Service) SetHang(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hang = on
}

// SetLeaving makes the service refuse calls as not run.
func (s *Service) SetLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = on
}

// CrashAtNextCall makes the service crash once it has run the next call.
func (s *Service) CrashAtNextCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashNext = true
}

// Calls returns the record of all calls that ran.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call{}, s.calls...)
}

// RunsOfKey returns how often a call with the key ran.
func (s *Service) RunsOfKey(key string) int {
	runs := 0
	for _, call := range s.Calls() {
		if call.Key == key {
			runs++
		}
	}
	return runs
}

// Handler returns the HTTP face of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/log", func(w http.ResponseWriter, _ *http.Request) { stubhttp.WriteJSON(w, s.Calls()) })
	mux.HandleFunc("POST /control/delay", stubhttp.Control("duration", s.SetDelay))
	mux.HandleFunc("POST /control/silent", stubhttp.Control("on", s.Gate.SetSilent))
	mux.HandleFunc("POST /control/mute-connections", stubhttp.Do(s.Gate.MuteConnections))
	mux.HandleFunc("POST /control/close-before-answer", stubhttp.Control("on", s.SetCloseBeforeAnswer))
	mux.HandleFunc("POST /control/hang", stubhttp.Control("on", s.SetHang))
	mux.HandleFunc("POST /control/leaving", stubhttp.Control("on", s.SetLeaving))
	mux.HandleFunc("POST /control/crash-at-next-call", stubhttp.Do(s.CrashAtNextCall))
	mux.HandleFunc("/", s.handleCall)
	return mux
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.Header().Set(enginewire.HeaderNotRun, "bad-request")
		http.Error(w, fmt.Sprintf("body: %v", err), http.StatusBadRequest)
		return
	}
	call, behaviour, ok := s.run(r, body)
	if !ok {
		w.Header().Set(enginewire.HeaderNotRun, "leaving")
		http.Error(w, "the service is leaving", http.StatusServiceUnavailable)
		return
	}
	behaviour.apply(r, s.crash)
	if err := s.Gate.Wait(r.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.markAnswered(call.Number)
	w.Header().Set("Service-Call", fmt.Sprint(call.Number))
	stubhttp.WriteJSON(w, Receipt{
		Service:    s.name,
		Number:     call.Number,
		Key:        call.Key,
		Method:     call.Method,
		Path:       call.Path,
		BodyDigest: call.BodyDigest,
	})
}

// run records the call. It reports false if the service refuses it.
func (s *Service) run(r *http.Request, body []byte) (Call, behaviour, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return Call{}, behaviour{}, false
	}
	call := Call{
		Number:     uint64(len(s.calls) + 1),
		Attempt:    r.Header.Get(enginewire.HeaderAttempt),
		Key:        r.Header.Get(headerKey),
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		BodyDigest: xxhash.Sum64(body),
		BodyBytes:  len(body),
		TimeMS:     time.Now().UnixMilli(),
	}
	s.calls = append(s.calls, call)
	b := behaviour{delay: s.delay, closeBefore: s.closeBefore, hang: s.hang, crash: s.crashNext}
	s.crashNext = false
	return call, b, true
}

func (s *Service) markAnswered(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[number-1].Answered = true
}

// behaviour is what happens between running a call and its answer.
type behaviour struct {
	delay       time.Duration
	closeBefore bool
	hang        bool
	crash       bool
}

func (b behaviour) apply(r *http.Request, crash func()) {
	if b.crash {
		crash()
	}
	if b.hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !ctxtime.Sleep(r.Context(), b.delay) {
		panic(http.ErrAbortHandler)
	}
	if b.closeBefore {
		panic(http.ErrAbortHandler)
	}
}
