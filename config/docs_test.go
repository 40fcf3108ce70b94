package config

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

var docsRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| `(\\S+)` \\| `(\\S+)` \\| `(\\S+)` \\| (\\S+) \\| [^|]+ \\|$")

func TestDocsListEveryField(t *testing.T) {
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	assert.NilError(t, err)
	var documented, want []string
	for _, match := range docsRow.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, fmt.Sprint(match[1:]))
	}
	for i := range fields {
		f := &fields[i]
		scope := string(f.scope)
		if scope == "" {
			scope = "none"
		}
		want = append(want, fmt.Sprint([]string{f.name, f.format(f.initial), f.format(f.min), f.format(f.max), scope}))
	}
	assert.DeepEqual(t, documented, want)
}
