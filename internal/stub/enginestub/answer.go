package enginestub

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/citronscale/citronscale/upstream"
)

// CrashMarker crashes an engine that starts on a prompt that contains it.
const CrashMarker = "CITRON-CRASH-ENGINE"

const (
	minNaturalTokens    = 16
	naturalTokensSpread = 2048
	lettersPerToken     = 3
	alphabetSize        = 26
)

// AnswerToken returns token i of the answer to the prompt with the given
// digest: three letters and a space.
func AnswerToken(digest, i uint64) string {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], digest)
	binary.LittleEndian.PutUint64(seed[8:], i)
	hash := xxhash.Sum64(seed[:])
	var token [lettersPerToken + 1]byte
	for k := range lettersPerToken {
		token[k] = byte('a' + hash%alphabetSize)
		hash /= alphabetSize
	}
	token[lettersPerToken] = ' '
	return string(token[:])
}

// AnswerText returns tokens from up to, and without, to.
func AnswerText(digest, from, to uint64) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(AnswerToken(digest, i))
	}
	return text.String()
}

// AnswerLength returns the number of tokens of the answer and why it ends.
func AnswerLength(digest uint64, maxTokens uint32) (uint64, string) {
	natural := minNaturalTokens + digest%naturalTokensSpread
	if natural <= uint64(maxTokens) {
		return natural, upstream.FinishStop
	}
	return uint64(maxTokens), upstream.FinishLength
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, maxTokens uint32) string {
	digest := upstream.Digest(prompt)
	length, _ := AnswerLength(digest, maxTokens)
	return AnswerText(digest, 0, length)
}
