package upstream

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken = 4
	// BlockTokens is the number of tokens in one block of a prompt. A prompt is
	// split into parts at block boundaries.
	BlockTokens = 1024
	// BlockBytes is the size of one block of a prompt in bytes.
	BlockBytes = BlockTokens * bytesPerToken
)

// CountTokens returns the number of tokens in text: one per four bytes, rounded
// up.
func CountTokens(text string) uint32 {
	return uint32((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// BlockDigests returns the digests of the blocks of text, in order. The last
// block can be shorter than BlockBytes.
func BlockDigests(text string) []uint64 {
	digests := make([]uint64, 0, len(text)/BlockBytes+1)
	for len(text) > 0 {
		size := min(len(text), BlockBytes)
		digests = append(digests, xxhash.Sum64String(text[:size]))
		text = text[size:]
	}
	return digests
}

// CombineDigests returns the digest of the text whose blocks have the given
// digests.
func CombineDigests(blocks []uint64) uint64 {
	hash := xxhash.New()
	for _, block := range blocks {
		writeUint64(hash, block)
	}
	return hash.Sum64()
}

// Digest returns the digest of a prompt. CombineDigests computes the same value
// from the digests of the blocks, which may be stored on several engines.
func Digest(text string) uint64 {
	return CombineDigests(BlockDigests(text))
}

// PrefixDigests returns the digests of the first 1, 2, 4, ... complete blocks of
// text, shortest prefix first. Engines identify cached prefixes by them.
func PrefixDigests(text string) []uint64 {
	return PrefixDigestsOfBlocks(BlockDigests(text[:len(text)-len(text)%BlockBytes]))
}

// PrefixDigestsOfBlocks is like PrefixDigests, but takes the digests of the
// complete blocks.
func PrefixDigestsOfBlocks(blocks []uint64) []uint64 {
	var digests []uint64
	hash := xxhash.New()
	next := 1
	for i, block := range blocks {
		writeUint64(hash, block)
		if i+1 == next {
			digests = append(digests, hash.Sum64())
			next *= 2
		}
	}
	return digests
}

// PrefixTokens returns the length in tokens of the prefix that entry i of
// PrefixDigests identifies.
func PrefixTokens(i int) uint32 {
	return BlockTokens << i
}

func writeUint64(hash *xxhash.Digest, value uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], value)
	_, _ = hash.Write(buffer[:]) // never fails
}
