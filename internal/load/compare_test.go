package load

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestComparisonShowsMedianAndSpread(t *testing.T) {
	directory := t.TempDir()
	for seed, goodput := range []float64{30, 10, 20} {
		run := filepath.Join(directory, "random", fmt.Sprint(seed))
		assert.NilError(t, os.MkdirAll(run, 0o755))
		data, err := json.Marshal(&Report{GoodputPerS: goodput, Sent: 1})
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(run, ReportFile), data, 0o600))
	}
	c, err := ReadComparison(directory)
	assert.NilError(t, err)
	var text strings.Builder
	assert.NilError(t, c.Write(&text))
	assert.Assert(t, strings.Contains(text.String(), "| random | 3 |"), text.String())
	assert.Assert(t, strings.Contains(text.String(), " 20 (10–30) |"), text.String())
	_, err = ReadComparison(t.TempDir())
	assert.ErrorContains(t, err, "holds no reports")
}
