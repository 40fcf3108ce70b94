// Package event defines the numbered log events of citronscale and the logger
// that writes them.
//
// Every log line is one Event with typed fields. Fields carry identifiers of
// requests, attempts, teams and upstreams, never prompt text or tokens. The
// catalogue in docs/EVENTS.md lists the same events; a test compares both.
package event
