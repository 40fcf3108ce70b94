// Package config turns a published document into the configuration that a
// host enforces.
//
// A document holds one set of defaults for the whole fleet and a short list of
// exceptions, each with a written reason. Parse is a pure function of the
// document: it reads no clock, no environment and no state, so every host of
// one build accepts or rejects a document alike. A document that uses a field
// newer than the build of a host is rejected by that host; publish new fields
// after the last host was replaced.
//
// The host package and citronctl call Parse; all other packages read the
// resulting Config, which is immutable and safe for concurrent use.
package config
