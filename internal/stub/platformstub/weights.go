package platformstub

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronscale/citronscale/internal/stub/stubhttp"
)

// PathWeights is the path at which engines pull the weights of a version.
const PathWeights = "/v1/weights"

// Pull is one pull from the weight store.
type Pull struct {
	Engine  string `json:"engine"`
	Model   string `json:"model"`
	Version string `json:"version"`
	TimeMS  int64  `json:"time_ms"` // Unix milliseconds
	Served  bool   `json:"served"`  // false if the store was over its rate
}

// SetPullRate sets the rate of the weight store in pulls per second.
func (p *Platform) SetPullRate(pullsPerSecond float64) {
	p.pulls.SetLimit(rate.Limit(pullsPerSecond))
}

// Pulls returns the pulls since the start.
func (p *Platform) Pulls() []Pull {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Pull{}, p.pullHistory...)
}

func (p *Platform) handleWeights(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	now := time.Now()
	served := p.pulls.AllowN(now, 1)
	p.mu.Lock()
	p.pullHistory = append(p.pullHistory, Pull{
		Engine:  query.Get("engine"),
		Model:   query.Get("model"),
		Version: query.Get("version"),
		TimeMS:  now.UnixMilli(),
		Served:  served,
	})
	if served {
		p.stats.PullsServed++
	} else {
		p.stats.PullsRefused++
	}
	p.mu.Unlock()
	if !served {
		http.Error(w, "the weight store is over its rate", http.StatusTooManyRequests)
		return
	}
	stubhttp.WriteJSON(w, struct{}{})
}
