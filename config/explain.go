package config

// Origins of a value in force.
const (
	OriginBuiltIn   = "built-in" // the document does not set the field
	OriginDefault   = "default"
	OriginException = "exception"
)

// Value is one value in force, for operators.
type Value struct {
	Scope  string // "fleet", "team:NAME" or "upstream:NAME"
	Field  string
	Value  string // in the notation of a document
	Origin string
	Reason string // of the exception
}

// Explain returns the defaults in the order of the field table, then all
// exceptions in the order of the document.
func (c *Config) Explain() []Value {
	list := make([]Value, 0, int(fieldCount)+len(c.exceptions))
	for id := range fields {
		f := &fields[id]
		origin := OriginBuiltIn
		if c.defaultsSet[f.name] {
			origin = OriginDefault
		}
		list = append(list, Value{Scope: "fleet", Field: f.name, Value: f.format(c.defaults[id]), Origin: origin})
	}
	for i := range c.exceptions {
		e := &c.exceptions[i]
		f := &fields[e.field]
		list = append(list, Value{
			Scope: e.scope.String(), Field: f.name, Value: f.format(e.value),
			Origin: OriginException, Reason: e.reason,
		})
	}
	return list
}
