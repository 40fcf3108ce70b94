package relayd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/citronscale/citronscale/internal/cmdline"
)

// Main runs the daemon with the given arguments and returns its exit code. The
// first SIGTERM or SIGINT begins a planned stop; further ones have no effect.
// SIGHUP reloads the settings.
func Main(args []string, stdout, stderr io.Writer) int {
	// Signals may arrive during startup.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	program := cmdline.Program{
		Name: "citronrelay", Stdout: stdout, Stderr: stderr,
		Description: "Relays requests by published routes. Example: citronrelay --settings relay.toml",
	}
	opts, exit, ok := program.Parse(args)
	if !ok {
		return exit
	}
	settings, err := LoadSettings(opts.Settings)
	if err != nil {
		return program.Report(err, cmdline.ExitSettings)
	}
	if opts.Check {
		return program.ReportValid()
	}
	d, err := New(settings, opts.Settings, stdout)
	if err != nil {
		return program.Report(err, cmdline.ExitFailed)
	}
	if err := d.Run(ctx, hangup); err != nil {
		return program.Report(err, cmdline.ExitFailed)
	}
	return cmdline.ExitOK
}
