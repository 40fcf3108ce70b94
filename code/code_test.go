package code

import (
	"errors"
	"fmt"
	"sort"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTableIsSortedAndComplete(t *testing.T) {
	rows := Table()
	assert.Assert(t, sort.SliceIsSorted(rows, func(i, j int) bool { return rows[i].Code < rows[j].Code }))
	for _, row := range rows {
		assert.Assert(t, row.Name != "" && row.Meaning != "" && row.Action != "", "%d", row.Code)
		assert.Assert(t, row.Code.Outcome().String() != "unknown", "%d", row.Code)
		assert.Equal(t, row.Code.Status(), row.Status)
	}
}

func TestErrorCarriesCode(t *testing.T) {
	err := New(TeamLimit, "team %q is over %d tokens/s", "desk", 10)
	wrapped := fmt.Errorf("admit: %w", err)
	assert.Equal(t, Of(wrapped), TeamLimit)
	assert.Equal(t, Of(Wrap(wrapped, NoCapacity)), NoCapacity)
	assert.Equal(t, Of(errors.New("plain")), InternalFault)
	assert.Equal(t, Of(nil), OK)
	assert.Assert(t, Has(Wrap(wrapped, NoCapacity), TeamLimit))
}

func TestDescribeNamesTheNumber(t *testing.T) {
	assert.Equal(t, Describe(New(SettingsInvalid, "no %s", "name")), "1901 SettingsInvalid: no name")
}
