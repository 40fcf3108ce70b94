//go:build review3

// Command standin3 plays the platform, the upstreams and the callers of the cases of the third
// review against real processes of the daemon, and checks one rule in each case.
package main
