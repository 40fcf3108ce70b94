package load

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// formatVersion is the value of the field "format" that this build reads.
const formatVersion = 1

// Duration is a time.Duration that TOML spells like "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Workload describes a load.
type Workload struct {
	Format      int      `toml:"format"`
	Name        string   `toml:"name"`
	Description string   `toml:"description"`
	Duration    Duration `toml:"duration"`
	Seed        uint64   `toml:"seed"`
	Model       string   `toml:"model"`        // empty for the first that the hosts serve
	TeamWeights []int    `toml:"team_weights"` // shares of the requests, one per team
	Alone       []string `toml:"alone"`        // streams that are also run without the others
	Streams     []Stream `toml:"stream"`
}

// Stream is one kind of requests.
type Stream struct {
	Name         string   `toml:"name"`
	Rate         float64  `toml:"rate"` // requests per second
	Steps        []Step   `toml:"step"` // changes of the rate, ascending by time
	PromptTokens Range    `toml:"prompt_tokens"`
	MaxTokens    Range    `toml:"max_tokens"`
	Timeout      Duration `toml:"timeout"`
	Prefixes     Prefixes `toml:"prefixes"`
	Teams        []int    `toml:"teams"` // indexes of the teams that send it; empty for all
}

// Step sets the rate of a stream from a time on.
type Step struct {
	At   Duration `toml:"at"`
	Rate float64  `toml:"rate"` // requests per second
}

// Range bounds a number of tokens. Values in it are drawn with a density that
// falls with their size, so that each doubling is equally likely.
type Range struct {
	Min uint32 `toml:"min"`
	Max uint32 `toml:"max"`
}

// Prefixes describes the beginnings that prompts of a stream share.
type Prefixes struct {
	Count  int    `toml:"count"`  // distinct prefixes; zero for none
	Tokens uint32 `toml:"tokens"` // length of each
}

// Load reads a workload from a TOML file.
func Load(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	w, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("workload %q: %w", path, err)
	}
	return w, nil
}

// Parse reads a workload from TOML.
func Parse(data []byte) (*Workload, error) {
	var w Workload
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		return nil, err
	}
	return &w, w.check()
}

func (w *Workload) check() error {
	switch {
	case w.Format != formatVersion:
		return fmt.Errorf("field %q is %d, want %d", "format", w.Format, formatVersion)
	case w.Duration <= 0:
		return fmt.Errorf("field %q is not positive", "duration")
	case len(w.TeamWeights) == 0:
		return fmt.Errorf("field %q is empty", "team_weights")
	case len(w.Streams) == 0:
		return fmt.Errorf("no %q is given", "stream")
	}
	names := make(map[string]bool)
	for i := range w.Streams {
		if err := w.Streams[i].check(len(w.TeamWeights)); err != nil {
			return fmt.Errorf("stream %q: %w", w.Streams[i].Name, err)
		}
		names[w.Streams[i].Name] = true
	}
	for _, name := range w.Alone {
		if !names[name] {
			return fmt.Errorf("field %q names %q, which is no stream", "alone", name)
		}
	}
	return nil
}

func (s *Stream) check(teams int) error {
	switch {
	case s.Name == "":
		return fmt.Errorf("field %q is empty", "name")
	case s.Rate < 0:
		return fmt.Errorf("field %q is negative", "rate")
	case s.PromptTokens.Min == 0 || s.PromptTokens.Max < s.PromptTokens.Min:
		return fmt.Errorf("field %q is no range", "prompt_tokens")
	case s.MaxTokens.Min == 0 || s.MaxTokens.Max < s.MaxTokens.Min:
		return fmt.Errorf("field %q is no range", "max_tokens")
	case s.Timeout <= 0:
		return fmt.Errorf("field %q is not positive", "timeout")
	case s.Prefixes.Count > 0 && s.Prefixes.Tokens >= s.PromptTokens.Min:
		return fmt.Errorf("prefixes of %d tokens don't fit into prompts of %d", s.Prefixes.Tokens, s.PromptTokens.Min)
	}
	for _, team := range s.Teams {
		if team < 0 || team >= teams {
			return fmt.Errorf("field %q names team %d of %d", "teams", team, teams)
		}
	}
	return nil
}

// rateAt returns the rate at a time and when it changes next; zero for never.
func (s *Stream) rateAt(at time.Duration) (rate float64, until time.Duration) {
	rate = s.Rate
	for _, step := range s.Steps {
		if time.Duration(step.At) > at {
			return rate, time.Duration(step.At)
		}
		rate = step.Rate
	}
	return rate, 0
}
