package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/citronscale/citronscale/internal/load"
)

type runCommand struct {
	fleetOptions
	Scale    float64       `long:"scale" default:"1" description:"Factor for all rates"`
	Duration time.Duration `long:"duration" description:"Duration in place of the one of the workload"`
	Out      string        `long:"out" value-name:"DIRECTORY" description:"Also write the report and plots there"`
	Args     struct {
		Workload string `positional-arg-name:"WORKLOAD" description:"Workload as a TOML file"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the workload, and before it the streams that are also run
// alone.
func (c *runCommand) Execute([]string) error {
	ctx, cancel := interruptible()
	defer cancel()
	w, err := load.Load(c.Args.Workload)
	if err != nil {
		return err
	}
	if c.Duration > 0 {
		w.Duration = load.Duration(c.Duration)
	}
	c.Seed = c.seed(w.Seed)
	if w.Model != "" {
		c.Model = w.Model
	}
	target, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer target.caller.Close()
	runner := &load.Runner{
		Workload: w,
		Seed:     c.Seed,
		Model:    target.model,
		Teams:    load.AssignTeams(target.teams, len(w.TeamWeights)),
		Hosts:    target.fleet.HostAddresses(),
		Caller:   target.caller,
	}
	report, mixed := c.run(ctx, target, runner)
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("run of %q was interrupted, nothing is reported: %w", w.Name, err)
	}
	return c.write(report, w, mixed)
}

func (c *runCommand) run(ctx context.Context, target *target, runner *load.Runner) (*load.Report, []load.Result) {
	w := runner.Workload
	arrivals := w.Arrivals(c.Seed, c.Scale)
	var alone []load.Result
	if len(w.Alone) > 0 {
		// Other prompts, so that the mixed run finds none of them in a cache.
		runner.Prompts = ^c.Seed
		alone = runner.WithFreshPrompts().Run(ctx, w.Only(arrivals, w.Alone))
	}
	runner.Prompts = c.Seed
	started := time.Now()
	clock := load.StartCPUClock()
	mixed := runner.Run(ctx, arrivals)
	report := load.NewReport(runner, c.Scale, mixed, time.Since(started))
	report.SetMachine(load.Cores(), clock.BusyCores())
	report.AddSlowdown(w, alone, mixed)
	for _, engine := range target.fleet.Engines {
		runs, err := load.EngineRuns(ctx, engine.Address, started)
		if err != nil {
			fmt.Fprintf(os.Stderr, "engine %q: %v\n", engine.Name, err)
			continue
		}
		report.AddEngine(engine.Name, runs)
	}
	return report, mixed
}

func (c *runCommand) write(report *load.Report, w *load.Workload, results []load.Result) error {
	if err := report.WriteText(os.Stdout); err != nil || c.Out == "" {
		return err
	}
	const directoryMode = 0o755
	if err := os.MkdirAll(c.Out, directoryMode); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(c.Out, "report.txt"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := report.WriteText(file); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(c.Out, load.ReportFile), report); err != nil {
		return err
	}
	_, err = load.WritePlots(c.Out, w, results)
	return err
}
