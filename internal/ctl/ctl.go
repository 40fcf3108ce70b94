package ctl

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/citronscale/citronscale/code"
)

// Exit codes of citronctl.
const (
	ExitOK          = 0
	ExitFault       = 1 // a fault was found or the command failed
	ExitUsage       = 2
	ExitUnreachable = 3 // none of the hosts answered
	ExitNotFound    = 4 // no such object, or no information about it
)

const longDescription = `Shows what the hosts of a citronscale fleet do.

Any reachable host answers for the fleet; give several with --host.

Exit codes: 0 done; 1 a fault was found or the command failed; 2 wrong usage;
3 no host reachable; 4 not found, or nothing is known.`

// globalOptions are the options that every command accepts.
type globalOptions struct {
	Hosts       []string      `long:"host" value-name:"IP:PORT" env:"CITRON_HOSTS" env-delim:"," default:"127.0.0.1:8281" description:"operator listener of a host; repeat for several"`
	JSON        bool          `long:"json" description:"write JSON instead of a table"`
	Timeout     time.Duration `long:"timeout" value-name:"DURATION" default:"5s" description:"time for the answer of one host"`
	Certificate string        `long:"certificate" value-name:"FILE" description:"PEM certificate of the operator; turns TLS on"`
	Key         string        `long:"key" value-name:"FILE" description:"PEM key of the certificate"`
	CA          string        `long:"ca" value-name:"FILE" description:"PEM certificates that sign those of the hosts"`
}

// app holds the options and output streams that the commands share.
type app struct {
	globalOptions
	out io.Writer
	err io.Writer
}

// notFoundError ends a command with ExitNotFound.
type notFoundError struct{ error }

func notFound(format string, args ...any) error {
	return notFoundError{code.New(code.NotFound, format, args...)}
}

// Unwrap returns the error that carries the code.
func (e notFoundError) Unwrap() error { return e.error }

// Main runs one command and returns the exit code of the process.
func Main(args []string, out, errOut io.Writer) int {
	a := &app{out: out, err: errOut}
	parser, err := a.parser()
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	return a.exit(err)
}

func (a *app) parser() (*flags.Parser, error) {
	parser := flags.NewNamedParser("citronctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Options of all commands", "", &a.globalOptions); err != nil {
		return nil, err
	}
	for _, c := range a.commands() {
		added, err := parser.AddCommand(c.name, c.short, c.long, c.command)
		if err != nil {
			return nil, err
		}
		added.SubcommandsOptional = false
	}
	return parser, nil
}

// commandInfo is a command with its help texts.
type commandInfo struct {
	name, short, long string
	command           any
}

func (a *app) commands() []commandInfo {
	return []commandInfo{
		{"status", "Summary of each host", "Asks every host given and shows its state. Exits 1 if one does not answer or is not ready.\n\nExample: citronctl --host 10.0.0.1:8281 --host 10.0.0.2:8281 status", &statusCommand{app: a}},
		{"dump", "Whole state of one host", "Writes the state of all modules of one host as JSON.\n\nExample: citronctl dump host-2", &dumpCommand{app: a}},
		{"trace", "What ran for one request", "Asks all hosts what they recorded about a request and joins the answers. Exits 4 if whether it ran is unknown.\n\nExample: citronctl trace host-1.dx3k9s0q2bvk.1f", &traceCommand{app: a}},
		{"story", "What collected logs say of one request", "Reads log lines of all hosts from standard input and prints those of a request, and of the hosts and upstreams that it met about that time. Exits 4 if none names it.\n\nExample: citronctl story 9c41d07be2a35f68 < collected.log", &storyCommand{app: a}},
		{"explain", "Where citronrelay would send a request now", "Asks the first host of citronrelay that answers at its operators' address where a request would go now, with all candidates and the reasons against them. Nothing is sent. Exits 1 if it would be refused.\n\nExample: citronctl --host 10.0.0.1:8281 explain api.example/v1/stream --team team-1 --prompt 5000", &explainCommand{app: a}},
		{"config", "Published configuration", "Checks a document or shows the values in force.\n\nExample: citronctl config check fleet.toml", newConfigCommand(a)},
		{"hosts", "Hosts as one host sees them", "Shows the membership as the first host that answers sees it.\n\nExample: citronctl hosts", &hostsCommand{app: a}},
		{"upstreams", "Engines and plain services as one host sees them", "Shows the upstreams as the first host that answers sees them.\n\nExample: citronctl upstreams", &upstreamsCommand{app: a}},
		{"codes", "Numbered result codes", "Shows all result codes, or the one given by number or name.\n\nExample: citronctl codes 2001", &codesCommand{app: a}},
		{"events", "Numbered log events", "Shows all log events, or the one given by number.\n\nExample: citronctl events 301", &eventsCommand{app: a}},
	}
}

// exit prints err and returns the matching exit code.
func (a *app) exit(err error) int {
	var usage *flags.Error
	var missing notFoundError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFaultShown):
		return ExitFault
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		a.print(err)
		return ExitOK
	case errors.As(err, &usage):
		a.printError(code.Wrap(err, code.UsageInvalid))
		return ExitUsage
	case errors.As(err, &missing):
		a.printError(missing.error)
		return ExitNotFound
	case code.Of(err) == code.UsageInvalid:
		a.printError(err)
		return ExitUsage
	case code.Of(err) == code.NoHostReachable:
		a.printError(err)
		return ExitUnreachable
	default:
		a.printError(err)
		return ExitFault
	}
}

// errFaultShown ends a command that has already printed the fault.
var errFaultShown = errors.New("fault found")

func (a *app) print(text any) {
	_, _ = fmt.Fprintln(a.out, text)
}

func (a *app) printError(err error) {
	_, _ = fmt.Fprintln(a.err, "citronctl:", code.Describe(err))
}
