// Package ctl is the command line of citronctl.
//
// Each command is one type with an Execute method that go-flags calls. The
// commands call the operator listeners of hosts; codes, events and
// "config check" need no host. A process runs one command; nothing here is
// safe for concurrent use.
package ctl
