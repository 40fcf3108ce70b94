package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/citronscale/citronscale/internal/load"
)

type benchCommand struct {
	fleetOptions
	Rate         float64       `long:"rate" default:"80" description:"Requests per second, half of them sent to the engines directly"`
	Duration     time.Duration `long:"duration" default:"20s" description:"Time during which requests are sent"`
	PromptTokens uint32        `long:"prompt-tokens" default:"1000" description:"Length of the prompts"`
	AnswerTokens uint32        `long:"answer-tokens" default:"128" description:"Greatest length of the answers"`
	Streams      int           `long:"streams" default:"240" description:"Streams open at once while relaying is measured"`
	PIDFiles     string        `long:"pid-files" default:"out/demo/host-*.pid" value-name:"PATTERN" description:"Files with the process identifiers of the entry hosts"`
	JSON         string        `long:"json" value-name:"FILE" description:"Also write the figures as JSON"`
}

// Execute runs the bench.
func (c *benchCommand) Execute([]string) error {
	ctx, cancel := interruptible()
	defer cancel()
	target, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer target.caller.Close()
	pids, err := load.ReadPIDs(c.PIDFiles)
	if err != nil {
		return err
	}
	bench := &load.Bench{
		Fleet:        target.fleet,
		Teams:        target.teams,
		Model:        target.model,
		Seed:         c.seed(0),
		Rate:         c.Rate,
		Duration:     c.Duration,
		PromptTokens: c.PromptTokens,
		AnswerTokens: c.AnswerTokens,
		Streams:      c.Streams,
		PIDs:         pids,
		Caller:       target.caller,
	}
	report, err := bench.Run(ctx)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, report); err != nil {
			return err
		}
	}
	return report.WriteText(os.Stdout)
}

func writeJSON(path string, value any) error {
	const fileMode = 0o644
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), fileMode)
}
