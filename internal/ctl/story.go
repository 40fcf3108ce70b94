package ctl

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/citronscale/citronscale/event"
)

// storyCommand prints the lines of the collected logs that concern one request.
type storyCommand struct {
	app  *app
	in   io.Reader
	Near time.Duration `long:"near" value-name:"DURATION" default:"5s" description:"how long before and after the request lines about its upstreams and host are shown"`
	Args struct {
		Request string `positional-arg-name:"ID" description:"request identifier of the caller"`
	} `positional-args:"yes" required:"yes"`
}

// logLine is one line of a host's log, with the fields that storyCommand uses.
type logLine struct {
	Time      int64    `json:"time"` // Unix milliseconds
	Event     int      `json:"event"`
	Name      string   `json:"name"`
	Host      string   `json:"host"`
	Request   string   `json:"request"`
	Upstream  string   `json:"upstream"`
	Upstreams []string `json:"upstreams"`
	Helpers   []string `json:"helpers"`
	Took      float64  `json:"took"` // milliseconds
	Result    string   `json:"result"`
	Detail    string   `json:"detail"`
	Notes     []string `json:"notes"`
	Parts     []string `json:"parts"`   // of the prompt, or of what is refused
	Content   string   `json:"content"` // digest of the request

	raw string
}

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// Numbers of the first and last event that concern a single request.
const (
	firstRequestEvent = 200
	lastRequestEvent  = 299
)

// Execute implements flags.Commander.
func (c *storyCommand) Execute([]string) error {
	in := c.in
	if in == nil {
		in = os.Stdin
	}
	lines, err := readLog(in)
	if err != nil {
		return err
	}
	story := selectLines(lines, c.Args.Request, c.Near)
	if len(story) == 0 {
		return notFound("no line names request %q", c.Args.Request)
	}
	for _, line := range story {
		if c.app.JSON {
			_, err = fmt.Fprintln(c.app.out, line.raw)
		} else {
			_, err = fmt.Fprintln(c.app.out, line.text())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readLog parses one JSON object per line. It ignores text before the first brace
// of a line and lines without a brace, which come from the log collection. Lines
// with invalid JSON are skipped.
func readLog(in io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		_, object, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		line := logLine{raw: "{" + object}
		if err := json.Unmarshal([]byte(line.raw), &line); err == nil {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// selectLines returns the lines of a request, those about its hosts and upstreams, from
// near before its start to near after its end, and the first ones that tell why its
// content is refused, sorted by time.
func selectLines(lines []logLine, request string, near time.Duration) []logLine {
	var selected []logLine
	involved := map[string]bool{}
	contents := map[string]bool{}
	for _, line := range lines {
		if line.Request != request {
			continue
		}
		selected = append(selected, line)
		involved[line.Host] = true
		for _, upstream := range slices.Concat(line.Upstreams, line.Helpers) {
			involved[upstream] = true
		}
		for _, id := range append(line.Parts, line.Content) {
			contents[id] = true
		}
	}
	if len(selected) == 0 {
		return nil
	}
	from, to := selected[0].Time, selected[0].Time
	for _, line := range selected {
		from = min(from, line.Time-int64(line.Took))
		to = max(to, line.Time)
	}
	from -= near.Milliseconds()
	to += near.Milliseconds()
	for _, line := range lines {
		concerned := line.Upstream != "" && involved[line.Upstream] || line.Upstream == "" && involved[line.Host]
		requestEvent := line.Event >= firstRequestEvent && line.Event <= lastRequestEvent
		if concerned && !requestEvent && line.Time >= from && line.Time <= to {
			selected = append(selected, line)
		}
	}
	selected = append(selected, quarantineLines(lines, contents, from, to)...)
	slices.SortStableFunc(selected, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	return selected
}

// quarantineLines returns the first line, before a time, of each combination of parts
// that contents holds whole. Lines from the given time on were selected already if they
// are about a host of the request.
func quarantineLines(lines []logLine, contents map[string]bool, from, to int64) []logLine {
	var selected []logLine
	told := map[string]bool{}
	for _, line := range lines {
		key := strings.Join(line.Parts, ",")
		foreign := slices.ContainsFunc(line.Parts, func(part string) bool { return !contents[part] })
		if line.Event != event.ContentQuarantined.Number || line.Time > to || foreign || told[key] {
			continue
		}
		told[key] = true
		if line.Time < from {
			selected = append(selected, line)
		}
	}
	return selected
}

func (l *logLine) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %d %s", time.UnixMilli(l.Time).UTC().Format("15:04:05.000"), l.Host, l.Event, l.Name)
	if l.Result != "" {
		fmt.Fprintf(&b, ": %s after %.0f ms", l.Result, l.Took)
	}
	if l.Upstream != "" {
		fmt.Fprintf(&b, " %s", l.Upstream)
	}
	if len(l.Upstreams) > 0 {
		fmt.Fprintf(&b, " through %s", strings.Join(l.Upstreams, ", "))
	}
	if len(l.Parts) > 0 {
		fmt.Fprintf(&b, " with parts %s", strings.Join(l.Parts, ","))
	}
	for _, note := range l.Notes {
		fmt.Fprintf(&b, "\n    %s", note)
	}
	if l.Detail != "" {
		fmt.Fprintf(&b, "\n    %s", l.Detail)
	}
	return b.String()
}
