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

// Backend carries checked requests to upstreams. The host package implements
// it. Errors carry a result code.
type Backend interface {
	// Ready fails with code.HostNotReady or code.HostLeaving if the host
	// admits nothing.
	Ready() error
	// Authenticate returns the team that a bearer token belongs to.
	Authenticate(token string) (team string, ok bool)
	// Models returns the names of the models in the configuration in force.
	Models() []string
	// Timeout returns the time that a request of the team gets: the asked time
	// within the bounds of the configuration, or its default if asked is zero.
	Timeout(team string, asked time.Duration) time.Duration
	// NewRequest returns a fresh request identifier. The team is empty if the
	// caller is not known; nothing else is remembered of such a request.
	NewRequest(team string) ident.Request
	// Complete runs a completion and delivers its text to the sink in order. With
	// an error the result, if any, says only which upstream and how many attempts.
	Complete(ctx context.Context, c *Completion, sink Sink) (*CompletionResult, error)
	// IssueKeys returns n idempotency keys for the team.
	IssueKeys(team string, n int) ([]string, error)
	// CallService runs a call of a plain service.
	CallService(ctx context.Context, call *ServiceCall) (*ServiceAnswer, error)
	// Finished reports the end of every request to records, logs and metrics.
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
// reads slowly and fails once the caller is gone.
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

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool   // the answer was recorded by an earlier call with the same key
	RanAs    string // request identifier under which the call ran
	Upstream string
}

// Outcome is the end of one request as records, logs and metrics see it.
type Outcome struct {
	Request          ident.Request
	Team             string // empty if the caller is not known
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

// Limits bounds what callers can occupy.
type Limits struct {
	MaxBodyBytes int64
	ReadTimeout  time.Duration // for a whole body
	WriteTimeout time.Duration // for one write to a slow reader
}

// Gateway serves the caller face.
type Gateway struct {
	backend Backend
	limits  Limits
	pool    *buffer.Pool
	log     *event.Logger
	mux     *http.ServeMux
}

// New returns a gateway in front of backend. Bodies share the pool.
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
