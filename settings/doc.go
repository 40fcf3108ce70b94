// Package settings reads the local settings of one host from a TOML file.
//
// Settings hold only what a process can't read from the published
// configuration: its name and failure domain, its addresses, the addresses of
// the platform, its certificates and the size limits of its listeners. The
// daemon calls Load once, before it opens a listener; on an error the process
// exits with code.SettingsInvalid.
//
// A Settings value is not changed after Load and is safe for concurrent reads.
package settings
