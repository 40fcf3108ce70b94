package main

import (
	"time"

	"github.com/citronscale/citronscale/internal/stub/servicestub"
)

type serviceCommand struct {
	Listen string        `long:"listen" required:"true" value-name:"IP:PORT" description:"Address to listen at"`
	Name   string        `long:"name" required:"true" description:"Name of the service"`
	Delay  time.Duration `long:"delay" default:"0s" description:"Time between running a call and its answer"`
}

// Execute runs the service.
func (c *serviceCommand) Execute([]string) error {
	service := servicestub.New(c.Name, crash)
	service.SetDelay(c.Delay)
	return serve(c.Name, c.Listen, service.Handler(), service.Gate)
}
