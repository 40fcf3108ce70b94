package settings

import (
	"bytes"
	"errors"
	"os"

	"github.com/pelletier/go-toml/v2"

	"github.com/citronscale/citronscale/code"
)

// Load reads and checks the settings in the file at path. An error carries
// code.SettingsInvalid and, if the file could be read, is a *FaultList.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, code.New(code.SettingsInvalid, "read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and checks the settings in data. The path is stored in File and
// shown in error messages.
func Parse(path string, data []byte) (*Settings, error) {
	s := Default()
	s.File = path
	entries := indexEntries(data)
	faults := decode(data, s, entries)
	if len(faults) == 0 {
		faults = check(s, entries)
	}
	if len(faults) > 0 {
		return nil, code.Wrap(newFaultList(path, faults), code.SettingsInvalid)
	}
	return s, nil
}

func decode(data []byte, s *Settings, entries entries) []Fault {
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(s)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return unknownFields(unknown, entries)
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		at := entries.lastUpTo(line)
		return []Fault{{Line: line, Field: at.field, Value: at.value, Problem: decodeError.Error()}}
	}
	return []Fault{{Problem: err.Error()}}
}

func unknownFields(err *toml.StrictMissingError, entries entries) []Fault {
	faults := make([]Fault, 0, len(err.Errors))
	for i := range err.Errors {
		line, _ := err.Errors[i].Position()
		at := entries.lastUpTo(line)
		faults = append(faults, Fault{Line: line, Field: at.field, Value: at.value, Problem: "is not a known field"})
	}
	return faults
}
