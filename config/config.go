package config

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// FormatVersion is the value of the field "format" that this build reads.
const FormatVersion = 1

// MaxDocumentBytes is the largest document the configuration service holds.
const MaxDocumentBytes = 1 << 20

// Config is one accepted document. It is immutable.
type Config struct {
	Revision uint64
	Digest   uint64 // xxhash of the document
	Models   map[string]Model
	Services map[string]Service

	fleet       FleetPolicy
	teamNames   []string               // sorted
	teamTokens  map[tokenDigest]uint32 // index into teamNames
	defaults    values
	defaultsSet map[string]bool  // defaults that the document sets
	scoped      map[scope]values // values of all scopes with an exception
	exceptions  []exception
}

// Model describes one model that engines serve.
type Model struct {
	Version       string   // version that engines load
	Replicas      int      // number of engines that serve the model
	Role          string   // role of its engines, such as "mixed"
	ContextTokens uint32   // limit of prompt plus answer
	Adapters      []string // adapters that its engines load
	Withdrawn     []string // versions that no engine may run
}

// Service describes one plain service.
type Service struct {
	// NonIdempotent lists the calls that must not be repeated.
	NonIdempotent []CallPattern
}

// Digest returns the digest that identifies a document together with its
// revision.
func Digest(document []byte) uint64 {
	return xxhash.Sum64(document)
}

// Fleet returns the values that apply to the whole fleet.
func (c *Config) Fleet() FleetPolicy {
	return c.fleet
}

// Team returns the values that apply to the team: the defaults, overridden by
// its exceptions.
func (c *Config) Team(name string) TeamPolicy {
	return c.valuesOf(scope{scopeTeam, name}).team()
}

// Model returns the values that apply to requests to the model.
func (c *Config) Model(name string) ModelPolicy {
	return c.valuesOf(scope{scopeModel, name}).model()
}

// Service returns the values that apply to calls to the plain service.
func (c *Config) Service(name string) ServicePolicy {
	return c.valuesOf(scope{scopeService, name}).service()
}

// Upstream returns the values that apply to the upstream.
func (c *Config) Upstream(name string) UpstreamPolicy {
	return c.valuesOf(scope{scopeUpstream, name}).upstream()
}

func (c *Config) valuesOf(s scope) values {
	if v, ok := c.scoped[s]; ok {
		return v
	}
	return c.defaults
}

// Authenticate returns the team that the token belongs to; an empty token belongs to
// none. It hashes the token and looks the digest up, so its duration depends neither on the number of
// teams nor on how many characters of a wrong token match.
func (c *Config) Authenticate(token string) (team string, ok bool) {
	index, ok := c.teamTokens[digestToken(token)]
	if !ok || token == "" {
		return "", false
	}
	return c.teamNames[index], true
}

// TeamNames returns the names of all teams in ascending order.
func (c *Config) TeamNames() []string {
	return slices.Clone(c.teamNames)
}

// ModelNames returns the names of all models in ascending order.
func (c *Config) ModelNames() []string {
	return slices.Sorted(maps.Keys(c.Models))
}
