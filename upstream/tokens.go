package upstream

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken = 4
	// BlockTokens is the number of tokens in one block of a prompt. Parts of a
	// prompt are cut at block borders.
	BlockTokens = 1024
	// BlockBytes is the size of one block of a prompt.
	BlockBytes = BlockTokens * bytesPerToken
)

// CountTokens returns the number of tokens in text: a token per four bytes,
// rounded up.
func CountTokens(text string) uint32 {
	return uint32((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// BlockDigests returns the digest of each block of text in order. The last
// block can be short.
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

// Digest returns the digest of a prompt. It can also be computed from the
// blocks of the prompt, which may lie on several engines.
func Digest(text string) uint64 {
	return CombineDigests(BlockDigests(text))
}

// PrefixDigests returns the digests of the first 1, 2, 4, ... whole blocks of
// text, shortest first. Engines name cached prefixes by them.
func PrefixDigests(text string) []uint64 {
	return PrefixDigestsOfBlocks(BlockDigests(text[:len(text)-len(text)%BlockBytes]))
}

// PrefixDigestsOfBlocks is PrefixDigests for the digests of whole blocks.
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

// PrefixTokens returns the length of the prefix that entry i of PrefixDigests
// names.
func PrefixTokens(i int) uint32 {
	return BlockTokens << i
}

func writeUint64(hash *xxhash.Digest, value uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], value)
	_, _ = hash.Write(buffer[:]) // never fails
}
