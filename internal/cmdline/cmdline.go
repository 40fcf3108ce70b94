// Package cmdline holds the common parts of the daemons' command lines: parsing,
// error output and exit codes.
package cmdline

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/citronscale/citronscale/code"
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// Options are the command-line options of every daemon.
type Options struct {
	Settings string `short:"s" long:"settings" required:"true" value-name:"FILE" description:"TOML file with the local settings of this host"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Program describes a daemon for its command line.
type Program struct {
	Name           string
	Description    string
	Stdout, Stderr io.Writer
}

// Parse reads the arguments. If ok is false, the process must end with the
// exit code exit.
func (p Program) Parse(args []string) (options Options, exit int, ok bool) {
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = p.Description
	_, err := parser.ParseArgs(args)
	if err == nil {
		return options, ExitOK, true
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(p.Stdout, err)
		return options, ExitOK, false
	}
	return options, p.Report(code.Wrap(err, code.UsageInvalid), ExitUsage), false
}

// Report writes an error to Stderr and returns exit.
func (p Program) Report(err error, exit int) int {
	_, _ = fmt.Fprintf(p.Stderr, "%s: error %d: %v\n", p.Name, code.Of(err), err)
	return exit
}

// ReportValid prints that the settings are valid and returns ExitOK.
func (p Program) ReportValid() int {
	_, _ = fmt.Fprintln(p.Stdout, "settings are valid")
	return ExitOK
}
