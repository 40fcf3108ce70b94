package enginewire

import "github.com/citronscale/citronscale/ident"

// Attempt is an attempt identifier in its textual form.
type Attempt ident.Attempt

// MarshalText implements encoding.TextMarshaler.
func (a Attempt) MarshalText() ([]byte, error) {
	return []byte(ident.Attempt(a).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Attempt) UnmarshalText(text []byte) error {
	parsed, err := ident.ParseAttempt(string(text))
	if err != nil {
		return err
	}
	*a = Attempt(parsed)
	return nil
}
