// Package daemon is the command line of citrond: it reads the settings, builds
// the logger and runs a host until a signal asks for a planned stop.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/host"
	"github.com/citronscale/citronscale/settings"
)

// Exit codes of citrond.
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
	parser.LongDescription = "Entry daemon of citronscale. Example: citrond --settings host-1.toml"
	if _, err := parser.ParseArgs(args); err != nil {
		return reportUsage(err, stdout, stderr)
	}
	local, err := settings.Load(opts.Settings)
	if err != nil {
		return report(stderr, err, exitSettings)
	}
	if opts.Check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	return run(local, stderr)
}

func reportUsage(err error, stdout, stderr io.Writer) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, err)
		return exitOK
	}
	return report(stderr, code.Wrap(err, code.UsageInvalid), exitUsage)
}

func report(stderr io.Writer, err error, exit int) int {
	_, _ = fmt.Fprintf(stderr, "citrond: error %d: %v\n", code.Of(err), err)
	return exit
}

func run(local *settings.Settings, stderr io.Writer) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	h, err := host.New(local, event.NewLogger(newLogger(local.Log, stderr)))
	if err != nil {
		return report(stderr, err, exitFailed)
	}
	if err := h.Run(ctx); err != nil {
		return report(stderr, err, exitFailed)
	}
	return exitOK
}

// newLogger writes lines to out in the form and from the level of the settings.
func newLogger(s settings.Log, out io.Writer) *log.Logger {
	logger := &log.Logger{Level: log.ParseLevel(s.Level), TimeField: "time", TimeFormat: log.TimeFormatUnixMs}
	if s.Format == settings.LogConsole {
		logger.Writer = &log.ConsoleWriter{Writer: out}
		return logger
	}
	logger.Writer = log.IOWriter{Writer: out}
	return logger
}
