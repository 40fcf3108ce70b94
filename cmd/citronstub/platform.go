package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/citronscale/citronscale/internal/stub/platformstub"
	"github.com/citronscale/citronscale/source/httpsource"
)

type platformCommand struct {
	Listen   string        `long:"listen" required:"true" value-name:"IP:PORT" description:"Address to listen at"`
	Config   string        `long:"config" value-name:"FILE" description:"Configuration to publish at the start"`
	Revision uint64        `long:"revision" default:"1" description:"Revision of that configuration"`
	Hosts    string        `long:"hosts" value-name:"FILE" description:"Host list as JSON to start with"`
	Lag      time.Duration `long:"lag" default:"0s" description:"Age at which a change of the host list becomes visible"`
	PullRate float64       `long:"pull-rate" default:"5" description:"Rate of the weight store in pulls per second"`
}

// Execute runs the platform.
func (c *platformCommand) Execute([]string) error {
	platform := platformstub.New()
	platform.SetLag(c.Lag)
	platform.SetPullRate(c.PullRate)
	if c.Config != "" {
		data, err := os.ReadFile(c.Config)
		if err != nil {
			return err
		}
		platform.Publish(c.Revision, data)
	}
	if c.Hosts != "" {
		list, err := readHosts(c.Hosts)
		if err != nil {
			return err
		}
		platform.SetInitialHosts(list)
	}
	return serve("platform", c.Listen, platform.Handler(), platform.Gate)
}

func readHosts(path string) (httpsource.List, error) {
	var list httpsource.List
	data, err := os.ReadFile(path)
	if err != nil {
		return list, err
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return list, fmt.Errorf("host list %q: %w", path, err)
	}
	return list, nil
}
