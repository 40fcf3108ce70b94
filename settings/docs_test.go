package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

var docsRow = regexp.MustCompile("(?m)^\\| `([a-z]+\\.[a-z_]+)` \\| `?([^|`]+)`? \\| [^|]+ \\|$")

// codeRows returns the fields of the settings and their defaults in the format
// of the docs.
func codeRows() [][2]string {
	var rows [][2]string
	defaults := reflect.ValueOf(*Default())
	for i := range defaults.NumField() {
		table := defaults.Type().Field(i).Tag.Get("toml")
		if table == "-" {
			continue
		}
		fields := defaults.Field(i)
		for j := range fields.NumField() {
			name := table + "." + fields.Type().Field(j).Tag.Get("toml")
			rows = append(rows, [2]string{name, showDefault(table, fields.Field(j))})
		}
	}
	return rows
}

func showDefault(table string, value reflect.Value) string {
	switch {
	case !value.IsZero():
		return fmt.Sprint(value.Interface())
	case table == "tls":
		return "none"
	default:
		return "required"
	}
}

func TestDocsListEveryField(t *testing.T) {
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	assert.NilError(t, err)
	var documented [][2]string
	for _, match := range docsRow.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, [2]string{match[1], match[2]})
	}
	assert.DeepEqual(t, documented, codeRows())
}

// TestRequiredFieldsAreRequired guards against docs that mark a field as required
// although it can be omitted, or the reverse.
func TestRequiredFieldsAreRequired(t *testing.T) {
	faults := check(Default(), nil)
	missing := map[string]bool{}
	for _, fault := range faults {
		missing[fault.Field] = true
	}
	for _, row := range codeRows() {
		assert.Equal(t, missing[row[0]], row[1] == "required", row[0])
	}
}
