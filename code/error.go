package code

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

type valueKey struct{}

// New returns an error that carries code c and a formatted detail.
func New(c Code, format string, args ...any) error {
	return decorate(fmt.Errorf(format, args...), c)
}

// Wrap attaches code c to err. It returns nil if err is nil. A code that err
// already carries is replaced.
func Wrap(err error, c Code) error {
	if err == nil {
		return nil
	}
	return decorate(err, c)
}

func decorate(err error, c Code) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(valueKey{}, c), merry.WithHTTPCode(c.Status()))
}

// Of returns the code that err carries: OK for nil and InternalFault for an
// error that carries none.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	if c, ok := merry.Value(err, valueKey{}).(Code); ok {
		return c
	}
	return InternalFault
}

// Describe returns the line that a process prints when it ends with err: the
// number and the name of the code, then the detail.
func Describe(err error) string {
	c := Of(err)
	return fmt.Sprintf("%d %s: %v", int(c), c.Name(), err)
}

// Has reports whether err carries code c anywhere in its chain.
func Has(err error, c Code) bool {
	for err != nil {
		if Of(err) == c {
			return true
		}
		err = errors.Unwrap(err)
	}
	return false
}
