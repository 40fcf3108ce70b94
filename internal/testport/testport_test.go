package testport

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two test processes that get the same ports, because their process identifiers
// differ by a multiple of the number of blocks.
func TestBlocksAreNotShared(t *testing.T) {
	first, err := claim()
	assert.NilError(t, err)
	second, err := claim()
	assert.NilError(t, err)
	assert.Assert(t, first.first != second.first)
	assert.NilError(t, first.claim.Close())
	assert.NilError(t, second.claim.Close())
}

// Guards against a port that is given twice in a row, or is the one that claims the block.
func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range blockSize - 1 {
		address, err := Address()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], address)
		seen[address] = true
	}
	b, err := own()
	assert.NilError(t, err)
	assert.Assert(t, !seen[b.claim.Addr().String()])
}
