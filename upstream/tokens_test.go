package upstream

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/citronscale/citronscale/internal/testseed"
)

func TestCountTokensRoundsUp(t *testing.T) {
	for text, want := range map[string]uint32{"": 0, "a": 1, "abcd": 1, "abcde": 2} {
		assert.Equal(t, CountTokens(text), want)
	}
}

func TestDigestOfPartsEqualsDigestOfWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := rapid.IntRange(0, 5).Draw(t, "blocks")
		tail := rapid.StringN(0, 100, 200).Draw(t, "tail")
		text := strings.Repeat("x", blocks*BlockBytes) + tail
		cut := rapid.IntRange(0, blocks).Draw(t, "cut") * BlockBytes
		parts := append(BlockDigests(text[:cut]), BlockDigests(text[cut:])...)
		assert.Equal(t, CombineDigests(parts), Digest(text))
	})
}

func TestPrefixDigestsAreSharedByCommonPrefix(t *testing.T) {
	common := strings.Repeat("p", 4*BlockBytes)
	a := PrefixDigests(common + "one")
	b := PrefixDigests(common + strings.Repeat("two", 4*BlockBytes))
	assert.Equal(t, len(a), 3)
	assert.DeepEqual(t, a, b[:3])
	assert.Equal(t, PrefixTokens(2), uint32(4*BlockTokens))
}
