// Package testseed fixes the seed and the number of histories of the stateful
// fuzz tests. A test package imports it for its side effect.
//
// The environment variables CITRON_SEED (default 1) and CITRON_CHECKS (default
// 100) override the defaults; flags of rapid given on the command line win.
package testseed

import (
	"flag"
	"os"

	// Registers the flags that are set here.
	_ "pgregory.net/rapid"
)

const (
	defaultSeed   = "1"
	defaultChecks = "100"
)

func init() {
	set("rapid.seed", "CITRON_SEED", defaultSeed)
	set("rapid.checks", "CITRON_CHECKS", defaultChecks)
	set("rapid.nofailfile", "CITRON_NOFAILFILE", "true")
}

func set(name, variable, fallback string) {
	value := os.Getenv(variable)
	if value == "" {
		value = fallback
	}
	if err := flag.Set(name, value); err != nil {
		panic("testseed: " + err.Error())
	}
}
