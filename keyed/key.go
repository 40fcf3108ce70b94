package keyed

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/citronscale/citronscale/ident"
)

const (
	keyPrefix    = "ck1"
	keySeparator = "."
	keyFields    = 7
	numberBase   = 36
	tagBytes     = 8  // binds the key to its team
	macBytes     = 18 // authenticates the key
	// MaxKeyLength is the largest length of a key in bytes.
	MaxKeyLength = 192
)

// Key is the parsed form of an idempotency key.
type Key struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Expires     time.Time // on the clock of the issuer, in whole milliseconds
	Sequence    uint64    // counts the keys of one incarnation from 1
	tag         string
	mac         string
}

// String returns the text of the key, which is a valid HTTP header token.
func (k Key) String() string {
	return k.signedText() + keySeparator + k.mac
}

func (k Key) signedText() string {
	fields := []string{
		keyPrefix,
		string(k.Host),
		strconv.FormatUint(uint64(k.Incarnation), numberBase),
		strconv.FormatInt(k.Expires.UnixMilli(), numberBase),
		strconv.FormatUint(k.Sequence, numberBase),
		k.tag,
	}
	return strings.Join(fields, keySeparator)
}

// ParseKey parses the text of a key. It checks the form only; only the issuer
// can check the MAC.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyLength {
		return Key{}, fmt.Errorf("key has %d bytes, more than %d", len(text), MaxKeyLength)
	}
	fields := strings.Split(text, keySeparator)
	if len(fields) != keyFields || fields[0] != keyPrefix {
		return Key{}, fmt.Errorf("key does not have the form %s.HOST.INCARNATION.EXPIRY.SEQUENCE.TAG.MAC", keyPrefix)
	}
	numbers, err := parseNumbers(fields[2:5])
	if err != nil {
		return Key{}, err
	}
	key := Key{
		Host:        ident.Host(fields[1]),
		Incarnation: ident.Incarnation(numbers[0]),
		Expires:     time.UnixMilli(int64(numbers[1])),
		Sequence:    numbers[2],
		tag:         fields[5],
		mac:         fields[6],
	}
	return key, checkForm(key, text)
}

func parseNumbers(fields []string) ([]uint64, error) {
	numbers := make([]uint64, len(fields))
	for i, field := range fields {
		number, err := strconv.ParseUint(field, numberBase, 63)
		if err != nil {
			return nil, fmt.Errorf("key contains an invalid number: %w", err)
		}
		numbers[i] = number
	}
	return numbers, nil
}

// checkForm rejects every text that String would not produce, so that each key
// has exactly one text.
func checkForm(key Key, text string) error {
	if !ident.ValidName(string(key.Host)) {
		return fmt.Errorf("key contains an invalid host name")
	}
	if !validCode(key.tag, tagBytes) || !validCode(key.mac, macBytes) {
		return fmt.Errorf("key contains an invalid tag or MAC")
	}
	if key.String() != text {
		return fmt.Errorf("key is not in canonical form")
	}
	return nil
}

// validCode reports whether text is the canonical encoding of size bytes.
func validCode(text string, size int) bool {
	data, err := encoding.DecodeString(text)
	return err == nil && len(data) == size && encoding.EncodeToString(data) == text
}

var encoding = base64.RawURLEncoding.Strict()

// Secret authenticates the keys of one incarnation. It never leaves the process
// that created it.
type Secret [sha256.Size]byte

// tag binds a key to a team without revealing the name of the team.
func (s Secret) tag(team string) string {
	return s.sum("team", team, tagBytes)
}

func (s Secret) mac(key Key) string {
	return s.sum("key", key.signedText(), macBytes)
}

func (s Secret) sum(purpose, text string, size int) string {
	hash := hmac.New(sha256.New, s[:])
	hash.Write([]byte(purpose + "\x00" + text))
	return encoding.EncodeToString(hash.Sum(nil)[:size])
}

// signed reports whether the MAC of the key was created with the secret.
func (s Secret) signed(key Key) bool {
	return hmac.Equal([]byte(s.mac(key)), []byte(key.mac))
}
