package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	Line    int    // 1 for the first line; 0 if the field is missing
	Field   string // such as listen.peers
	Value   string // as written in the file; empty if the field is missing
	Problem string
}

// FaultList is the error of a settings file with at least one fault.
type FaultList struct {
	File   string
	Faults []Fault // in the order of their lines, missing fields first
}

func newFaultList(file string, faults []Fault) *FaultList {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return &FaultList{File: file, Faults: faults}
}

// Error returns one line for each fault.
func (l *FaultList) Error() string {
	lines := make([]string, 0, len(l.Faults))
	for _, f := range l.Faults {
		lines = append(lines, f.describe(l.File))
	}
	return strings.Join(lines, "\n")
}

func (f Fault) describe(file string) string {
	switch {
	case f.Line == 0:
		return fmt.Sprintf("%s: %s %s", file, f.Field, f.Problem)
	case f.Field == "":
		return fmt.Sprintf("%s:%d: %s", file, f.Line, f.Problem)
	default:
		return fmt.Sprintf("%s:%d: %s = %s: %s", file, f.Line, f.Field, f.Value, f.Problem)
	}
}
