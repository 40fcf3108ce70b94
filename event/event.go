package event

import "github.com/phuslu/log"

// Event is one kind of log line.
type Event struct {
	Number  int
	Name    string
	Level   log.Level
	Meaning string
	Action  string // recommended action of the operator; empty if none
}

// Logger writes events. The zero value discards all of them.
type Logger struct {
	out *log.Logger
}

// NewLogger returns a logger that writes to out.
func NewLogger(out *log.Logger) *Logger {
	return &Logger{out: out}
}

// Emit starts the log line of e. The caller adds fields and ends the line with
// Msg. Emit returns nil, which phuslu/log accepts, if the level is disabled.
func (l *Logger) Emit(e Event) *log.Entry {
	if l == nil || l.out == nil {
		return nil
	}
	return l.out.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// Catalogue returns every event in ascending order of its number.
func Catalogue() []Event {
	return append([]Event(nil), catalogue...)
}
