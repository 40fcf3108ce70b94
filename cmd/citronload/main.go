// Command citronload sends load to entry hosts and reports what came back.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// commands are the subcommands.
type commands struct {
	Run     runCommand     `command:"run" description:"Run a workload" long-description:"Example: citronload run --out out/day workloads/day.toml"`
	Demo    demoCommand    `command:"demo" description:"Send one request of each kind and show what ran where" long-description:"Example: citronload demo"`
	Compare compareCommand `command:"compare" description:"Print a table over the reports of several policies and seeds" long-description:"Example: citronload compare out/experiments/one-in-fifty-long"`
	Bench   benchCommand   `command:"bench" description:"Compare answers through hosts with answers of the engines called directly" long-description:"Example: citronload bench --rate 100 --duration 20s"`
}

func main() {
	var parsed commands
	parser := flags.NewParser(&parsed, flags.Default)
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		return 0
	}
	return 1
}
