package relayd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/citronscale/citronscale/code"
)

// Exit codes of citronrelay.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

type options struct {
	Settings string `short:"s" long:"settings" required:"true" value-name:"FILE" description:"TOML file with the local settings of this host"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Main runs the daemon with the given arguments and returns its exit code. A
// first SIGTERM or SIGINT begins a planned stop; later ones change nothing.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Relays requests by published routes. Example: citronrelay --settings relay.toml"
	if _, err := parser.ParseArgs(args); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, err)
			return exitOK
		}
		return report(stderr, code.Wrap(err, code.UsageInvalid), exitUsage)
	}
	settings, err := LoadSettings(opts.Settings)
	if err != nil {
		return report(stderr, err, exitSettings)
	}
	if opts.Check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d, err := New(settings, opts.Settings, stdout)
	if err != nil {
		return report(stderr, err, exitFailed)
	}
	if err := d.Run(ctx); err != nil {
		return report(stderr, err, exitFailed)
	}
	return exitOK
}

func report(stderr io.Writer, err error, exit int) int {
	_, _ = fmt.Fprintf(stderr, "citronrelay: error %s\n", code.Describe(err))
	return exit
}
