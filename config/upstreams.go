package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/citronscale/citronscale/ident"
)

const (
	maxReplicas          = 100_000
	initialContextTokens = 1 << 20
	initialRole          = "mixed"
)

// CallPattern matches calls to a plain service.
type CallPattern struct {
	Method string // HTTP method, or "*" for any
	Path   string // path below the service; a final "*" matches any rest
}

// Match reports whether the pattern covers the call.
func (p CallPattern) Match(method, path string) bool {
	if p.Method != "*" && p.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(p.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return p.Path == path
}

// IsNonIdempotent reports whether the call must not be repeated.
func (s Service) IsNonIdempotent(method, path string) bool {
	for _, pattern := range s.NonIdempotent {
		if pattern.Match(method, path) {
			return true
		}
	}
	return false
}

func parseCallPattern(text string) (CallPattern, error) {
	method, path, ok := strings.Cut(text, " ")
	if !ok || method == "" || !strings.HasPrefix(path, "/") {
		return CallPattern{}, fmt.Errorf("is not of the form %q", "METHOD /path")
	}
	if method != strings.ToUpper(method) {
		return CallPattern{}, fmt.Errorf("has a method that is not in upper case")
	}
	return CallPattern{Method: method, Path: path}, nil
}

func (p *parser) readModels(models map[string]modelDocument) {
	p.config.Models = make(map[string]Model, len(models))
	for _, name := range slices.Sorted(maps.Keys(models)) {
		path := keyPath{"models", name}
		if !ident.ValidName(name) {
			p.add(path, name, "is not a valid model name")
		}
		p.config.Models[name] = p.readModel(path, models[name])
	}
}

func (p *parser) readModel(path keyPath, text modelDocument) Model {
	if text.ContextTokens == 0 {
		text.ContextTokens = initialContextTokens
	}
	if text.Role == "" {
		text.Role = initialRole
	}
	if text.Version == "" {
		p.add(append(path, "version"), text.Version, "must not be empty")
	}
	if slices.Contains(text.Withdrawn, text.Version) {
		p.add(append(path, "version"), text.Version, "is listed as withdrawn")
	}
	if text.Replicas < 0 || text.Replicas > maxReplicas {
		p.add(append(path, "replicas"), text.Replicas, "must be from 0 to %d", maxReplicas)
	}
	if text.ContextTokens < 1 || text.ContextTokens > maxTokens {
		p.add(append(path, "context_tokens"), text.ContextTokens, "must be from 1 to %d", maxTokens)
	}
	return Model{
		Version: text.Version, Replicas: int(text.Replicas), Role: text.Role,
		ContextTokens: uint32(text.ContextTokens),
		Adapters:      text.Adapters, Withdrawn: text.Withdrawn,
	}
}

func (p *parser) readServices(services map[string]serviceDocument) {
	p.config.Services = make(map[string]Service, len(services))
	for _, name := range slices.Sorted(maps.Keys(services)) {
		path := keyPath{"services", name}
		if !ident.ValidName(name) {
			p.add(path, name, "is not a valid service name")
		}
		p.config.Services[name] = p.readService(path, services[name])
	}
}

func (p *parser) readService(path keyPath, text serviceDocument) Service {
	var service Service
	for _, call := range text.NonIdempotent {
		pattern, err := parseCallPattern(call)
		if err != nil {
			p.add(append(path, "non_idempotent"), call, "%s", err)
			continue
		}
		service.NonIdempotent = append(service.NonIdempotent, pattern)
	}
	return service
}
