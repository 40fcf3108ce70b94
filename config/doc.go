// Package config turns a published document into the configuration that a
// host enforces.
//
// A document holds one set of defaults for the whole fleet and a short list of
// exceptions, each with a written reason. Parse is a pure function of the
// document: it reads no clock, no environment and no state, so all hosts that
// run the same build either accept or reject a document. A host rejects a
// document with a field that is newer than its build; publish new fields after
// the last host has been upgraded.
//
// The host package and citronctl call Parse; all other packages read the
// resulting Config, which is immutable and safe for concurrent use.
package config
