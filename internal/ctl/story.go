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
)

// storyCommand prints what the collected logs of all hosts say of one request.
type storyCommand struct {
	app  *app
	in   io.Reader
	Near time.Duration `long:"near" value-name:"DURATION" default:"5s" description:"how long before and after the request lines about its upstreams and host are shown"`
	Args struct {
		Request string `positional-arg-name:"ID" description:"request identifier of the caller"`
	} `positional-args:"yes" required:"yes"`
}

// logLine is one line of a host's log, with the fields that a story needs.
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

	raw string
}

// maxLogLine is the longest line that is read, in bytes.
const maxLogLine = 1 << 20

// eventsOfRequests is where events of single requests begin and end.
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
	story := tell(lines, c.Args.Request, c.Near)
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

// readLog reads lines of JSON. What stands before the first brace of a line, and
// lines without one, are of the log collection and ignored.
func readLog(in io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
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

// tell picks the lines of a request, and of the upstreams and hosts that it met
// about that time.
func tell(lines []logLine, request string, near time.Duration) []logLine {
	var own []logLine
	met := map[string]bool{}
	for _, line := range lines {
		if line.Request != request {
			continue
		}
		own = append(own, line)
		met[line.Host] = true
		for _, upstream := range slices.Concat(line.Upstreams, line.Helpers) {
			met[upstream] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	from, to := own[0].Time, own[0].Time
	for _, line := range own {
		from = min(from, line.Time-int64(line.Took))
		to = max(to, line.Time)
	}
	from -= near.Milliseconds()
	to += near.Milliseconds()
	for _, line := range lines {
		about := line.Upstream != "" && met[line.Upstream] || line.Upstream == "" && met[line.Host]
		ofRequest := line.Event >= firstRequestEvent && line.Event <= lastRequestEvent
		if about && !ofRequest && line.Time >= from && line.Time <= to {
			own = append(own, line)
		}
	}
	slices.SortStableFunc(own, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	return own
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
	for _, note := range l.Notes {
		fmt.Fprintf(&b, "\n    %s", note)
	}
	if l.Detail != "" {
		fmt.Fprintf(&b, "\n    %s", l.Detail)
	}
	return b.String()
}
