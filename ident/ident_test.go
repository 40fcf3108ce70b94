package ident

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/citronscale/citronscale/internal/testseed"
)

func TestAttemptRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Request: Request{
				Host:        Host(rapid.StringMatching(`[a-z0-9]{1,8}`).Draw(t, "host")),
				Incarnation: Incarnation(rapid.Uint64Range(0, 1<<62).Draw(t, "incarnation")),
				Sequence:    rapid.Uint64Range(0, 1<<62).Draw(t, "sequence"),
			},
			Number:   rapid.Uint64Range(0, 1<<20).Draw(t, "number"),
			Deadline: time.UnixMilli(rapid.Int64Range(0, 1<<42).Draw(t, "deadline")),
		}
		parsed, err := ParseAttempt(a.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, a)
	})
}

func FuzzParseAttempt(f *testing.F) {
	f.Add("host-1.abc.1.1.zzz")
	f.Add("....")
	f.Fuzz(func(t *testing.T, text string) {
		a, err := ParseAttempt(text)
		if err == nil {
			assert.Equal(t, a.String(), text)
		}
	})
}
