package main

import (
	"cmp"
	"context"
	"os/signal"
	"syscall"

	"github.com/citronscale/citronscale/internal/load"
)

// fleetOptions say where the fleet is and who sends.
type fleetOptions struct {
	Platform string            `long:"platform" default:"127.0.0.1:9000" value-name:"IP:PORT" description:"Platform whose host list names hosts, engines and services"`
	Team     map[string]string `long:"team" key-value-delimiter:"=" value-name:"NAME=TOKEN" description:"Team that sends; can be repeated (default: the teams of the demo fleet)"`
	Teams    string            `long:"teams" value-name:"FILE" description:"File with lines team=NAME token=TOKEN"`
	Model    string            `long:"model" description:"Model to ask for (default: the first that the hosts serve)"`
	Seed     uint64            `long:"seed" description:"Seed of arrivals and prompts (default: the one of the workload, or 1)"`
}

const defaultSeed = 1

// seed returns the seed of the command line, else that of the workload.
func (o *fleetOptions) seed(workload uint64) uint64 {
	return cmp.Or(o.Seed, workload, defaultSeed)
}

// demoTeams are the teams of the demo fleet.
var demoTeams = []load.Team{
	{Name: "pallets", Token: "demo-token-pallets"},
	{Name: "returns", Token: "demo-token-returns"},
	{Name: "resurfacing", Token: "demo-token-resurfacing"},
}

// target is the fleet that a command works on.
type target struct {
	fleet  *load.Fleet
	teams  []load.Team
	model  string
	caller *load.Caller
}

func (o *fleetOptions) open(ctx context.Context) (*target, error) {
	teams, err := o.readTeams()
	if err != nil {
		return nil, err
	}
	fleet, err := load.ReadFleet(ctx, o.Platform)
	if err != nil {
		return nil, err
	}
	model := o.Model
	if model == "" {
		model, err = load.FirstModel(ctx, fleet.Hosts[0].Address, teams[0].Token)
	}
	return &target{fleet: fleet, teams: teams, model: model, caller: load.NewCaller()}, err
}

func (o *fleetOptions) readTeams() ([]load.Team, error) {
	if o.Teams != "" {
		return load.ReadTeams(o.Teams)
	}
	if len(o.Team) == 0 {
		return demoTeams, nil
	}
	return load.SortedTeams(o.Team), nil
}

func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
