package relayd

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/citronscale/citronscale/internal/cmdline"
)

// Main runs the daemon with the given arguments and returns its exit code. A
// first SIGTERM or SIGINT begins a planned stop; later ones change nothing.
func Main(args []string, stdout, stderr io.Writer) int {
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
		return program.Checked()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d, err := New(settings, opts.Settings, stdout)
	if err != nil {
		return program.Report(err, cmdline.ExitFailed)
	}
	if err := d.Run(ctx); err != nil {
		return program.Report(err, cmdline.ExitFailed)
	}
	return cmdline.ExitOK
}
