// Command citronstub runs a stand-in for the platform, a model engine or a
// plain service.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// commands are the stand-ins, one subcommand each.
type commands struct {
	Platform platformCommand `command:"platform" description:"Run the configuration service, the host list and the weight store" long-description:"Example: citronstub platform --listen 127.0.0.1:9000 --config fleet.toml --hosts hosts.json"`
	Engine   engineCommand   `command:"engine" description:"Run a model engine" long-description:"Example: citronstub engine --listen 127.0.0.1:9101 --name engine-1 --model citron-base --capacity 480000"`
	Service  serviceCommand  `command:"service" description:"Run a plain service" long-description:"Example: citronstub service --listen 127.0.0.1:9201 --name pallets"`
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
