package config

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// document is the TOML form of a configuration.
type document struct {
	Format     int64                      `toml:"format"`
	Defaults   map[string]any             `toml:"defaults"`
	Exceptions []exceptionDocument        `toml:"exception"`
	Teams      map[string]string          `toml:"teams"`
	Models     map[string]modelDocument   `toml:"models"`
	Services   map[string]serviceDocument `toml:"services"`
}

type exceptionDocument struct {
	Scope  string `toml:"scope"`
	Field  string `toml:"field"`
	Value  any    `toml:"value"`
	Reason string `toml:"reason"`
}

type modelDocument struct {
	Version       string   `toml:"version"`
	Replicas      int64    `toml:"replicas"`
	Role          string   `toml:"role"`
	ContextTokens int64    `toml:"context_tokens"`
	Adapters      []string `toml:"adapters"`
	Withdrawn     []string `toml:"withdrawn"`
}

type serviceDocument struct {
	NonIdempotent []string `toml:"non_idempotent"`
}

// decodeDocument reads the TOML text and reports unknown and mistyped fields.
func decodeDocument(data []byte, faults *faultCollector) (document, bool) {
	var doc document
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&doc)
	var strict *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case err == nil:
		return doc, true
	case errors.As(err, &strict):
		for i := range strict.Errors {
			addDecodeFault(faults, data, &strict.Errors[i], "is not a known field")
		}
	case errors.As(err, &syntax):
		addDecodeFault(faults, data, syntax, "can't be read: "+syntax.Error())
	default:
		faults.addAt(0, "", "", "can't be read: "+err.Error())
	}
	return doc, false
}

func addDecodeFault(faults *faultCollector, data []byte, err *toml.DecodeError, problem string) {
	line, _ := err.Position()
	faults.addAt(line, strings.Join(err.Key(), "."), lineText(data, line), problem)
}

// lineText returns the text after the equals sign of the line, or the whole
// line if there is none.
func lineText(data []byte, line int) string {
	for n := 1; n < line; n++ {
		_, rest, ok := bytes.Cut(data, []byte("\n"))
		if !ok {
			return ""
		}
		data = rest
	}
	text, _, _ := bytes.Cut(data, []byte("\n"))
	if _, value, ok := bytes.Cut(text, []byte("=")); ok {
		text = value
	}
	return strings.ToValidUTF8(strings.TrimSpace(string(text)), "?")
}
