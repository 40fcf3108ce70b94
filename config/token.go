package config

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
)

// tokenDigestBytes is the length of the stored part of a token digest. With 128
// bits, finding a token with the same digest is as hard as guessing the token.
const tokenDigestBytes = 16

type tokenDigest [tokenDigestBytes]byte

// HashToken returns the digest of a team's bearer token in the form of the table
// [teams]. Tokens must have at least 128 random bits, because the digest has no
// salt and no work factor.
func HashToken(token string) string {
	digest := digestToken(token)
	return base64.RawURLEncoding.EncodeToString(digest[:])
}

func digestToken(token string) tokenDigest {
	sum := sha256.Sum256([]byte(token))
	return tokenDigest(sum[:tokenDigestBytes])
}

func parseTokenDigest(text string) (tokenDigest, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return tokenDigest{}, fmt.Errorf("is not unpadded base64url: %w", err)
	}
	if len(raw) != tokenDigestBytes {
		return tokenDigest{}, fmt.Errorf("has %d bytes, want %d", len(raw), tokenDigestBytes)
	}
	return tokenDigest(raw), nil
}
