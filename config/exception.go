package config

import (
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/citronscale/citronscale/ident"
)

// minReasonLength is the shortest reason of an exception in characters.
const minReasonLength = 10

// exception is one exception that passed the checks.
type exception struct {
	scope  scope
	field  fieldID
	value  float64
	reason string
}

func (p *parser) readExceptions(texts []exceptionDocument) {
	p.config.scoped = make(map[scope]values)
	seen := make(map[string]bool, len(texts))
	for i, text := range texts {
		path := keyPath{"exception", strconv.Itoa(i)}
		e, ok := p.readException(path, text)
		if !ok {
			continue
		}
		key := text.Scope + " " + text.Field
		if seen[key] {
			p.add(append(path, "field"), text.Field, "has another exception for scope %q", text.Scope)
			continue
		}
		seen[key] = true
		p.config.exceptions = append(p.config.exceptions, e)
		p.applyException(&e)
	}
	p.checkScopedOrder(texts)
}

func (p *parser) readException(path keyPath, text exceptionDocument) (exception, bool) {
	faultsBefore := len(p.faults)
	kind, name, _ := strings.Cut(text.Scope, scopeSeparator)
	e := exception{
		scope:  scope{scopeKind(kind), name},
		field:  fieldByName[text.Field],
		reason: strings.TrimSpace(text.Reason),
	}
	if utf8.RuneCountInString(e.reason) < minReasonLength {
		p.add(append(path, "reason"), text.Reason, "must give a reason of at least %d characters", minReasonLength)
	}
	p.checkScope(append(path, "scope"), e.scope)
	f := &fields[e.field]
	if _, ok := fieldByName[text.Field]; !ok {
		p.add(append(path, "field"), text.Field, "is not a known field")
		return e, false
	}
	if f.scope != e.scope.kind {
		p.add(append(path, "field"), text.Field, "allows no exception for scope %q", text.Scope)
		return e, false
	}
	v, err := f.read(text.Value)
	if err != nil {
		p.add(append(path, "value"), text.Value, "%s", err)
	}
	e.value = v
	return e, len(p.faults) == faultsBefore
}

func (p *parser) checkScope(path keyPath, s scope) {
	if !slices.Contains(scopeKinds, s.kind) || !ident.ValidName(s.name) {
		p.add(path, s, "is not of the form team:NAME, model:NAME, service:NAME or upstream:NAME")
		return
	}
	known := true
	switch s.kind {
	case scopeTeam:
		_, known = slices.BinarySearch(p.config.teamNames, s.name)
	case scopeModel:
		_, known = p.config.Models[s.name]
	case scopeService:
		_, known = p.config.Services[s.name]
	}
	if !known {
		p.add(path, s, "names a %s that the document lacks", s.kind)
	}
}

func (p *parser) applyException(e *exception) {
	v, ok := p.config.scoped[e.scope]
	if !ok {
		v = slices.Clone(p.config.defaults)
		p.config.scoped[e.scope] = v
	}
	v[e.field] = e.value
}

// checkScopedOrder checks the values of each scope against each other. Its faults
// are reported at the last exception of the scope.
func (p *parser) checkScopedOrder(texts []exceptionDocument) {
	last := make(map[string]int, len(texts))
	for i, text := range texts {
		last[text.Scope] = i
	}
	for s, v := range p.config.scoped {
		p.checkOrder(keyPath{"exception", strconv.Itoa(last[s.String()])}, v)
	}
}
