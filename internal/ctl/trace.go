package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	operatorv1 "github.com/citronscale/citronscale/api/operator/v1"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/record"
)

// traceCommand shows what ran for one request.
type traceCommand struct {
	app  *app
	Args struct {
		Request string `positional-arg-name:"ID" description:"request identifier from the answer, the logs or the caller"`
	} `positional-args:"yes" required:"yes"`
}

// trace is the combined record of all hosts about one request.
type trace struct {
	Request string         `json:"request"`
	Team    string         `json:"team,omitempty"`
	Verdict record.Outcome `json:"verdict"`
	Hosts   []hostAnswer   `json:"hosts"`
	Entries []hostEntry    `json:"entries"` // of all hosts, sorted by time
}

// hostAnswer is the result of querying one host, such as found or unreachable.
type hostAnswer struct {
	Host   string `json:"host"`
	Answer string `json:"answer"`
}

// hostEntry is a record entry with the host that recorded it.
type hostEntry struct {
	Host  string       `json:"host"`
	Entry record.Entry `json:"entry"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	if _, err := ident.ParseRequest(c.Args.Request); err != nil {
		return code.Wrap(err, code.UsageInvalid)
	}
	answer, err := firstResponse(c.app, func(h hostClient) (*operatorv1.TraceResponse, error) {
		return call(c.app, h.client.Trace, &operatorv1.TraceRequest{RequestId: c.Args.Request})
	})
	if err != nil {
		return err
	}
	found, err := newTrace(c.Args.Request, answer)
	if err != nil {
		return err
	}
	if err := c.write(found); err != nil {
		return err
	}
	if found.Verdict == record.Unknown {
		return notFound("whether request %s ran is unknown; look for its identifier in the collected logs", found.Request)
	}
	return nil
}

// newTrace merges the entries of all hosts in the order of their times.
func newTrace(request string, answer *operatorv1.TraceResponse) (*trace, error) {
	joined := &trace{Request: request, Verdict: record.Outcome(answer.GetVerdict()), Hosts: []hostAnswer{}, Entries: []hostEntry{}}
	for _, h := range answer.GetHosts() {
		joined.Hosts = append(joined.Hosts, hostAnswer{Host: h.GetHost(), Answer: h.GetAnswer()})
		if len(h.GetEntries()) == 0 {
			continue
		}
		var entries []record.Entry
		if err := json.Unmarshal(h.GetEntries(), &entries); err != nil {
			return nil, fmt.Errorf("read the entries of host %q: %w", h.GetHost(), err)
		}
		for i := range entries {
			joined.Entries = append(joined.Entries, hostEntry{Host: h.GetHost(), Entry: entries[i]})
			joined.Team = cmp.Or(joined.Team, entries[i].Team)
		}
	}
	slices.SortFunc(joined.Hosts, func(a, b hostAnswer) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortStableFunc(joined.Entries, func(a, b hostEntry) int { return a.Entry.Time.Compare(b.Entry.Time) })
	return joined, nil
}

func (c *traceCommand) write(found *trace) error {
	if c.app.JSON {
		return c.app.writeJSON(found)
	}
	c.app.print(found.headline())
	hosts := newTable("HOST", "ANSWER")
	for _, h := range found.Hosts {
		hosts.add(h.Host, h.Answer)
	}
	if err := c.app.writeTable(hosts); err != nil || len(found.Entries) == 0 {
		return err
	}
	c.app.print("")
	return c.app.writeTable(entryTable(found.Entries))
}

// headline returns the verdict on whether the request ran.
func (t *trace) headline() string {
	if t.Team == "" {
		return fmt.Sprintf("request %s: %s", t.Request, t.Verdict)
	}
	return fmt.Sprintf("request %s of team %s: %s", t.Request, t.Team, t.Verdict)
}

// entryTable lists each entry with its time and the time since the first entry.
func entryTable(entries []hostEntry) *table {
	t := newTable("TIME", "AFTER", "HOST", "EVENT", "ATTEMPT", "UPSTREAM", "CODE", "DETAIL")
	start := entries[0].Entry.Time
	for _, e := range entries {
		t.add(
			e.Entry.Time.UTC().Format("2006-01-02T15:04:05.000Z"),
			e.Entry.Time.Sub(start).Round(time.Millisecond),
			e.Host, e.Entry.Kind, attemptText(e.Entry), upstreamText(e.Entry), codeText(e.Entry), e.Entry.Detail,
		)
	}
	return t
}

func attemptText(e record.Entry) string {
	if e.Attempt == 0 {
		return ""
	}
	return fmt.Sprint(e.Attempt)
}

// upstreamText returns the upstream of the entry, or the host of a forwarded call.
func upstreamText(e record.Entry) string {
	if e.Peer != "" {
		return "host " + string(e.Peer)
	}
	return string(e.Upstream)
}

func codeText(e record.Entry) string {
	if e.Code == code.OK {
		return ""
	}
	return fmt.Sprintf("%d %s", int(e.Code), e.Code.Name())
}
