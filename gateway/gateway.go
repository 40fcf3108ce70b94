package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/buffer"
)

// Backend forwards checked requests to upstreams. The host package implements
// it. Its errors contain a result code.
type Backend interface {
	// Ready fails with code.HostNotReady or code.HostLeaving if the host admits
	// no requests.
	Ready() error
	// Authenticate returns the team that a bearer token belongs to.
	Authenticate(token string) (team string, ok bool)
	// Models returns the names of the models in the configuration in force.
	Models() []string
	// Timeout returns the timeout of a request of the team: the requested one
	// within the bounds of the configuration, or its default if requested is zero.
	Timeout(team string, requested time.Duration) time.Duration
	// NewRequest returns a new request identifier. The team is empty if the
	// caller is not authenticated; nothing else is recorded of such a request.
	NewRequest(team string) ident.Request
	// Complete runs a completion and delivers its text to the sink in order. With
	// an error, the result may be nil and has only Upstream and Attempts set.
	Complete(ctx context.Context, c *Completion, sink Sink) (*CompletionResult, error)
	// IssueKeys returns n idempotency keys for the team.
	IssueKeys(team string, n int) ([]string, error)
	// CallService runs a call of a plain service.
	CallService(ctx context.Context, call *ServiceCall) (*ServiceAnswer, error)
	// Finished passes the outcome of every request to records, logs and metrics.
	Finished(r *Outcome)
}

// Completion is one checked completion request.
type Completion struct {
	Request      ident.Request
	Team         string
	Model        string
	Prompt       string
	PromptTokens uint32
	MaxTokens    uint32
	Deadline     time.Time
}

// CompletionResult describes how a completion ended.
type CompletionResult struct {
	PromptTokens     uint32
	CompletionTokens uint32
	CachedTokens     uint32
	FinishReason     string
	Upstream         string
	Attempts         int
}

// Sink receives the text of a completion. Deliver blocks while the caller
// reads slowly and fails once the caller has disconnected.
type Sink interface {
	Deliver(text string, tokens uint32) error
}

// ServiceCall is one checked call of a plain service.
type ServiceCall struct {
	Request  ident.Request
	Team     string
	Service  string
	Method   string
	Path     string // path and query below the service
	Header   http.Header
	Body     []byte
	Key      string // Idempotency-Key, empty if none
	Deadline time.Time
}

// ServiceAnswer is the complete response of a plain service.
type ServiceAnswer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool   // the response was recorded by an earlier call with the same key
	RanAs    string // request identifier under which the call ran
	Upstream string
}

// Outcome describes a finished request for records, logs and metrics.
type Outcome struct {
	Request          ident.Request
	Team             string // empty if the caller is not authenticated
	Kind             string // completion, chat, service or keys
	Code             code.Code
	Detail           string
	Upstream         string
	PromptTokens     uint32
	CompletionTokens uint32
	Attempts         int
	Started          time.Time
	FirstToken       time.Duration // zero if no token was delivered
	Took             time.Duration
}

// Limits bounds the memory and time that a request of a caller can use.
type Limits struct {
	MaxBodyBytes int64
	ReadTimeout  time.Duration // for the complete body
	WriteTimeout time.Duration // for one write to a slow reader
}

// Gateway serves the caller API.
type Gateway struct {
	backend Backend
	limits  Limits
	pool    *buffer.Pool
	log     *event.Logger
	mux     *http.ServeMux
}

// New returns a gateway for backend. Request bodies are buffered in pool.
func New(backend Backend, limits Limits, pool *buffer.Pool, log *event.Logger) *Gateway {
	g := &Gateway{backend: backend, limits: limits, pool: pool, log: log, mux: http.NewServeMux()}
	g.mux.HandleFunc("POST /v1/completions", g.withTeam(kindCompletion, g.serveCompletion))
	g.mux.HandleFunc("POST /v1/chat/completions", g.withTeam(kindChat, g.serveChat))
	g.mux.HandleFunc("GET /v1/models", g.withTeam(kindModels, g.serveModels))
	g.mux.HandleFunc("GET /v1/models/{model}", g.withTeam(kindModels, g.serveModel))
	g.mux.HandleFunc("POST /v1/idempotency-keys", g.withTeam(kindKeys, g.serveKeys))
	g.mux.HandleFunc("/services/{service}/{path...}", g.withTeam(kindService, g.serveService))
	g.mux.HandleFunc("/", g.withTeam(kindOther, g.serveNotFound))
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mux.ServeHTTP(w, r)
}
