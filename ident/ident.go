package ident

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Host is the name of an entry host from its settings, such as "host-3".
type Host string

// Incarnation distinguishes the processes that run one after another on a host. It
// is the start time of the process in nanoseconds since the Unix epoch, so a later
// process has a larger value unless the clock of the host steps back.
type Incarnation uint64

const (
	separator  = "."
	numberBase = 36
	// MaxNameLength is the largest length of a host, team or upstream name in bytes.
	MaxNameLength = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// ValidName reports whether name can be the name of a host, team, upstream or
// failure domain: lower-case letters, digits and inner hyphens.
func ValidName(name string) bool {
	return len(name) <= MaxNameLength && namePattern.MatchString(name)
}

// Request identifies one request in the whole fleet.
type Request struct {
	Host        Host
	Incarnation Incarnation
	Sequence    uint64 // counts the requests of one incarnation from 1
}

// String returns the textual form host.incarnation.sequence.
func (r Request) String() string {
	return string(r.Host) + separator + encode(uint64(r.Incarnation)) + separator + encode(r.Sequence)
}

// ParseRequest reads the textual form of a request identifier.
func ParseRequest(text string) (Request, error) {
	fields := strings.Split(text, separator)
	if len(fields) != 3 {
		return Request{}, fmt.Errorf("request identifier %q has %d fields, want 3", truncate(text), len(fields))
	}
	return parseRequestFields(text, fields)
}

func parseRequestFields(text string, fields []string) (Request, error) {
	if !ValidName(fields[0]) {
		return Request{}, fmt.Errorf("identifier %q has an invalid host name", truncate(text))
	}
	incarnation, err := decode(fields[1])
	if err != nil {
		return Request{}, fmt.Errorf("identifier %q has an invalid incarnation: %w", truncate(text), err)
	}
	sequence, err := decode(fields[2])
	if err != nil {
		return Request{}, fmt.Errorf("identifier %q has an invalid sequence: %w", truncate(text), err)
	}
	return Request{Host: Host(fields[0]), Incarnation: Incarnation(incarnation), Sequence: sequence}, nil
}

// Attempt identifies one attempt to run a request on an upstream.
type Attempt struct {
	Request  Request
	Number   uint64    // counts the attempts of one request from 1
	Deadline time.Time // absolute, in whole milliseconds
}

// String returns the textual form host.incarnation.sequence.number.deadline.
func (a Attempt) String() string {
	return a.Request.String() + separator + encode(a.Number) + separator + encode(uint64(a.Deadline.UnixMilli()))
}

// ParseAttempt reads the textual form of an attempt identifier.
func ParseAttempt(text string) (Attempt, error) {
	fields := strings.Split(text, separator)
	if len(fields) != 5 {
		return Attempt{}, fmt.Errorf("attempt identifier %q has %d fields, want 5", truncate(text), len(fields))
	}
	request, err := parseRequestFields(text, fields[:3])
	if err != nil {
		return Attempt{}, err
	}
	number, err := decode(fields[3])
	if err != nil {
		return Attempt{}, fmt.Errorf("identifier %q has an invalid attempt number: %w", truncate(text), err)
	}
	deadline, err := decode(fields[4])
	if err != nil {
		return Attempt{}, fmt.Errorf("identifier %q has an invalid deadline: %w", truncate(text), err)
	}
	return Attempt{Request: request, Number: number, Deadline: time.UnixMilli(int64(deadline))}, nil
}

func encode(v uint64) string {
	return strconv.FormatUint(v, numberBase)
}

// decode accepts only the form that encode writes, so that each identifier has
// exactly one textual form.
func decode(text string) (uint64, error) {
	v, err := strconv.ParseUint(text, numberBase, 63)
	if err != nil {
		return 0, err
	}
	if encode(v) != text {
		return 0, fmt.Errorf("number %q is not in canonical form", text)
	}
	return v, nil
}

// truncate shortens untrusted text for use in an error message.
func truncate(text string) string {
	const maxShown = 80
	if len(text) <= maxShown {
		return text
	}
	return text[:maxShown] + "..."
}
