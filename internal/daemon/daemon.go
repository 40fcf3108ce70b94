// Package daemon implements the command line of citrond: it loads the settings,
// builds the logger and runs a host until a signal starts a planned stop.
package daemon

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/host"
	"github.com/citronscale/citronscale/internal/cmdline"
	"github.com/citronscale/citronscale/settings"
)

// Main runs the daemon with the given arguments and returns its exit code. The
// first SIGTERM or SIGINT begins a planned stop; further ones have no effect.
func Main(args []string, stdout, stderr io.Writer) int {
	program := cmdline.Program{
		Name: "citrond", Stdout: stdout, Stderr: stderr,
		Description: "Entry daemon of citronscale. Example: citrond --settings host-1.toml",
	}
	opts, exit, ok := program.Parse(args)
	if !ok {
		return exit
	}
	local, err := settings.Load(opts.Settings)
	if err != nil {
		return program.Report(err, cmdline.ExitSettings)
	}
	if opts.Check {
		return program.ReportValid()
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	h, err := host.New(local, event.NewLogger(newLogger(local.Log, stderr)))
	if err != nil {
		return program.Report(err, cmdline.ExitFailed)
	}
	if err := h.Run(ctx); err != nil {
		return program.Report(err, cmdline.ExitFailed)
	}
	return cmdline.ExitOK
}

// newLogger returns a logger that writes to out in the configured format, from the
// configured level up.
func newLogger(s settings.Log, out io.Writer) *log.Logger {
	logger := &log.Logger{Level: log.ParseLevel(s.Level), TimeField: "time", TimeFormat: log.TimeFormatUnixMs}
	if s.Format == settings.LogConsole {
		logger.Writer = &log.ConsoleWriter{Writer: out}
		return logger
	}
	logger.Writer = log.IOWriter{Writer: out}
	return logger
}
