// Package soak runs entry hosts as separate processes on one machine, harms them
// from outside and checks what callers and upstreams see.
//
// A run draws its faults from a seed: first planned work alone, then everything,
// overlapping and in series, then calm. Hosts are killed, paused, stopped and
// started again by signals; a fault proxy stands before the callers' listener of
// each host, before each upstream and between each host and the store. The
// store and the upstreams are the stand-ins of platformtest. Only processes that
// the run started are signalled.
//
// It is a test: `go test ./internal/soak` runs one short seed, `make soak` fresh
// ones. The flags of soak_test.go choose seeds, hosts and length.
package soak
