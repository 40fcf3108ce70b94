package ctl

import (
	"errors"
	"fmt"
	"os"

	operatorv1 "github.com/citronscale/citronscale/api/operator/v1"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/config"
)

// configCommand groups the commands on the published configuration.
type configCommand struct {
	Check checkCommand `command:"check" description:"Check a document before it is published" long-description:"Names line, field and value of each fault and exits 1 if there is one.\n\nExample: citronctl config check fleet.toml"`
	Show  showCommand  `command:"show" description:"Values in force and where each comes from" long-description:"Shows the values in force, whether each is a default or an exception, and the reason of an exception.\n\nExample: citronctl config show tokens_per_second"`
}

func newConfigCommand(a *app) *configCommand {
	return &configCommand{Check: checkCommand{app: a}, Show: showCommand{app: a}}
}

// checkCommand validates a configuration document locally, without a host.
type checkCommand struct {
	app  *app
	Args struct {
		File string `positional-arg-name:"FILE" description:"document in TOML"`
	} `positional-args:"yes" required:"yes"`
}

// checkResult is the JSON output of "config check".
type checkResult struct {
	File   string       `json:"file"`
	Valid  bool         `json:"valid"`
	Faults []checkFault `json:"faults"`
	More   int          `json:"more"` // faults that are not listed
}

type checkFault struct {
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Value   string `json:"value"`
	Problem string `json:"problem"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return code.Wrap(fmt.Errorf("read the document: %w", err), code.UsageInvalid)
	}
	parsed, err := config.Parse(0, data)
	if err == nil {
		return c.writeValid(parsed)
	}
	var list *config.FaultList
	if !errors.As(err, &list) {
		return err
	}
	if err := c.writeFaults(list); err != nil {
		return err
	}
	return errFaultShown
}

func (c *checkCommand) writeValid(parsed *config.Config) error {
	if c.app.JSON {
		return c.app.writeJSON(checkResult{File: c.Args.File, Valid: true, Faults: []checkFault{}})
	}
	c.app.print(fmt.Sprintf("%s is valid; teams: %d, models: %d, services: %d",
		c.Args.File, len(parsed.TeamNames()), len(parsed.Models), len(parsed.Services)))
	return nil
}

func (c *checkCommand) writeFaults(list *config.FaultList) error {
	if c.app.JSON {
		result := checkResult{File: c.Args.File, Faults: []checkFault{}, More: list.Omitted}
		for _, f := range list.Faults {
			result.Faults = append(result.Faults, checkFault(f))
		}
		return c.app.writeJSON(result)
	}
	c.app.print(fmt.Sprintf("%d ConfigInvalid: faults in %s: %d", int(code.ConfigInvalid), c.Args.File, len(list.Faults)+list.Omitted))
	for _, f := range list.Faults {
		c.app.print(fmt.Sprintf("%s:%d: %s = %s: %s", c.Args.File, f.Line, f.Field, f.Value, f.Problem))
	}
	if list.Omitted > 0 {
		c.app.print(fmt.Sprintf("and %d more", list.Omitted))
	}
	return nil
}

// showCommand shows the configuration values in force.
type showCommand struct {
	app  *app
	Args struct {
		Field string `positional-arg-name:"FIELD" description:"field to show; all if left out"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	answer, err := firstResponse(c.app, func(h hostClient) (*operatorv1.ConfigResponse, error) {
		return call(c.app, h.client.Config, &operatorv1.ConfigRequest{Field: c.Args.Field})
	})
	if err != nil {
		return err
	}
	if len(answer.GetRows()) == 0 {
		return notFound("revision %d has no field %q", answer.GetRevision(), c.Args.Field)
	}
	t := newTable("SCOPE", "FIELD", "VALUE", "ORIGIN", "REASON")
	for _, r := range answer.GetRows() {
		t.add(r.GetScope(), r.GetField(), r.GetValue(), r.GetOrigin(), r.GetReason())
	}
	if !c.app.JSON {
		c.app.print(fmt.Sprintf("revision %d", answer.GetRevision()))
	}
	return c.app.writeMessage(answer, t)
}
