package settings

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as text such as "5s" or "250ms".
type Duration time.Duration

// Std returns d as the type of the standard library.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the text form of d.
func (d Duration) String() string {
	return d.Std().String()
}

// MarshalText returns the text form of d.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads the text form of a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"5s\"", text)
	}
	*d = Duration(v)
	return nil
}
