package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/citronscale/citronscale/code"
)

const (
	maxFaults     = 100 // listed faults of one document
	maxFaultValue = 80  // bytes of Fault.Value
)

// Fault is one error in a document.
type Fault struct {
	Line    int    // from 1; zero if the fault belongs to no line
	Field   string // dotted path of the field
	Value   string // text of the value, truncated if long
	Problem string // continues the sentence "field F with value V ..."
}

// String returns the fault as citronctl shows it.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: field %q with value %q %s", f.Line, f.Field, f.Value, f.Problem)
}

// FaultList is the error of Parse. It carries code.ConfigInvalid.
type FaultList struct {
	Revision uint64
	Faults   []Fault // in the order of their lines; at most 100
	Omitted  int     // faults that are not listed
}

// Error returns a heading and one line for each listed fault.
func (l *FaultList) Error() string {
	lines := make([]string, 0, len(l.Faults)+2)
	lines = append(lines, fmt.Sprintf("configuration revision %d is invalid", l.Revision))
	for _, fault := range l.Faults {
		lines = append(lines, fault.String())
	}
	if l.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", l.Omitted))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns an error with code.ConfigInvalid.
func (l *FaultList) Unwrap() error {
	return code.New(code.ConfigInvalid, "revision %d has %d faults", l.Revision, len(l.Faults)+l.Omitted)
}

// faultCollector collects the faults of one document.
type faultCollector struct {
	faults []Fault
	lines  func() lineIndex // positions of the document's keys
}

func (c *faultCollector) add(path keyPath, value any, format string, args ...any) {
	c.addAt(c.lines().line(path), path.String(), fmt.Sprint(value), fmt.Sprintf(format, args...))
}

func (c *faultCollector) addAt(line int, field, value, problem string) {
	c.faults = append(c.faults, Fault{Line: line, Field: field, Value: truncate(value), Problem: problem})
}

// list returns the sorted faults, or nil if there are none.
func (c *faultCollector) list(revision uint64) *FaultList {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, compareFaults)
	shown := min(len(c.faults), maxFaults)
	return &FaultList{Revision: revision, Faults: c.faults[:shown:shown], Omitted: len(c.faults) - shown}
}

func compareFaults(a, b Fault) int {
	return cmp.Or(
		cmp.Compare(a.Line, b.Line),
		cmp.Compare(a.Field, b.Field),
		cmp.Compare(a.Problem, b.Problem),
	)
}

func truncate(text string) string {
	if len(text) <= maxFaultValue {
		return text
	}
	return strings.ToValidUTF8(text[:maxFaultValue], "") + "..."
}
