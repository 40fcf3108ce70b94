package config

import (
	"maps"
	"slices"
	"strconv"
	"sync"
)

// Parse decodes and checks a published document. The error is a *FaultList.
func Parse(revision uint64, data []byte) (*Config, error) {
	p := &parser{config: &Config{Revision: revision, Digest: Digest(data)}}
	p.lines = sync.OnceValue(func() lineIndex { return indexLines(data) })
	if len(data) > MaxDocumentBytes {
		p.addAt(0, "", strconv.Itoa(len(data)), "exceeds the document size of "+strconv.Itoa(MaxDocumentBytes)+" bytes")
		return nil, p.list(revision)
	}
	remaining, teams, keys := extractTeams(data)
	if keys > maxKeys {
		p.addAt(0, "", strconv.Itoa(keys), "has more than "+strconv.Itoa(maxKeys)+" keys outside the table [teams]")
		return nil, p.list(revision)
	}
	doc, ok := decodeDocument(remaining, &p.faultCollector)
	if ok {
		p.read(&doc, teams)
	}
	if list := p.list(revision); list != nil {
		return nil, list
	}
	return p.config, nil
}

// parser builds one Config and collects the faults of its document.
type parser struct {
	faultCollector
	config *Config
}

func (p *parser) read(doc *document, teams []teamEntry) {
	if doc.Format != FormatVersion {
		p.add(keyPath{"format"}, doc.Format, "is not the format %d that this build reads", FormatVersion)
		return
	}
	p.readDefaults(doc.Defaults)
	p.readTeams(append(teams, p.inlineTeams(doc.Teams)...))
	p.readModels(doc.Models)
	p.readServices(doc.Services)
	p.readExceptions(doc.Exceptions)
}

func (p *parser) readDefaults(raw map[string]any) {
	p.config.defaults = initialValues()
	p.config.defaultsSet = make(map[string]bool, len(raw))
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		path := keyPath{"defaults", name}
		id, ok := fieldByName[name]
		if !ok {
			p.add(path, raw[name], "is not a known field")
			continue
		}
		v, err := fields[id].read(raw[name])
		if err != nil {
			p.add(path, raw[name], "%s", err)
			continue
		}
		p.config.defaults[id] = v
		p.config.defaultsSet[name] = true
	}
	p.checkOrder(keyPath{"defaults"}, p.config.defaults)
	p.config.fleet = p.config.defaults.fleet()
}

// checkOrder reports pairs of values in the wrong order, such as a default
// deadline above the maximum deadline.
func (p *parser) checkOrder(path keyPath, v values) {
	pairs := []struct{ low, high fieldID }{
		{fieldShortMaxTokens, fieldLongMinTokens},
		{fieldDefaultDeadline, fieldMaxDeadline},
		{fieldHeartbeatPeriod, fieldSuspectTime},
	}
	for _, pair := range pairs {
		if v[pair.low] > v[pair.high] {
			low, high := fields[pair.low], fields[pair.high]
			p.add(append(path[:len(path):len(path)], low.name), low.format(v[pair.low]),
				"exceeds field %q with value %q", high.name, high.format(v[pair.high]))
		}
	}
}
