package main

import (
	"os"

	"github.com/citronscale/citronscale/internal/load"
)

type compareCommand struct {
	Args struct {
		Directory string `positional-arg-name:"DIRECTORY" required:"true" description:"Holds POLICY/SEED/report.json"`
	} `positional-args:"true"`
}

// Execute prints the table of a comparison.
func (c *compareCommand) Execute([]string) error {
	comparison, err := load.ReadComparison(c.Args.Directory)
	if err != nil {
		return err
	}
	return comparison.Write(os.Stdout)
}
