package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/relay"
)

// explainCommand shows where citronrelay would send a request now.
type explainCommand struct {
	app    *app
	Team   string   `long:"team" value-name:"NAME" description:"team of the caller"`
	Prompt int      `long:"prompt" value-name:"TOKENS" description:"tokens of the prompt"`
	Answer int      `long:"answer" value-name:"TOKENS" description:"most tokens of the answer"`
	Parts  []string `long:"part" value-name:"ID" description:"identifier of a part of the prompt, hexadecimal; repeat for several"`
	Args   struct {
		Route string `positional-arg-name:"HOST/PATH" description:"host and path of the request"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It exits 1 if the request would be refused.
func (c *explainCommand) Execute([]string) error {
	host, path, _ := strings.Cut(c.Args.Route, "/")
	query := url.Values{
		"host": {host}, "path": {"/" + path}, "team": {c.Team}, "part": c.Parts,
		"prompt": {strconv.Itoa(c.Prompt)}, "answer": {strconv.Itoa(c.Answer)},
	}
	var last error
	for _, address := range c.app.Hosts {
		explanation, err := c.ask(address, query)
		if code.Of(err) == code.NoHostReachable {
			last = err
			continue
		}
		if err != nil {
			return err
		}
		return c.show(explanation)
	}
	return last
}

func (c *explainCommand) ask(address string, query url.Values) (*relay.Explanation, error) {
	transport, scheme, err := c.app.transport()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.app.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+address+"/explain?"+query.Encode(), nil)
	if err != nil {
		return nil, code.Wrap(err, code.UsageInvalid)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, code.New(code.NoHostReachable, "host %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end
	const maxBytes = 16 << 20                    // thousands of upstreams
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	if err != nil {
		return nil, code.New(code.NoHostReachable, "host %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, code.New(code.UsageInvalid, "host %s answered with status %d: %s", address, response.StatusCode, strings.TrimSpace(string(body)))
	}
	explanation := &relay.Explanation{}
	if err := json.Unmarshal(body, explanation); err != nil {
		return nil, fmt.Errorf("answer of host %s: %w", address, err)
	}
	return explanation, nil
}

func (c *explainCommand) show(e *relay.Explanation) error {
	refused := e.Refusal != nil
	for _, service := range e.Services {
		refused = refused || service.Refusal != nil && !service.Refusal.Waits
	}
	if err := c.write(e); err != nil {
		return err
	}
	if refused {
		return errFaultShown
	}
	return nil
}

func (c *explainCommand) write(e *relay.Explanation) error {
	if c.app.JSON {
		return c.app.writeJSON(e)
	}
	c.app.print(fmt.Sprintf("route %s, %s, configuration %d", e.Route, e.Kind, e.ConfigVersion))
	c.printRefusal(e.Refusal)
	for _, service := range e.Services {
		c.app.print(fmt.Sprintf("\nservice %s, weight %d", service.Service, service.Weight))
		c.printRefusal(service.Refusal)
		if service.Chosen != "" {
			line := "goes to " + service.Chosen
			if service.First > 0 {
				line += ", first event in " + millis(service.First)
			}
			if len(service.Helpers) > 0 {
				line += ", helpers " + strings.Join(service.Helpers, ", ")
			}
			c.app.print(line)
		}
		t := newTable("UPSTREAM", "DOMAIN", "STREAMS", "FIRST EVENT", "EXCLUDED", "NOTES")
		for _, candidate := range service.Candidates {
			first := ""
			if candidate.First > 0 {
				first = millis(candidate.First)
			}
			t.add(candidate.Upstream, candidate.FailureDomain, candidate.Streams, first,
				strings.Join(candidate.Excluded, "; "), strings.Join(candidate.Notes, "; "))
		}
		if err := c.app.writeTable(t); err != nil {
			return err
		}
	}
	return nil
}

func (c *explainCommand) printRefusal(r *relay.Refusal) {
	if r == nil {
		return
	}
	line := fmt.Sprintf("refused: %d %s: %s", int(r.Code), r.Name, r.Detail)
	if r.Waits {
		line = fmt.Sprintf("waits for room, expected in %s: %s", millis(r.RetryAfter), r.Detail)
	} else if r.RetryAfter > 0 {
		line += ", come back after " + millis(r.RetryAfter)
	}
	c.app.print(line)
}

func millis(d time.Duration) string { return d.Round(time.Millisecond).String() }
