package main

import (
	"errors"
	"os"

	"github.com/citronscale/citronscale/internal/load"
)

type demoCommand struct {
	fleetOptions
	Service string `long:"service" default:"booking" description:"Plain service that takes the booking"`
	Path    string `long:"path" default:"/bookings" description:"Path of calls that may not be repeated"`
}

var errDemo = errors.New("not every answer was whole, or the booking did not run once")

// Execute runs the demo. It fails unless every answer was whole and the
// booking ran once.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := interruptible()
	defer cancel()
	target, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer target.caller.Close()
	demo := &load.Demo{
		Fleet:       target.fleet,
		Teams:       target.teams,
		Model:       target.model,
		Seed:        c.seed(0),
		Service:     c.Service,
		BookingPath: c.Path,
		Caller:      target.caller,
	}
	rows, err := demo.Run(ctx)
	if err != nil {
		return err
	}
	well, err := load.WriteDemo(os.Stdout, rows)
	if err == nil && !well {
		err = errDemo
	}
	return err
}
