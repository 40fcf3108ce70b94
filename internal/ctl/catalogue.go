package ctl

import (
	"strconv"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
)

// codesCommand shows the result codes of this build.
type codesCommand struct {
	app  *app
	Args struct {
		Code string `positional-arg-name:"CODE" description:"number or name; all if left out"`
	} `positional-args:"yes"`
}

// codeRow is the JSON form of one code.
type codeRow struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Status  int    `json:"http_status"`
	Retry   bool   `json:"retry"`
	Meaning string `json:"meaning"`
	Action  string `json:"action"`
}

// Execute implements flags.Commander.
func (c *codesCommand) Execute([]string) error {
	rows := []codeRow{}
	t := newTable("CODE", "NAME", "OUTCOME", "HTTP", "RETRY", "MEANING", "ACTION")
	for _, info := range code.Table() {
		number := int(info.Code)
		if c.Args.Code != "" && c.Args.Code != strconv.Itoa(number) && c.Args.Code != info.Name {
			continue
		}
		outcome := info.Code.Outcome().String()
		rows = append(rows, codeRow{number, info.Name, outcome, info.Status, info.Retry, info.Meaning, info.Action})
		t.add(number, info.Name, outcome, info.Status, info.Retry, info.Meaning, info.Action)
	}
	if len(rows) == 0 {
		return notFound("there is no code %q", c.Args.Code)
	}
	return c.app.write(rows, t)
}

// eventsCommand shows the log events of this build.
type eventsCommand struct {
	app  *app
	Args struct {
		Event string `positional-arg-name:"NUMBER" description:"number of the event; all if left out"`
	} `positional-args:"yes"`
}

// eventRow is the JSON form of one event.
type eventRow struct {
	Event   int    `json:"event"`
	Name    string `json:"name"`
	Level   string `json:"level"`
	Meaning string `json:"meaning"`
	Action  string `json:"action"`
}

// Execute implements flags.Commander.
func (c *eventsCommand) Execute([]string) error {
	rows := []eventRow{}
	t := newTable("EVENT", "NAME", "LEVEL", "MEANING", "ACTION")
	for _, e := range event.Catalogue() {
		if c.Args.Event != "" && c.Args.Event != strconv.Itoa(e.Number) {
			continue
		}
		rows = append(rows, eventRow{e.Number, e.Name, e.Level.String(), e.Meaning, e.Action})
		t.add(e.Number, e.Name, e.Level, e.Meaning, e.Action)
	}
	if len(rows) == 0 {
		return notFound("there is no event %q", c.Args.Event)
	}
	return c.app.write(rows, t)
}
