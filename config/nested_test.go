package config

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a host that ends because a document is deeply nested.
func TestNestedDocumentIsRefused(t *testing.T) {
	const depth = 300_000
	for _, text := range []string{
		"a = " + strings.Repeat("[", depth), "a = " + strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"a = " + strings.Repeat("{a=", depth), strings.Repeat("a.", depth) + "a = 1\n", "[" + strings.Repeat("a.", depth) + "a]\n",
	} {
		_, err := Parse(1, []byte(text))
		assert.Assert(t, err != nil)
	}
}
